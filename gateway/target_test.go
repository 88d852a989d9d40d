package gateway

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTargets guards against a request line that says something else than the caller's (UNASKED): net/http writes some
// targets in another form, as one that begins with two slashes.
func TestTargets(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "/a?", "/a?b=%20&c", "/a%2Fb", "/a/../b", "/a//b", "/%zz", "/a#b", "/a\"b", "/a;b=1", "/a?b?c", "/é", "/a:b",
		"//", "//a", "//a?", "//a/b?of=7", "///a", "//a%2Fb", "//a/../b", "//a@b:1/c", "//a;b=1", "//[::1]/", "//a?//b", "//a%20b", "//?", "//*",
	} {
		t.Run(strings.ReplaceAll(target, "/", "_"), func(t *testing.T) {
			u, err := targetURL("10.0.0.1:80", target)
			require.NoError(t, err)
			var line bytes.Buffer
			require.NoError(t, (&http.Request{Method: http.MethodGet, URL: u, Host: "h"}).Write(&line))
			first, err := bufio.NewReader(&line).ReadString('\n')
			require.NoError(t, err)
			require.Equal(t, "GET "+target+" HTTP/1.1\r\n", first)
		})
	}
	for _, target := range []string{"//%zz", "//a\"b", "//a#b"} {
		_, err := targetURL("10.0.0.1:80", target)
		require.Error(t, err, "%q can't be written as it is", target)
	}
}
