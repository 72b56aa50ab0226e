package serverload

// This file defines Statement, what one answer says of the load of its backend server, and parses it.

// Statement is the load of a backend server at the beginning of an answer. Its zero value means that nothing was stated.
type Statement struct {
	Running int // requests
	Waiting int // requests that wait for a slot at the server
	Slots   int // requests that it runs at once; at least 1 in a valid statement
	Percent int // how long work takes now, 100 being usual; 0 if not stated
}

// Valid reports whether the statement was made.
func (st Statement) Valid() bool { return st.Slots > 0 }

// Bounds of plausible statements. A statement with a figure beyond them is not trusted in any figure.
const (
	maxSlots               = 1 << 14
	maxRunningPerSlot      = 4 // servers may count requests that are ending
	maxWaiting             = 1 << 16
	minPercent, maxPercent = 10, 2000
	maxDigits              = 6  // of one figure
	maxStatementBytes      = 64 // bounds the time to parse one
	figuresWithoutPercent  = 3
	figuresWithPercent     = 4
)

// Parse parses a statement: requests running, requests waiting and slots, and optionally how long work takes in percent,
// separated by commas. The last figure may have a fraction, which is ignored. Further figures are ignored if they
// are well-formed. Parse returns false for a malformed or implausible statement. It allocates nothing.
func Parse(s string) (Statement, bool) {
	if len(s) > maxStatementBytes {
		return Statement{}, false
	}
	var figures [figuresWithPercent]int
	n := 0
	for rest, more := s, true; more; n++ {
		value, tail, ok := parseFigure(rest, n >= figuresWithoutPercent)
		if !ok {
			return Statement{}, false
		}
		if n < len(figures) {
			figures[n] = value
		}
		rest, more = tail, tail != ""
		if more {
			rest = rest[1:] // the comma
		}
	}
	st := Statement{Running: figures[0], Waiting: figures[1], Slots: figures[2], Percent: figures[3]}
	if !st.plausible(n >= figuresWithPercent) {
		return Statement{}, false
	}
	return st, true
}

// plausible reports whether all figures are within their bounds.
func (st Statement) plausible(hasPercent bool) bool {
	switch {
	case st.Slots < 1 || st.Slots > maxSlots:
		return false
	case st.Running > maxRunningPerSlot*st.Slots || st.Waiting > maxWaiting:
		return false
	}
	return !hasPercent || minPercent <= st.Percent && st.Percent <= maxPercent
}

// parseFigure parses a non-negative decimal number with optional spaces around it. The tail is empty or begins with
// the comma that follows.
func parseFigure(s string, fraction bool) (value int, tail string, ok bool) {
	s = trimSpaces(s)
	digits := 0
	for digits < len(s) && isDigit(s[digits]) {
		value = value*10 + int(s[digits]-'0')
		if digits++; digits > maxDigits {
			return 0, "", false
		}
	}
	s = s[digits:]
	if fraction && len(s) > 1 && s[0] == '.' && isDigit(s[1]) {
		for s = s[1:]; s != "" && isDigit(s[0]); {
			s = s[1:]
		}
	}
	s = trimSpaces(s)
	if digits == 0 || s != "" && s[0] != ',' {
		return 0, "", false
	}
	return value, s, true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// trimSpaces removes leading spaces and tabs.
func trimSpaces(s string) string {
	for s != "" && (s[0] == ' ' || s[0] == '\t') {
		s = s[1:]
	}
	return s
}
