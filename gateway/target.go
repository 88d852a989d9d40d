package gateway

import (
	"fmt"
	"net/url"
	"strings"
)

// targetURL returns the URL of a request to a server whose request line has exactly the target that the caller sent. A
// target that begins with two slashes has to be a valid encoding: net/http would take it for an authority otherwise.
func targetURL(address, target string) (*url.URL, error) {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	path, query, hasQuery := strings.Cut(target, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return nil, fmt.Errorf("request target %q: %w", target, err)
	}
	u := &url.URL{Scheme: "http", Host: address, Path: decoded, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if written := u.RequestURI(); written != target {
		return nil, fmt.Errorf("request target %q would be sent as %q", target, written)
	}
	return u, nil
}
