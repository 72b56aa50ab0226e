package responsehead_test

import (
	"errors"
	"testing"

	"bulrushtally/responsehead"
)

// scan scans a head that comes in pieces of a size, and returns how many bytes belong to it and its status.
func scan(text string, size int) (n, status int, err error) {
	var s responsehead.Scanner
	for start := 0; start < len(text); start += size {
		part, err := s.Scan([]byte(text[start:min(len(text), start+size)]))
		n += part
		if err != nil || s.Ended() {
			return n, s.Status(), err
		}
	}
	return n, 0, nil
}

func TestValidHeadsAreAccepted(t *testing.T) {
	const body = "body"
	tests := []struct {
		head   string
		status int
	}{
		{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", 200},
		{"HTTP/1.1 200 OK\r\n\r\n", 200},
		{"HTTP/1.1 200\r\n\r\n", 200},
		{"HTTP/1.1 204 \r\nA: b\r\n\r\n", 204},
		{"HTTP/1.0  599 Odd: but sound\nA:b\nB: c\n\n", 599},
		{"\r\nHTTP/1.1 100 Continue\r\n\r\n", 100},
		{"HTTP/1.1 404 Not Found\r\n!#$%&'*+-.^_`|~0aZ:\x00\tb \r\n\r\n", 404},
	}
	for _, test := range tests {
		for _, size := range []int{1, 3, 1000} {
			n, status, err := scan(test.head+body, size)
			if n != len(test.head) || status != test.status || err != nil {
				t.Errorf("%q in pieces of %d: got %d bytes, status %d and error %v, want %d bytes and status %d", test.head, size, n, status, err, len(test.head), test.status)
			}
		}
	}
}

func TestInvalidHeadsAreRefused(t *testing.T) {
	tests := []struct {
		head  string
		valid int // bytes before the one that shows that the head is not valid
	}{
		{"HTTP/1.1 000 Broken\r\n\r\n", 12},
		{"HTTP/1.1 000\r\n\r\n", 12},
		{"HTTP/1.1 000\n\n", 12},
		{"HTTP/1.1 099 Broken\r\n\r\n", 12},
		{"HTTP/1.1 600 Broken\r\n\r\n", 12},
		{"HTTP/1.1 20 Short\r\n\r\n", 11},
		{"HTTP/1.1 2000 Long\r\n\r\n", 12},
		{"HTTP/1.1 +20 Signed\r\n\r\n", 9},
		{"HTTP/1.1 -00 Signed\r\n\r\n", 9},
		{"HTTP/1.1 2\x0000 Control\r\n\r\n", 10},
		{"HTTP/1.1 \r\n\r\n", 9},
		{"HTTP/1.1\r\n\r\n", 9},
		{"HTTP/1.1 200 OK\r\nBad Name: x\r\n\r\n", 20},
		{"HTTP/1.1 200 OK\r\nName : x\r\n\r\n", 21},
		{"HTTP/1.1 200 OK\r\n Name: x\r\n\r\n", 17},
		{"HTTP/1.1 200 OK\r\nA: b\r\n\tName: x\r\n\r\n", 23},
		{"HTTP/1.1 200 OK\r\nBad\tName: x\r\n\r\n", 20},
		{"HTTP/1.1 200 OK\r\nBad\x00Name: x\r\n\r\n", 20},
		{"HTTP/1.1 200 OK\r\nBad\rName: x\r\n\r\n", 20},
		{"HTTP/1.1 200 OK\r\n\rName: x\r\n\r\n", 18},
		{"HTTP/1.1 200 OK\r\nBad\x7f: x\r\n\r\n", 20},
		{"HTTP/1.1 200 OK\r\nB\xc3\xa4d: x\r\n\r\n", 18},
		{"HTTP/1.1 200 OK\r\n: x\r\n\r\n", 17},
		{"HTTP/1.1 200 OK\r\nName\n\n", 21},
	}
	for _, test := range tests {
		for _, size := range []int{1, 3, 1000} {
			n, _, err := scan(test.head, size)
			var invalid *responsehead.Error
			if n != test.valid || !errors.As(err, &invalid) {
				t.Errorf("%q in pieces of %d: got %d bytes and error %v, want %d bytes and an Error", test.head, size, n, err, test.valid)
			}
		}
	}
}
