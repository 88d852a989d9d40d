package link

import (
	"context"
	"fmt"
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

// A Call is one request to a peer, on a connection of its own. The answer is a stream of messages of
// type M.
type Call[M any] struct {
	conn   *websocket.Conn
	ctx    context.Context //nolint:containedctx // A Call lives as long as its request.
	cancel context.CancelFunc
}

// Dial connects to the peer at url and sends it request.
func Dial[M any](ctx context.Context, client *http.Client, url, secret string, request any) (*Call[M], error) {
	var (
		data []byte
		conn *websocket.Conn
		err  error
	)
	if data, err = cbor.Marshal(request); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	options := &websocket.DialOptions{HTTPClient: client, HTTPHeader: http.Header{"Authorization": {bearer(secret)}}}
	//nolint:bodyclose // The library closes the body of a handshake.
	if conn, _, err = websocket.Dial(ctx, url, options); err != nil {
		cancel()
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	conn.SetReadLimit(maxMessageBytes)
	if err = conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		cancel()
		return nil, fmt.Errorf("write request: %w", err)
	}
	return &Call[M]{conn: conn, ctx: ctx, cancel: cancel}, nil
}

// Close ends the call and closes its connection, which ends the context of the peer's handler.
func (c *Call[M]) Close() error {
	c.cancel()
	return c.conn.CloseNow()
}

// Next blocks until the next message of the answer arrives and returns it.
func (c *Call[M]) Next() (M, error) {
	_, data, err := c.conn.Read(c.ctx)
	if err != nil {
		var none M
		return none, err
	}
	return decode[M](data)
}

// AcceptCalls returns the handler of calls that peers dial. It calls handle with the request and a
// function that sends one message of the answer. ctx ends when the caller closes the call.
func AcceptCalls[R, M any](secret string, handle func(ctx context.Context, request R, send func(M) error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Authorised(r, secret) {
			http.Error(w, "unknown peer", http.StatusUnauthorized)
			return
		}
		var (
			conn    *websocket.Conn
			data    []byte
			request R
			err     error
		)
		if conn, err = websocket.Accept(w, r, nil); err != nil {
			return
		}
		defer conn.CloseNow()
		conn.SetReadLimit(maxMessageBytes)
		if _, data, err = conn.Read(r.Context()); err != nil {
			return
		}
		if request, err = decode[R](data); err != nil {
			return
		}
		ctx := conn.CloseRead(r.Context())
		handle(ctx, request, func(message M) error {
			encoded, err := cbor.Marshal(message)
			if err != nil {
				return fmt.Errorf("encode answer: %w", err)
			}
			return conn.Write(ctx, websocket.MessageBinary, encoded)
		})
	})
}
