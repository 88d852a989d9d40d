// Package serve runs HTTP servers until they are closed.
package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// A Server is one listener with its HTTP server. Name is for errors.
type Server struct {
	Name     string
	Listener net.Listener
	HTTP     *http.Server
}

// Run serves until the server is closed.
func (s *Server) Run(context.Context) error {
	if err := s.HTTP.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.Name, err)
	}
	return nil
}

// Close ends the server. Connections that are in use after timeout are cut.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.HTTP.Shutdown(ctx); err != nil {
		// Nothing can be done about connections that do not close either.
		_ = s.HTTP.Close()
	}
}
