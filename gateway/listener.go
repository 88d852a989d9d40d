package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/serve"
)

const (
	// headerTimeout bounds reading the headers of a request. Operators publish a shorter limit;
	// this one is for callers that ignore it.
	headerTimeout = 6 * time.Second
	// callerIdleTimeout is how long an unused connection of a caller is kept. It is longer than any
	// caller reuses a connection.
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes is the limit for the headers of a request.
	maxHeaderBytes = 64 << 10
	// closeTimeout bounds closing a listener.
	closeTimeout = 300 * time.Millisecond
)

// listen opens all listeners.
func (g *Gateway) listen() ([]*serve.Server, error) {
	var servers []*serve.Server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"front", g.settings.Front, http.HandlerFunc(g.serveCaller)},
		{"ready", g.settings.Ready, g.readyHandler()},
		{"directory", g.settings.Directory, g.directoryHandler()},
		{"metrics", g.settings.Metrics, g.metricsHandler()},
		{"peers", g.settings.Peer, g.peerHandler()},
	} {
		if s.address == "" {
			continue
		}
		var (
			l   net.Listener
			err error
		)
		if l, err = net.Listen("tcp", s.address); err != nil {
			for _, opened := range servers {
				err = errors.Join(err, opened.Listener.Close())
			}
			return nil, fmt.Errorf("listen for %s: %w", s.name, err)
		}
		servers = append(servers, &serve.Server{Name: s.name, Listener: l, HTTP: &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	return servers, nil
}

// readyHandler serves the readiness probe of the platform.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// directoryHandler serves the addresses of the daemons that callers may connect to.
func (g *Gateway) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathResolve, func(w http.ResponseWriter, _ *http.Request) {
		addresses := g.view.Load().Addresses
		if len(addresses) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		platform.WriteAddresses(w, addresses, min(directoryTTL, max(g.bounds().DirectoryTTL, time.Second)))
	})
	return mux
}

// directoryTTL is how long callers may cache an answer of the directory. Some keep it three times
// as long, which is still within the time that a draining daemon goes on serving.
const directoryTTL = 2 * time.Second

// ready returns whether this daemon can serve callers.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.view.Load().Ready && g.configurationFresh()
}
