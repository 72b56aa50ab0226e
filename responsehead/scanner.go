package responsehead

// This file defines Scanner, which checks one head, and the error for a head that is not valid.

import (
	"fmt"
	"strings"
)

// Error reports a head that is not valid.
type Error struct{ Reason string }

// Error returns the reason and what to do about it.
func (e *Error) Error() string {
	return "response head is not valid HTTP/1: " + e.Reason + "; check the server's software"
}

// Status codes of valid responses (RFC 9110, section 15).
const (
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
)

// position is where in a head the next byte belongs.
type position int

const (
	inProtocol position = iota // of the status line
	inStatus                   // the status code, or a space before it
	inReason                   // the rest of the status line
	inName                     // a field name, or the empty line at the end
	inValue                    // the rest of a line with a field
	afterHead
)

// Scanner checks the head of one response as its bytes come. The zero value is at the start of a head. It checks the status code
// and the field names, and leaves the rest, such as values, to the parser that reads the same bytes.
type Scanner struct {
	at     position
	length int  // bytes of the current line so far, without a line feed
	loneCR bool // the current line is one carriage return so far
	digits int  // of the status code so far
	status int
}

// Scan checks the next bytes of the head, and returns how many of them belong to it. It returns an *Error at the first byte that
// shows that the head is not valid.
func (s *Scanner) Scan(b []byte) (n int, err error) {
	for n < len(b) && s.at != afterHead {
		if err := s.scanByte(b[n]); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// Ended reports whether the head has ended.
func (s *Scanner) Ended() bool { return s.at == afterHead }

// Status returns the status code of a head that has ended.
func (s *Scanner) Status() int { return s.status }

// scanByte checks one byte.
func (s *Scanner) scanByte(c byte) error {
	if c == '\n' {
		return s.endLine()
	}
	switch s.at {
	case inProtocol:
		if c == ' ' {
			s.at = inStatus
		}
	case inStatus:
		if err := s.scanStatus(c); err != nil {
			return err
		}
	case inName:
		if err := s.scanName(c); err != nil {
			return err
		}
	}
	s.loneCR = c == '\r' && s.length == 0
	s.length++
	return nil
}

// scanStatus checks a byte of the status code, or the byte after it.
func (s *Scanner) scanStatus(c byte) error {
	switch {
	case c >= '0' && c <= '9' && s.digits < statusDigits:
		s.status = s.status*10 + int(c-'0')
		s.digits++
		return nil
	case c == ' ' && s.digits == 0: // parsers skip further spaces
		return nil
	case c == ' ' || c == '\r':
		s.at = inReason
		return s.checkStatus()
	}
	return &Error{fmt.Sprintf("the status code has %q", c)}
}

// checkStatus checks the whole status code.
func (s *Scanner) checkStatus() error {
	if s.digits != statusDigits || s.status < minStatus || s.status > maxStatus {
		return &Error{fmt.Sprintf("status %0*d is not one from %d to %d", s.digits, s.status, minStatus, maxStatus)}
	}
	return nil
}

// scanName checks a byte of a field name, or the byte after it. A space at the start would fold the line into the value before,
// which a server must not send (RFC 9112, section 5.2).
func (s *Scanner) scanName(c byte) error {
	atStart := s.length == 0
	switch {
	case c == ':' && !atStart:
		s.at = inValue
		return nil
	case c == '\r' && atStart: // of the empty line
		return nil
	case isTokenByte(c) && !s.loneCR:
		return nil
	}
	return &Error{fmt.Sprintf("a field name has %q", c)}
}

// isTokenByte reports whether a field name may hold a byte (RFC 9110, section 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// endLine checks the line that has ended, and goes on to the next one.
func (s *Scanner) endLine() error {
	empty := s.length == 0 || s.loneCR
	at := s.at
	s.length, s.loneCR = 0, false
	switch {
	case at == inProtocol && empty: // parsers may skip empty lines before a response
		return nil
	case at == inProtocol:
		return &Error{"the status line has no status code"}
	case at == inName && empty:
		s.at = afterHead
		return nil
	case at == inName:
		return &Error{"a line has no colon"}
	}
	s.at = inName
	if at == inStatus {
		return s.checkStatus()
	}
	return nil
}
