package gateway

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/standin"
	"github.com/hawthornrock/hawthornrock/state/site"
	"github.com/hawthornrock/hawthornrock/transport/integrity"
)

// newGatewayWithDial returns a gateway that knows the plain server "p0" at a1. Its connections to servers and to the store are
// opened by dial.
func newGatewayWithDial(t *testing.T, dial integrity.DialFunc) *Gateway {
	t.Helper()
	c := newController()
	c.putInForce(&site.Configuration{Services: map[string]*site.Service{"plain": {Name: "plain"}}})
	c.servers.put(0, 1, site.Server{ID: "p0", Address: "a1", Service: "plain", Born: 1}, 0)
	c.publish(0)
	c.gateway.DialServer = dial
	c.gateway.store.Address = "a1"
	store, ok := c.gateway.store.HTTP.Transport.(*integrity.Transport)
	require.True(t, ok)
	store.HTTP.DialContext = dial
	return c.gateway
}

// rawResponse returns a response to the attempt "a1" with the given fields. Without one for its length, it ends with its
// connection.
func rawResponse(t *testing.T, status, fields, body string) string {
	t.Helper()
	named := make(http.Header)
	platform.SetAttemptID(named, "a1")
	var lines strings.Builder
	require.NoError(t, named.Write(&lines))
	return "HTTP/1.1 " + status + "\r\n" + lines.String() + fields + "\r\n" + body
}

// A responseReader is a place that reads responses.
type responseReader struct {
	name string
	// status and body are those of a response that it accepts.
	status, body string
	// read sends a request and reads its response. It returns an error if it accepts none.
	read func(*testing.T, *Gateway) error
}

// readers returns all places that read responses of servers and of the store.
func readers() []responseReader {
	page := string(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, 1), 0))
	header := make(http.Header)
	platform.SetAttemptID(header, "a1")
	call := func(single bool) func(*testing.T, *Gateway) error {
		return func(t *testing.T, g *Gateway) error {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://a1/x", newSingleUseBody([]byte("b")))
			require.NoError(t, err)
			req.Header = header.Clone()
			transport := g.pooledTransport
			if single {
				transport = g.singleUseTransport
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err
		}
	}
	return []responseReader{
		{"call", "200 OK", "part", call(false)},
		{"call_that_may_run_once", "200 OK", "part", call(true)},
		{"failure", "500 Failed", "part", call(false)},
		{"failure_of_a_call_that_may_run_once", "500 Failed", "part", call(true)},
		{"helper", "200 OK", "part", func(t *testing.T, g *Gateway) error {
			q := detourRequest{Address: "a1", Server: "p0", Method: http.MethodPost, Target: "/x", Host: "h", Header: header.Clone(), Call: true, SendWithin: time.Second}
			resp, refusal, err := g.passOn(t.Context(), q)
			require.Equal(t, notRefused, refusal)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			var last detourPart
			g.passBack(resp, func(part detourPart) error {
				last = part
				return nil
			})
			if last.Broken {
				return errAnswerLost
			}
			return nil
		}},
		{"order", "202 Accepted", "", func(t *testing.T, g *Gateway) error {
			_, err := g.engines.Order(t.Context(), formation.Order{Server: "p0", Address: "a1", Action: formation.Open, Group: "g", Epoch: 1})
			return err
		}},
		{"order_declined", "409 Conflict", "part", func(t *testing.T, g *Gateway) error {
			_, err := g.engines.Order(t.Context(), formation.Order{Server: "p0", Address: "a1", Action: formation.Open, Group: "g", Epoch: 1})
			return err
		}},
		{"report", "200 OK", `{"born":1,"seq":2}`, func(t *testing.T, g *Gateway) error {
			_, err := g.engines.Report(t.Context(), site.Server{ID: "p0", Address: "a1"})
			return err
		}},
		{"probe", "200 OK", `{"born":1,"seq":2}`, func(t *testing.T, g *Gateway) error {
			if finding, _ := g.probeServer(t.Context(), site.Server{ID: "p0", Address: "a1", Born: 1}); finding == probeAlive {
				return nil
			}
			return errAnswerLost
		}},
		{"store_listing", "200 OK", `{"items":[],"has_more":false,"end_offset":3}`, func(t *testing.T, g *Gateway) error {
			_, err := g.store.Newest(t.Context(), platform.TopicTerms)
			return err
		}},
		{"store_read", "200 OK", page, func(t *testing.T, g *Gateway) error {
			_, err := g.store.Read(t.Context(), platform.TopicTerms, 0, 0)
			return err
		}},
		{"store_append", "200 OK", `{"offset":0,"end_offset":1}`, func(t *testing.T, g *Gateway) error {
			return g.store.Put(t.Context(), platform.TopicDaemons, "k", []byte("v"))
		}},
	}
}

// requireAccepted checks that a place accepts a response, with a length and without one.
func (r responseReader) requireAccepted(t *testing.T) {
	t.Helper()
	sound := rawResponse(t, r.status, fmt.Sprintf("Content-Length: %d\r\n", len(r.body)), r.body)
	require.NoError(t, r.read(t, newGatewayWithDial(t, standin.DialResponse(sound))))
	require.NoError(t, r.read(t, newGatewayWithDial(t, standin.DialResponse(rawResponse(t, r.status, "", r.body)))))
}
