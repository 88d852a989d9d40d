// Package link carries CBOR messages between daemons over WebSocket. Each daemon dials every peer.
// It sends on the connections that it dialled and receives on those that its peers dialled. A full
// queue drops and counts its oldest message, since newer messages replace older ones.
package link

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	// queueLength bounds the messages queued for one peer.
	queueLength = 64
	// maxMessageBytes bounds the size of one encoded message.
	maxMessageBytes = 8 << 20
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// writeTimeout bounds the time to write one message to a connection.
	writeTimeout = 2 * time.Second
	// redialInterval is the delay before a peer is dialled again.
	redialInterval = 250 * time.Millisecond
	// Path is the URL path at which a daemon accepts the connections of its peers.
	Path = "/v1/peer"
)

// Counters count the messages and bytes on all links of a daemon.
type Counters struct {
	SentBytes     atomic.Int64
	ReceivedBytes atomic.Int64
	Sent          atomic.Int64
	Received      atomic.Int64
	Dropped       atomic.Int64
}

// A Sender sends messages of type M to one peer.
type Sender[M any] struct {
	URL      string
	Secret   string
	Client   *http.Client
	Counters *Counters

	queue chan M
}

// NewSender returns a Sender to the peer at url.
func NewSender[M any](url, secret string, client *http.Client, counters *Counters) *Sender[M] {
	return &Sender[M]{URL: url, Secret: secret, Client: client, Counters: counters, queue: make(chan M, queueLength)}
}

// Run sends the queued messages on a connection to the peer, which it dials again when it breaks,
// until ctx ends.
func (s *Sender[M]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		// The error is ignored: the peer is dialled again, and missing heartbeats reveal its
		// absence.
		_ = s.session(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(redialInterval):
		}
	}
	return nil
}

// Send queues message without blocking. If the queue is full, the oldest message is dropped.
func (s *Sender[M]) Send(message M) {
	for {
		select {
		case s.queue <- message:
			return
		default:
		}
		select {
		case <-s.queue:
			s.Counters.Dropped.Add(1)
		default:
		}
	}
}

// session dials the peer and sends queued messages until the connection breaks or ctx ends.
func (s *Sender[M]) session(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var (
		conn *websocket.Conn
		err  error
	)
	options := &websocket.DialOptions{HTTPClient: s.Client, HTTPHeader: http.Header{"Authorization": {bearer(s.Secret)}}}
	//nolint:bodyclose // The library closes the body of a handshake.
	if conn, _, err = websocket.Dial(dialCtx, s.URL, options); err != nil {
		return fmt.Errorf("dial peer: %w", err)
	}
	defer conn.CloseNow()
	closed := conn.CloseRead(ctx)
	for {
		select {
		case <-ctx.Done():
			return conn.Close(websocket.StatusGoingAway, "leaving")
		case <-closed.Done():
			return errors.New("peer closed the connection")
		case message := <-s.queue:
			if err = s.write(ctx, conn, message); err != nil {
				return err
			}
		}
	}
}

// write sends message on conn and counts it.
func (s *Sender[M]) write(ctx context.Context, conn *websocket.Conn, message M) error {
	var (
		data []byte
		err  error
	)
	if data, err = cbor.Marshal(message); err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err = conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	s.Counters.Sent.Add(1)
	s.Counters.SentBytes.Add(int64(len(data)))
	return nil
}

// Accept returns the handler of connections from Senders. It calls handle with each message, in
// order within a connection. A message that cannot be decoded is dropped and counted.
func Accept[M any](secret string, counters *Counters, handle func(M)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Authorised(r, secret) {
			http.Error(w, "unknown peer", http.StatusUnauthorized)
			return
		}
		var (
			conn *websocket.Conn
			err  error
		)
		if conn, err = websocket.Accept(w, r, nil); err != nil {
			return
		}
		defer conn.CloseNow()
		conn.SetReadLimit(maxMessageBytes)
		for {
			var data []byte
			if _, data, err = conn.Read(r.Context()); err != nil {
				return
			}
			counters.Received.Add(1)
			counters.ReceivedBytes.Add(int64(len(data)))
			var message M
			if message, err = decode[M](data); err != nil {
				counters.Dropped.Add(1)
				continue
			}
			handle(message)
		}
	})
}

// Authorised returns whether r proves knowledge of secret, which the daemons share.
func Authorised(r *http.Request, secret string) bool {
	// Hashes are of equal length, so the comparison takes constant time for any header.
	got, want := sha256.Sum256([]byte(r.Header.Get("Authorization"))), sha256.Sum256([]byte(bearer(secret)))
	return subtle.ConstantTimeCompare(got[:], want[:]) == 1
}

// bearer returns the value of the Authorization header that proves knowledge of secret.
func bearer(secret string) string {
	sum := sha256.Sum256([]byte("hawthornrock peer " + secret))
	return fmt.Sprintf("Bearer %x", sum)
}
