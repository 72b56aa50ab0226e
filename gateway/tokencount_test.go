package gateway_test

// This file tests requests whose callers name more tokens than any backend server holds.

import "testing"

// Sums of the numbers that a caller named overflowed: a request of 2^63 tokens seemed to fit, and to give its customer capacity in
// place of using some. A number of 2^63 or more counted as 0.
func TestRequestOfMoreTokensThanAnyServerHoldsIsRefused(t *testing.T) {
	counts := []string{ // of the prompt, and as expected of the response
		"1000000000,10",
		"4611686018427387904,4611686018427387904",
		"9223372036854775807,1",
		"1,9223372036854775807",
		"99999999999999999999,10",
		"10,99999999999999999999",
	}
	for _, count := range counts {
		t.Run(count, func(t *testing.T) {
			s := newTestbed(t, sentOnService)
			b := s.startServer("i-1", "models", 12)
			s.waitReady()
			if a := s.send("POST", "/models/x", "body", "Token-Count", count); a.status == 200 || len(b.Received()) > 0 {
				t.Errorf("got status %d and %d runs, want the request refused; log:\n%s", a.status, len(b.Received()), s.logs)
			}
			if a := s.send("POST", "/models/x", "body", "Token-Count", "100,10"); a.status != 200 {
				t.Errorf("got status %d for the next request, want 200; log:\n%s", a.status, s.logs)
			}
		})
	}
}
