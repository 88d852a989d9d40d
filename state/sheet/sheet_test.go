package sheet_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/xuri/excelize/v2"

	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/state/sheet"
)

const header = "deployment,kind,model,adapter,version,replicas,instances_per_replica,failure_domains,organisations,priority"

func ExampleParse() {
	_, err := sheet.Parse("monday.csv", []byte(header+"\nrecipes,engine,baker-8b,,3,2.5,1,bayangol,corner-bakery,soon\n"))
	fmt.Println(err)
	// Output:
	// monday.csv: row 2, column priority: "soon", expected one of [urgent standard draft]
	// monday.csv: row 2, column replicas: "2.5", expected a whole number
}

func TestParseReadsWhatSpreadsheetsWrite(t *testing.T) {
	plain := header + "\nrecipes,engine,baker-8b,,3,2,1,bayangol khan-uul,corner-bakery,urgent\n"
	want := []fleet.Deployment{{
		Name: "recipes", Kind: fleet.KindEngine, Model: "baker-8b", Version: "3", Replicas: 2, InstancesPerReplica: 1,
		FailureDomains: []string{"bayangol", "khan-uul"}, Organisations: []string{"corner-bakery"}, Priority: fleet.PriorityUrgent,
	}}
	for _, tc := range []struct{ name, file, text string }{
		{"comma", "s.csv", plain},
		{"byte_order_mark", "s.csv", "\xef\xbb\xbf" + plain},
		{"semicolon", "s.csv", strings.ReplaceAll(plain, ",", ";")},
		{"tab", "s.csv", strings.ReplaceAll(plain, ",", "\t")},
		{"carriage_returns", "s.csv", strings.ReplaceAll(plain, "\n", "\r\n")},
		{"quoted_cells", "s.csv", strings.ReplaceAll(plain, "bayangol khan-uul", `"bayangol, khan-uul"`)},
		{"blank_rows", "s.csv", plain + ",,,,,,,,,\n"},
		{"workbook", "s.xlsx", workbook(t, plain)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := sheet.Parse(tc.file, []byte(tc.text))
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

// workbook returns the rows of text as XLSX.
func workbook(t *testing.T, text string) string {
	t.Helper()
	file := excelize.NewFile()
	defer file.Close()
	for r, line := range strings.Split(strings.TrimSpace(text), "\n") {
		for c, cell := range strings.Split(line, ",") {
			name, err := excelize.CoordinatesToCellName(c+1, r+1)
			require.NoError(t, err)
			require.NoError(t, file.SetCellStr(file.GetSheetName(0), name, cell))
		}
	}
	var b bytes.Buffer
	require.NoError(t, file.Write(&b))
	return b.String()
}

func TestParseRefuses(t *testing.T) {
	row := func(cells string) string { return header + "\n" + cells + "\n" }
	for _, tc := range []struct{ name, text, want string }{
		{"empty", "", "may be cut short"},
		{"header_only", header + "\n", "may be cut short"},
		{"cut_in_the_last_row", header + "\nrecipes,engine,m,,1,2,1,bayangol,corner-bak", "may be cut short"},
		{"row_with_missing_cells", row("recipes,engine,m"), "row 2: 3 cells, the header has 10"},
		{"decimal_comma", strings.ReplaceAll(row("recipes,engine,m,,1,2.0,1,b,o,urgent"), "2.0", `"2,0"`), `row 2, column replicas: "2,0", expected a whole number`},
		{"duplicate_rows", row("r,engine,m,,1,2,1,b,o,urgent\nr,engine,m,,1,2,1,b,o,urgent"), `row 3, column deployment: "r" is already in row 2`},
		{"unknown_column", strings.Replace(row("r,engine,m,,1,2,1,b,o,urgent"), "priority", "prio", 1), "row 1, column prio: unknown column"},
		{"cyrillic_kind", row("r,движок,m,,1,2,1,b,o,urgent"), `row 2, column kind: "движок"`},
		{"not_utf8", row("r,engine,m\xff,,1,2,1,b,o,urgent"), "not UTF-8"},
		{"unclosed_quote", row(`r,"engine,m,,1,2,1,b,o,urgent`), "quote"},
		{"too_large_a_count", row("r,engine,m,,1,2,9999,b,o,urgent"), "column instances_per_replica: 9999, expected 1 to 256"},
		{"nobody_admitted", row("r,engine,m,,1,2,1,b,,urgent"), "column organisations"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := sheet.Parse("s.csv", []byte(tc.text))
			require.ErrorContains(t, err, tc.want)
			require.Empty(t, got, "nothing is applied in part")
			var cell *sheet.CellError
			require.ErrorAs(t, err, &cell)
			require.Equal(t, "s.csv", cell.Sheet)
		})
	}
}

func TestParseKeepsNamesOfAllScripts(t *testing.T) {
	got, err := sheet.Parse("s.csv", []byte(header+"\nзахиалга,engine,m,,1,2,1,Сүхбаатар,Óscar-pastelería,urgent\n"))
	require.NoError(t, err)
	require.Equal(t, "захиалга", got[0].Name)
	require.Equal(t, []string{"Сүхбаатар"}, got[0].FailureDomains)
}

func TestExamples(t *testing.T) {
	for _, user := range []string{"utility", "observatory"} {
		t.Run(user, func(t *testing.T) {
			text, err := os.ReadFile("../../examples/" + user + "/sheet.csv")
			require.NoError(t, err)
			got, err := sheet.Parse("sheet.csv", text)
			require.NoError(t, err)
			require.Len(t, got, 4)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("s.csv", []byte(header+"\nrecipes,engine,m,,1,2,1,b,o,urgent\n"))
	f.Add("s.csv", []byte("\xef\xbb\xbfdeployment;kind\n\"a;b\n"))
	f.Add("s.xlsx", []byte("PK\x03\x04"))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		got, err := sheet.Parse(name, data)
		if err != nil && got != nil {
			t.Fatal("a refused sheet was applied in part")
		}
	})
}
