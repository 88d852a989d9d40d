package link

import "github.com/fxamacker/cbor/v2"

// decoding accepts text that is not valid UTF-8: messages carry keys and headers that other programs
// wrote, which may be in another encoding.
var decoding = newDecoding()

// newDecoding returns the decoding of messages.
func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		// The options are constants that the library accepts.
		panic(err)
	}
	return mode
}

// decode decodes a message into a value of type M.
func decode[M any](data []byte) (M, error) {
	var message M
	err := decoding.Unmarshal(data, &message)
	return message, err
}
