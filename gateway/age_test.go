package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/platform"
	"github.com/hawthornrock/hawthornrock/transport/clock"
)

// TestNoAgeOfWhatWasNeverSeen guards against log lines that report the uptime of the machine as the age of
// something that was never seen.
func TestNoAgeOfWhatWasNeverSeen(t *testing.T) {
	chooseHub := func(c *controller) { c.gateway.chooseHub([]string{"a", "b"}, clock.Boot()) }
	follow := func(c *controller) { c.gateway.peers.hub = "a" }
	refuse := func(c *controller) {
		c.gateway.refuse(httptest.NewRecorder(), &call{arrived: time.Now()}, &refusal{status: http.StatusServiceUnavailable})
	}
	regain := func(c *controller) {
		c.applyPage(clock.Boot(), topicPage{topic: platform.TopicTerms, sincePrevious: clock.Boot()})
	}
	stopLeading := func(c *controller) {
		c.gateway.term.Store(1)
		c.elect(clock.Boot())
	}
	fail := func(c *controller) { c.failedTopics[platform.TopicTerms] = true }
	for _, tc := range []struct {
		name   string
		before func(c *controller)
		do     func(c *controller)
		event  string
		fields []string
		want   bool
	}{
		{"hub_never_heard", follow, chooseHub, "hub_lost", []string{"silent", "no_news"}, false},
		{"hub_heard", func(c *controller) {
			follow(c)
			c.gateway.peers.lastAnswerAt, c.gateway.peers.lastUpdateAt = 1, 1
		}, chooseHub, "hub_lost", []string{"silent", "no_news"}, true},
		{"configuration_never_read", func(*controller) {}, refuse, "request", []string{"configuration_age"}, false},
		{"configuration_read", func(c *controller) { c.gateway.confirmedAt.Store(1) }, refuse, "request", []string{"configuration_age"}, true},
		{"topic_never_read", fail, regain, "dependency_regained", []string{"missed"}, false},
		{"topic_read", func(c *controller) {
			fail(c)
			c.loadedTopics[platform.TopicTerms] = true
		}, regain, "dependency_regained", []string{"missed"}, true},
		{"stops_leading", func(*controller) {}, stopLeading, "leadership", []string{"until"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newController()
			var lines bytes.Buffer
			c.gateway.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
			tc.before(c)
			tc.do(c)
			var line map[string]any
			require.NoError(t, json.Unmarshal(lines.Bytes(), &line), lines.String())
			require.Equal(t, tc.event, line["event"])
			for _, field := range tc.fields {
				if tc.want {
					require.Contains(t, line, field)
					continue
				}
				require.NotContains(t, line, field)
			}
		})
	}
}
