package standin

// This file defines the answers of a model server stand-in. They depend only on
// the prompt and the token limit, so that a client can check that a response
// belongs to its own request.

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

func contains(s, sub string) bool { return strings.Contains(s, sub) }

// AnswerToken returns token i, counted from 0, of the answer to a prompt.
func AnswerToken(prompt string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%s\x00%d", prompt, i))&0xffffff)
}

// AnswerLength returns the number of tokens in the answer to a prompt. It lies
// between a quarter of maxTokens (at least 1) and maxTokens and depends on a hash
// of the prompt, so that a router cannot derive it from maxTokens.
func AnswerLength(prompt string, maxTokens int) int {
	minTokens := max(1, maxTokens/4)
	return minTokens + int(xxhash.Sum64String(prompt)%uint64(maxTokens-minTokens+1))
}

// Answer returns the complete answer to a prompt with a limit of maxTokens tokens.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerLength(prompt, maxTokens) {
		b.WriteString(AnswerToken(prompt, i))
	}
	return b.String()
}
