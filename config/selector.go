package config

// This file defines Selector, a conjunction of requirements over labels in the
// syntax that Kubernetes made familiar: k=v, k!=v, k in (a,b), k notin (a,b), k, !k.

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

// Requirement is one condition on one label key.
type Requirement struct {
	Absent string     `parser:"  '!' @Word"`
	Test   *labelTest `parser:"| @@"`
}

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

// maxSelectorLength bounds a selector's text, in bytes.
const maxSelectorLength = 4096

// SelectorError says where in a selector's text the fault lies.
type SelectorError struct {
	Text   string
	Column int // in bytes, from 1
	Detail string
}

// Error describes the fault, its position and the syntax that is expected.
func (e *SelectorError) Error() string {
	return fmt.Sprintf("selector %q, character %d: %s; write requirements as k=v, k!=v, k in (a,b), k notin (a,b), k or !k, joined by commas",
		e.Text, e.Column, e.Detail)
}

// ParseSelector reads a selector, or returns a *SelectorError.
func ParseSelector(text string) (*Selector, error) {
	if len(text) > maxSelectorLength {
		return nil, &SelectorError{Text: text[:32] + "...", Column: maxSelectorLength, Detail: "longer than 4096 bytes"}
	}
	s, err := selectorParser.ParseString("", text)
	if err == nil {
		return s, nil
	}
	var pe participle.Error
	if errors.As(err, &pe) {
		return nil, &SelectorError{Text: text, Column: pe.Position().Column, Detail: pe.Message()}
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
		_, ok := labels[r.Absent]
		return !ok
	}
	t := r.Test
	v, ok := labels[t.Key]
	switch {
	case t.Equal != nil:
		return ok && v == *t.Equal
	case t.NotEqual != nil:
		return !ok || v != *t.NotEqual
	case t.In != nil:
		return ok && slices.Contains(t.In, v)
	case t.NotIn != nil:
		return !ok || !slices.Contains(t.NotIn, v)
	}
	return ok
}
