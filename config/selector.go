package config

// This file defines Selector, a conjunction of requirements on labels in the syntax of
// Kubernetes label selectors: k=v, k!=v, k in (a,b), k notin (a,b), k, !k.

import (
	"errors"
	"fmt"
	"slices"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Selector matches label sets that meet every requirement; the zero value matches all.
type Selector struct {
	Requirements []*Requirement `parser:"( @@ ( ',' @@ )* )?"`
}

// Requirement is a condition on the label with one key. Exactly one field is set. The
// name of the type is part of syntax errors ("expected Requirement").
type Requirement struct {
	AbsentKey string     `parser:"  '!' @Word"` // there must be no label with this key
	Test      *labelTest `parser:"| @@"`
}

// labelTest is a condition on the value of the label with a key. At most one of the other
// fields is set; with none, the label must exist. NotEqual and NotIn also hold without it.
type labelTest struct {
	Key      string   `parser:"@Word"`
	Equal    *string  `parser:"( ( '=' '='? @Word? )"`
	NotEqual *string  `parser:"| ( '!' '=' @Word? )"`
	In       []string `parser:"| ( 'in' '(' @Word ( ',' @Word )* ')' )"`
	NotIn    []string `parser:"| ( 'notin' '(' @Word ( ',' @Word )* ')' ) )?"`
}

var selectorParser = participle.MustBuild[Selector](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Word", Pattern: `[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?`},
		{Name: "Punct", Pattern: `[=!(),]`},
		{Name: "space", Pattern: `\s+`},
	})),
	participle.UseLookahead(3),
)

// maxSelectorBytes is the maximum length of the text of a selector.
const maxSelectorBytes = 4096

// SelectorError reports a syntax error in the text of a selector.
type SelectorError struct {
	Text   string
	Column int // position of the error in its line, in characters from 1
	Detail string
}

// Error describes the error, its position and the syntax of requirements.
func (e *SelectorError) Error() string {
	return fmt.Sprintf("selector %q, character %d: %s; write requirements as k=v, k!=v, k in (a,b), k notin (a,b), k or !k, joined by commas",
		e.Text, e.Column, e.Detail)
}

// ParseSelector parses a selector; an empty text matches everything. The error is a
// *SelectorError.
func ParseSelector(text string) (*Selector, error) {
	if len(text) > maxSelectorBytes {
		return nil, &SelectorError{Text: text[:32] + "...", Column: maxSelectorBytes, Detail: "longer than 4096 bytes"}
	}
	s, err := selectorParser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var syntaxErr participle.Error
	if errors.As(err, &syntaxErr) {
		return nil, &SelectorError{Text: text, Column: syntaxErr.Position().Column, Detail: syntaxErr.Message()}
	}
	return nil, &SelectorError{Text: text, Column: 1, Detail: err.Error()}
}

// Matches reports whether the labels meet every requirement.
func (s *Selector) Matches(labels map[string]string) bool {
	for _, r := range s.Requirements {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

func (r *Requirement) matches(labels map[string]string) bool {
	if r.Test == nil {
		_, exists := labels[r.AbsentKey]
		return !exists
	}
	t := r.Test
	value, exists := labels[t.Key]
	switch {
	case t.Equal != nil:
		return exists && value == *t.Equal
	case t.NotEqual != nil:
		return !exists || value != *t.NotEqual
	case t.In != nil:
		return exists && slices.Contains(t.In, value)
	case t.NotIn != nil:
		return !exists || !slices.Contains(t.NotIn, value)
	}
	return exists
}
