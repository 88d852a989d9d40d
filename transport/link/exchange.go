package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/transport/task"
)

// ErrNotSent means that a request was not sent to the peer.
var ErrNotSent = errors.New("request not sent to the peer")

const (
	// maxIdleExchanges is the number of unused connections kept to one peer, exchangeIdleTimeout how
	// long they are kept.
	maxIdleExchanges    = 16
	exchangeIdleTimeout = 5 * time.Second
)

// An Exchanger sends requests of type Q to one peer, each answered by messages of type A. A connection
// carries one exchange at a time and is used again after its end. Tasks runs the goroutines that read.
type Exchanger[Q, A any] struct {
	URL      string
	Secret   string
	Client   *http.Client
	Counters *Counters
	Tasks    *task.Group

	mu     sync.Mutex
	idle   []*exchangeConn[A]
	open   map[*exchangeConn[A]]struct{}
	closed bool
}

// An exchangeConn is a connection to a peer. Its reader closes answers when the connection breaks.
type exchangeConn[A any] struct {
	conn      *websocket.Conn
	cancel    context.CancelFunc
	ctx       context.Context //nolint:containedctx // The reader lives as long as the connection.
	answers   chan A
	idleSince time.Time
}

// An Exchange is one request and the messages that answer it.
type Exchange[Q, A any] struct {
	exchanger *Exchanger[Q, A]
	conn      *exchangeConn[A]
}

// Begin sends request to the peer. After an error that is ErrNotSent the peer has not received it; it
// may have after another one.
func (e *Exchanger[Q, A]) Begin(ctx context.Context, request Q) (*Exchange[Q, A], error) {
	var (
		data []byte
		conn *exchangeConn[A]
		err  error
	)
	if data, err = cbor.Marshal(request); err != nil {
		return nil, fmt.Errorf("%w: encode request: %w", ErrNotSent, err)
	}
	if conn, err = e.connection(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err = conn.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		conn.close()
		return nil, fmt.Errorf("write request: %w", err)
	}
	e.Counters.Sent.Add(1)
	e.Counters.SentBytes.Add(int64(len(data)))
	return &Exchange[Q, A]{exchanger: e, conn: conn}, nil
}

// connection returns an unused connection to the peer, or dials a new one.
func (e *Exchanger[Q, A]) connection(ctx context.Context) (*exchangeConn[A], error) {
	e.mu.Lock()
	for len(e.idle) > 0 {
		conn := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if conn.ctx.Err() == nil {
			e.mu.Unlock()
			return conn, nil
		}
	}
	e.mu.Unlock()
	options := &websocket.DialOptions{HTTPClient: e.Client, HTTPHeader: http.Header{"Authorization": {bearer(e.Secret)}}}
	//nolint:bodyclose // The library closes the body of a handshake.
	ws, _, err := websocket.Dial(ctx, e.URL, options)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	ws.SetReadLimit(maxMessageBytes)
	readCtx, cancel := context.WithCancel(context.Background())
	conn := &exchangeConn[A]{conn: ws, ctx: readCtx, cancel: cancel, answers: make(chan A)}
	if !e.add(conn) {
		conn.close()
		return nil, errors.New("links are closed")
	}
	e.Tasks.Go(readCtx, "exchange "+e.URL, func(ctx context.Context) error {
		conn.read(ctx, e.Counters)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.open, conn)
		return nil
	})
	return conn, nil
}

// add registers an open connection, unless e is closed.
func (e *Exchanger[Q, A]) add(conn *exchangeConn[A]) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	if e.open == nil {
		e.open = make(map[*exchangeConn[A]]struct{})
	}
	e.open[conn] = struct{}{}
	return true
}

