package main_test

import (
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"

	"bulrushtally/responsehead/headtest"
)

// Fails if the command asks for another request than its flags describe, or does not print what decided.
func TestPreviewPrintsWhereRequestWouldGo(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	var query string
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		if r.URL.Query().Get("service") != "models" {
			http.Error(w, "the router knows no such service", http.StatusNotFound)
			return
		}
		w.Write([]byte(`{"Zone":"zone-a","Server":"i-1","Owner":"i-2","Spillover":"room","LeavingPriceMs":28.4,"Zones":[{"Name":"zone-a","Servers":4}],"Servers":[{"ID":"i-1","Zone":"zone-a","Outcome":"room","CostMs":41.5},{"ID":"i-2","Zone":"zone-b","Outcome":"busy"}]}`))
	}))
	defer router.Close()
	address := strings.TrimPrefix(router.URL, "http://")
	out, err := exec.Command(path, "preview", "--service", "models", "--customer", "a", "--prompt", "900", "--segments", "1f:60", address).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, want := range []string{"goes to i-1", "owner of the shared segments: i-2", "room, mean price 28.4 ms", "busy", "41.5"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("got %s, want %q in it", out, want)
		}
	}
	for _, want := range []string{"customer=a", "prompt=900", "segments=1f%3A60", "objective_ms=400"} {
		if !strings.Contains(query, want) {
			t.Errorf("got the query %s, want %q in it", query, want)
		}
	}
	if out, err := exec.Command(path, "preview", "--service", "other", address).CombinedOutput(); err == nil || !strings.Contains(string(out), "404") {
		t.Errorf("unknown service: got %q, want an error", out)
	}
}

func TestPreviewRefusesABrokenResponse(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		address := headtest.Serve(t, func(*http.Request) string { return f.Response("", `{"Zone":"zone-a","Server":"i-1"}`) })
		if out, err := exec.Command(path, "preview", "--service", "models", address).CombinedOutput(); err == nil {
			t.Errorf("got %q, want an error", out)
		}
	})
}
