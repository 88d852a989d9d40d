package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/hawthornrock/hawthornrock/coordination/configuration"
	"github.com/hawthornrock/hawthornrock/coordination/control"
)

func FuzzCompletionRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Add([]byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":2}`))
	f.Add([]byte(`{"messages":[{"content":{}}],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var request completionRequest
		if json.Unmarshal(body, &request) != nil {
			return
		}
		for _, chat := range []bool{true, false} {
			if _, refused := request.promptText(chat); refused != nil && refused.Message == "" {
				t.Fatal("refusal has no message")
			}
		}
		if n, refused := request.tokenLimit(4096); refused == nil && (n < 1 || n > 4096) {
			t.Fatalf("token limit %d was accepted, expected 1 to 4096", n)
		}
	})
}

func FuzzMessage(f *testing.F) {
	heartbeat := control.Heartbeat{Daemon: "entry-2", Incarnation: "1", Offset: 3, ConfirmedAge: time.Second, Echoes: map[string]uint64{"1": 1}}
	for _, m := range []peerMessage{
		{Version: peerMessageVersion, Heartbeat: &heartbeat},
		{Version: peerMessageVersion, Heartbeat: &control.Heartbeat{Configuration: &configuration.State{Offset: 9}}},
		{Version: peerMessageVersion, Cooled: &control.InstanceCooled{Instance: "e"}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerMessage
		if cbor.Unmarshal(data, &m) != nil || m.Heartbeat == nil {
			return
		}
		core := control.New(control.Identity{Daemon: "entry-1", Incarnation: "1"}, control.Bounds{PeerForget: time.Minute})
		now := time.Now()
		core.Step(now, control.Tick{})
		core.Step(now, control.HeartbeatReceived{Heartbeat: *m.Heartbeat})
		core.Step(now, control.Tick{})
		if core.View(now) == nil {
			t.Fatal("View returned nil")
		}
	})
}