// read delivers the messages of the peer until the connection breaks or is closed.
func (c *exchangeConn[A]) read(ctx context.Context, counters *Counters) {
	defer close(c.answers)
	defer c.close()
	for {
		var answer A
		_, data, err := c.conn.Read(ctx)
		if err != nil {
			return
		}
		counters.Received.Add(1)
		counters.ReceivedBytes.Add(int64(len(data)))
		if answer, err = decode[A](data); err != nil {
			// What follows can't be told from what is missing.
			return
		}
		select {
		case c.answers <- answer:
		case <-ctx.Done():
			return
		}
	}
}

// close closes the connection, which ends the exchange at the peer.
func (c *exchangeConn[A]) close() {
	c.cancel()
	// The connection is given up, so an error does not matter.
	_ = c.conn.CloseNow()
}

// ErrBroken means that the connection to the peer broke before the answer was complete.
var ErrBroken = errors.New("connection to the peer broke")

// Next returns the next message of the answer.
func (x *Exchange[Q, A]) Next(ctx context.Context) (A, error) {
	select {
	case answer, ok := <-x.conn.answers:
		if !ok {
			return answer, ErrBroken
		}
		return answer, nil
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

// End ends an exchange whose answer is complete, so that its connection can be used again.
func (x *Exchange[Q, A]) End() {
	e := x.exchanger
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || len(e.idle) >= maxIdleExchanges {
		x.conn.close()
		return
	}
	x.conn.idleSince = time.Now()
	e.idle = append(e.idle, x.conn)
}

// Abort ends an exchange before its answer is complete. The peer notices that its connection closes.
func (x *Exchange[Q, A]) Abort() { x.conn.close() }

// CloseIdle closes the connections that have been unused for a while, and returns how many are open.
func (e *Exchanger[Q, A]) CloseIdle() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.idle[:0]
	for _, conn := range e.idle {
		if time.Since(conn.idleSince) > exchangeIdleTimeout || conn.ctx.Err() != nil {
			conn.close()
			continue
		}
		kept = append(kept, conn)
	}
	e.idle = kept
	return len(e.open)
}

// Close closes all connections.
func (e *Exchanger[Q, A]) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for conn := range e.open {
		conn.close()
	}
	e.idle = nil
}

// AcceptExchanges returns the handler of exchanges that peers begin. It calls handle with each request
// and a function that sends one message of the answer. ctx ends when the peer closes the connection.
func AcceptExchanges[Q, A any](secret string, counters *Counters, handle func(ctx context.Context, request Q, send func(A) error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Authorised(r, secret) {
			http.Error(w, "unknown peer", http.StatusUnauthorized)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		conn.SetReadLimit(maxMessageBytes)
		ctx, cancel := context.WithCancel(r.Context())
		requests, done := make(chan Q), make(chan struct{})
		go func() {
			defer close(done)
			defer cancel()
			receiveRequests(ctx, conn, counters, requests)
		}()
		// The reader ends when the connection is closed.
		defer func() { <-done }()
		defer conn.CloseNow()
		defer cancel()
		for {
			select {
			case <-ctx.Done():
				return
			case request := <-requests:
				handle(ctx, request, func(answer A) error { return sendAnswer(ctx, conn, counters, answer) })
			}
		}
	})
}

// receiveRequests delivers the requests of a peer until its connection breaks. It reads also while a
// request is handled, to notice that the peer gives up.
func receiveRequests[Q any](ctx context.Context, conn *websocket.Conn, counters *Counters, requests chan<- Q) {
	for {
		_, data, err := conn.Read(ctx)
		if err != nil {
			return
		}
		counters.Received.Add(1)
		counters.ReceivedBytes.Add(int64(len(data)))
		var request Q
		if request, err = decode[Q](data); err != nil {
			counters.Dropped.Add(1)
			return
		}
		select {
		case requests <- request:
		case <-ctx.Done():
			return
		}
	}
}

// sendAnswer sends one message of an answer.
func sendAnswer[A any](ctx context.Context, conn *websocket.Conn, counters *Counters, answer A) error {
	data, err := cbor.Marshal(answer)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	if err = conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	counters.Sent.Add(1)
	counters.SentBytes.Add(int64(len(data)))
	return nil
}
