// Package platform is the client for the published protocol of the platform: its append-only log and
// its list of instances.
//
//	POST /v1/streams/{stream}/records   Submission -> Receipt
//	GET  /v1/streams/{stream}/records?from=OFFSET&wait_ms=N -> Page
//	GET  /v1/instances -> []fleet.Instance
package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hawthornrock/hawthornrock/state/fleet"
	"github.com/hawthornrock/hawthornrock/transport/rest"
)

// A Submission is a record to append to a stream. ID is the same for all retries; the log does not
// remove duplicates.
type Submission struct {
	ID   string `json:"id"`
	Data []byte `json:"data"`
}

// A Receipt confirms that a Submission was appended, at Offset.
type Receipt struct {
	Offset uint64 `json:"offset"`
}

// A Record is one record of a stream. Offsets start at one and increase within a stream. Time is
// when the record was appended, by the clock of the log.
type Record struct {
	Offset uint64    `json:"offset"`
	ID     string    `json:"id"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// A Page is the answer to a read. It contains every retained record from the start of the read up
// to, but not including, offset Next. Horizon is the oldest offset that the log retains.
type Page struct {
	Records []Record `json:"records"`
	Next    uint64   `json:"next"`
	Horizon uint64   `json:"horizon"`
}

// A Log is an append-only log of several streams. Read returns the records of a stream from an
// offset on, and waits for up to the given time if there are none yet.
type Log interface {
	Append(ctx context.Context, stream string, submission Submission) (Receipt, error)
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error)
}

// A Directory is the platform's list of instances, which may be out of date.
type Directory interface {
	Instances(ctx context.Context) ([]fleet.Instance, error)
}

// A Client is a Log and a Directory over HTTP.
type Client struct {
	Address string
	HTTP    *http.Client
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, submission Submission) (Receipt, error) {
	var receipt Receipt
	if err := rest.Call(ctx, c.HTTP, http.MethodPost, c.records(stream), submission, &receipt); err != nil {
		return Receipt{}, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	return receipt, nil
}

// Instances implements Directory.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	var instances []fleet.Instance
	if err := rest.Call(ctx, c.HTTP, http.MethodGet, "http://"+c.Address+"/v1/instances", nil, &instances); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return instances, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var page Page
	if err := rest.Call(ctx, c.HTTP, http.MethodGet, c.records(stream)+"?"+query.Encode(), nil, &page); err != nil {
		return Page{}, fmt.Errorf("read stream %s: %w", stream, err)
	}
	return page, nil
}

// records returns the URL of the records of stream.
func (c *Client) records(stream string) string {
	return "http://" + c.Address + "/v1/streams/" + url.PathEscape(stream) + "/records"
}
