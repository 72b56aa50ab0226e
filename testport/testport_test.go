package testport_test

import (
	"testing"

	"bulrushtally/testport"
)

func TestPortsAreGivenOutOnce(t *testing.T) {
	given := map[int]bool{}
	for range 5 {
		port := testport.Free(t)
		if given[port] {
			t.Errorf("got port %d twice", port)
		}
		given[port] = true
	}
}

func TestPortIsFreeAgainAfterTest(t *testing.T) {
	first := 0
	t.Run("holder", func(t *testing.T) { first = testport.Free(t) })
	if got := testport.Free(t); got > first {
		t.Errorf("got port %d, want %d, which a test that has ended held, or a lower one", got, first)
	}
}
