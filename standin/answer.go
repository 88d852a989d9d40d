package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words are what answers are made of.
var words = []string{
	"sugar", "fondant", "petal", "leaf", "ribbon", "tier", "glaze", "cream",
	"roof", "beam", "door", "window", "floor", "stair", "wall", "brick",
}

// Answer returns the first n tokens of the answer that an engine with the given
// model, adapter and version gives to prompt.
func Answer(model, adapter, version, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenAt(model, adapter, version, prompt, i))
	}
	return b.String()
}

// tokenAt returns the token at index, a function of everything that an answer
// depends on.
func tokenAt(model, adapter, version, prompt string, index int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%s\x00%d", model, adapter, version, prompt, index))
	return fmt.Sprintf("%s%02x ", words[h%uint64(len(words))], h>>56)
}
