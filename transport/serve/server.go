// Package serve runs HTTP servers and shuts them down.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// A Server is an HTTP server with its listener. Name identifies it in errors.
type Server struct {
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// Run accepts connections until the server is closed. The context is ignored.
func (s *Server) Run(context.Context) error {
	if err := s.HTTP.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.Name, err)
	}
	return nil
}

// Close shuts the server down gracefully. Connections still in use after timeout are closed.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.HTTP.Shutdown(ctx); err != nil {
		// The error is ignored: there is no other way to close the connections.
		_ = s.HTTP.Close()
	}
}
