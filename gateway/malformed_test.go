package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hawthornrock/hawthornrock/standin"
)

// noStatuses are status lines that end no exchange: their codes are no status, or the answer to a request for another protocol.
var noStatuses = []string{"000 None", "099 None", "+20 None", "-00 None", "600 None", "999 None", "101 Switching Protocols"}

// TestStatusesThatAreNone guards against a response whose status is none and that is taken for an answer, in each place that
// reads responses (P96).
func TestStatusesThatAreNone(t *testing.T) {
	for _, reader := range readers() {
		t.Run(reader.name, func(t *testing.T) {
			reader.requireAccepted(t)
			for _, status := range noStatuses {
				for _, response := range []string{rawResponse(t, status, "", reader.body), rawResponse(t, status, "Content-Length: 0\r\n", "")} {
					require.Error(t, reader.read(t, newGatewayWithDial(t, standin.DialResponse(response))), response)
				}
			}
		})
	}
}
