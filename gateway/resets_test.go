package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/standin"
)

// TestResetsWhileWriting guards against responses that were reset and look complete since a write was told of the reset, in
// each place that reads responses (P95).
func TestResetsWhileWriting(t *testing.T) {
	for _, reader := range readers() {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			require.Error(t, reader.read(t, newGatewayWithDial(t, standin.DialReset(rawResponse(t, reader.status, "", reader.body)))))
		})
	}
}
