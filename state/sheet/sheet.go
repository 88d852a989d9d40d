// Package sheet reads a sheet of deployments as exported by spreadsheet programs: XLSX, or CSV
// separated by commas, semicolons or tabs, with or without a byte-order mark. All invalid cells of
// a sheet are reported at once, each with its row and column.
package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/xuri/excelize/v2"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

const (
	// maxRows bounds the rows of a sheet, including the header.
	maxRows = 10_000
	// maxReplicas bounds the replicas of one deployment.
	maxReplicas = 10_000
	// maxInstancesPerReplica bounds the instances of one replica.
	maxInstancesPerReplica = 256
)

// columns are the columns of a sheet in their usual order. Optional ones may be omitted.
var columns = []struct {
	name     string
	optional bool
}{
	{"deployment", false},
	{"kind", false},
	{"model", false},
	{"adapter", true},
	{"version", false},
	{"replicas", false},
	{"instances_per_replica", false},
	{"failure_domains", false},
	{"organisations", false},
	{"priority", false},
	{"idempotent_methods", true},
}

// A CellError is one error in a sheet. Row 1 is the header. Row is zero if the error concerns the
// whole sheet, and Column is empty if it concerns the whole row.
type CellError struct {
	Sheet  string
	Row    int
	Column string
	Reason string
}

// Error returns the location and the reason.
func (e *CellError) Error() string {
	switch {
	case e.Row == 0:
		return fmt.Sprintf("%s: %s", e.Sheet, e.Reason)
	case e.Column == "":
		return fmt.Sprintf("%s: row %d: %s", e.Sheet, e.Row, e.Reason)
	}
	return fmt.Sprintf("%s: row %d, column %s: %s", e.Sheet, e.Row, e.Column, e.Reason)
}

// A reader collects the deployments and the errors of one sheet. index holds the positions of the
// columns by name, rows the row numbers of the deployments by name.
type reader struct {
	name   string
	index  map[string]int
	rows   map[string]int
	errs   []error
	result []fleet.Deployment
}

// Parse decodes the sheet in data. name is the name of its file; the extension .xlsx selects XLSX,
// any other CSV. If the sheet has an error, no deployments are returned.
func Parse(name string, data []byte) ([]fleet.Deployment, error) {
	r := &reader{name: filepath.Base(name), rows: make(map[string]int)}
	var (
		rows [][]string
		err  error
	)
	if rows, err = r.read(data); err != nil {
		return nil, err
	}
	r.parse(rows)
	if err = errors.Join(r.errs...); err != nil {
		return nil, err
	}
	return r.result, nil
}

// fail records an error.
func (r *reader) fail(row int, column, format string, args ...any) {
	r.errs = append(r.errs, &CellError{Sheet: r.name, Row: row, Column: column, Reason: fmt.Sprintf(format, args...)})
}

// header records the positions of the columns and checks their names.
func (r *reader) header(cells []string) {
	r.index = make(map[string]int)
	for i, cell := range cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		known := slices.ContainsFunc(columns, func(c struct {
			name     string
			optional bool
		},
		) bool {
			return c.name == name
		})
		if _, twice := r.index[name]; twice {
			r.fail(1, name, "duplicate column")
		} else if !known {
			r.fail(1, cell, "unknown column, expected one of %s", columnNames())
		}
		r.index[name] = i
	}
	for _, c := range columns {
		if _, ok := r.index[c.name]; !ok && !c.optional {
			r.fail(1, c.name, "the column is missing")
		}
	}
}

// parse decodes the header and the rows.
func (r *reader) parse(rows [][]string) {
	if len(rows) < 2 {
		r.fail(0, "", "a header and at least one row are expected; the sheet may be cut short")
		return
	}
	if len(rows) > maxRows {
		r.fail(0, "", "%d rows, at most %d are read", len(rows), maxRows)
		return
	}
	r.header(rows[0])
	if len(r.errs) > 0 {
		return
	}
	for i, cells := range rows[1:] {
		if blank(cells) {
			continue
		}
		r.row(i+2, len(rows[0]), cells)
	}
}

