package standin

// This file defines the answers of a stand-in engine: they depend on the prompt
// alone, so that a caller can tell its own answer from another's.

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

func contains(s, sub string) bool { return strings.Contains(s, sub) }

// Token returns token number i of the answer to a prompt.
func Token(prompt string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s\x00%d", prompt, i))&0xffffff)
}

// Length returns how many tokens the answer to a prompt has: between a quarter
// of the most and the most, which nobody knows beforehand.
func Length(prompt string, most int) int {
	least := max(1, most/4)
	return least + int(xxhash.Sum64String(prompt)%uint64(most-least+1))
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, most int) string {
	var b strings.Builder
	for i := range Length(prompt, most) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
