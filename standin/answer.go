package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary is the set of words that generated tokens begin with.
var vocabulary = []string{
	"sugar", "fondant", "petal", "leaf", "ribbon", "tier", "glaze", "cream",
	"roof", "beam", "door", "window", "floor", "stair", "wall", "brick",
}

// Answer returns the first n tokens that an engine with the given model, adapter
// and version generates for prompt.
func Answer(model, adapter, version, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenAt(model, adapter, version, prompt, i))
	}
	return b.String()
}

// tokenAt returns the token at index. It depends on nothing but its arguments, so
// that tests can compute the answer that they expect.
func tokenAt(model, adapter, version, prompt string, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", model, adapter, version, prompt, index))
	return fmt.Sprintf("%s%02x ", vocabulary[h%uint64(len(vocabulary))], h>>56)
}