// read returns the cells of all rows of a CSV or XLSX file.
func (r *reader) read(data []byte) ([][]string, error) {
	if strings.EqualFold(filepath.Ext(r.name), ".xlsx") {
		return r.readXLSX(data)
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !utf8.Valid(data) {
		return nil, &CellError{Sheet: r.name, Reason: "not UTF-8; export the sheet as CSV UTF-8"}
	}
	if len(data) > 0 && data[len(data)-1] != '\n' {
		return nil, &CellError{Sheet: r.name, Reason: "the last row has no line end; the sheet may be cut short"}
	}
	c := csv.NewReader(bytes.NewReader(data))
	c.Comma = separator(data)
	c.FieldsPerRecord = -1
	var (
		rows [][]string
		err  error
	)
	if rows, err = c.ReadAll(); err != nil {
		return nil, &CellError{Sheet: r.name, Reason: err.Error()}
	}
	return rows, nil
}

// readXLSX returns the cells of the first sheet of a workbook. Shorter rows are padded to the width
// of the header.
func (r *reader) readXLSX(data []byte) ([][]string, error) {
	var (
		file *excelize.File
		rows [][]string
		err  error
	)
	options := excelize.Options{UnzipSizeLimit: 64 << 20, UnzipXMLSizeLimit: 32 << 20}
	if file, err = excelize.OpenReader(io.LimitReader(bytes.NewReader(data), 32<<20), options); err != nil {
		return nil, &CellError{Sheet: r.name, Reason: err.Error()}
	}
	defer file.Close()
	if rows, err = file.GetRows(file.GetSheetName(0)); err != nil {
		return nil, &CellError{Sheet: r.name, Reason: err.Error()}
	}
	for i := range rows {
		for len(rows[i]) < len(rows[0]) {
			rows[i] = append(rows[i], "")
		}
	}
	return rows, nil
}

// row decodes row n, which must have width cells, as a deployment.
func (r *reader) row(n, width int, cells []string) {
	if len(cells) != width {
		r.fail(n, "", "%d cells, the header has %d", len(cells), width)
		return
	}
	get := func(column string) string {
		if i, ok := r.index[column]; ok {
			return strings.TrimSpace(cells[i])
		}
		return ""
	}
	d := fleet.Deployment{
		Name:              get("deployment"),
		Kind:              fleet.InstanceKind(get("kind")),
		Model:             get("model"),
		Adapter:           get("adapter"),
		Version:           get("version"),
		FailureDomains:    list(get("failure_domains")),
		Organisations:     list(get("organisations")),
		Priority:          fleet.Priority(get("priority")),
		IdempotentMethods: list(strings.ToUpper(get("idempotent_methods"))),
	}
	r.checkName(n, d.Name)
	r.checkChoices(n, d)
	if d.Kind == fleet.KindEngine {
		d.Replicas = r.count(n, "replicas", get("replicas"), 0, maxReplicas)
		d.InstancesPerReplica = r.count(n, "instances_per_replica", get("instances_per_replica"), 1, maxInstancesPerReplica)
	}
	r.result = append(r.result, d)
}

// checkName checks that the name of a deployment is valid and unique.
func (r *reader) checkName(n int, name string) {
	if name == "" {
		r.fail(n, "deployment", "a name is expected")
		return
	}
	if strings.ContainsAny(name, "/?#% ") {
		r.fail(n, "deployment", "%q contains a space or one of / ? # %%", name)
	}
	if first, ok := r.rows[name]; ok {
		r.fail(n, "deployment", "%q is already in row %d", name, first)
		return
	}
	r.rows[name] = n
}

// checkChoices checks the kind and the priority, and that the required cells are not empty.
func (r *reader) checkChoices(n int, d fleet.Deployment) {
	if d.Kind != fleet.KindEngine && d.Kind != fleet.KindService {
		r.fail(n, "kind", "%q, expected %s or %s", d.Kind, fleet.KindEngine, fleet.KindService)
	}
	if d.Kind == fleet.KindEngine && d.Model == "" {
		r.fail(n, "model", "a model is expected")
	}
	if d.Kind == fleet.KindEngine && d.Version == "" {
		r.fail(n, "version", "a version is expected")
	}
	if len(d.FailureDomains) == 0 {
		r.fail(n, "failure_domains", "at least one failure domain is expected")
	}
	if len(d.Organisations) == 0 {
		r.fail(n, "organisations", "at least one organisation is expected")
	}
	if !slices.Contains(fleet.Priorities(), d.Priority) {
		r.fail(n, "priority", "%q, expected one of %v", d.Priority, fleet.Priorities())
	}
}

// count decodes a whole number between low and high.
func (r *reader) count(n int, column, cell string, low, high int) int {
	var (
		value int
		err   error
	)
	if value, err = strconv.Atoi(cell); err != nil {
		r.fail(n, column, "%q, expected a whole number", cell)
		return 0
	}
	if value < low || value > high {
		r.fail(n, column, "%d, expected %d to %d", value, low, high)
	}
	return value
}

// blank returns whether all cells are empty.
func blank(cells []string) bool {
	return !slices.ContainsFunc(cells, func(c string) bool { return strings.TrimSpace(c) != "" })
}

// columnNames returns the names of all columns.
func columnNames() string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return strings.Join(names, ", ")
}

// list splits a cell of several names, separated by spaces, commas, semicolons or vertical bars, and
// removes duplicates.
func list(cell string) []string {
	var out []string
	for _, name := range strings.FieldsFunc(cell, func(c rune) bool { return strings.ContainsRune(" ,;|", c) }) {
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// separator returns the character that separates the cells of the first line.
func separator(data []byte) rune {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	best, most := ',', 0
	for _, c := range []rune{',', ';', '\t'} {
		if n := bytes.Count(line, []byte(string(c))); n > most {
			best, most = c, n
		}
	}
	return best
}
