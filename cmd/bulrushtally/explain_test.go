package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestExplainPrintsRequestAndServerEvents(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(t.TempDir(), "router.log")
	text := `1.0 router-1 {"level":"info","vm":"router-1","server":"i-1","message":"server-listed","time":"2026-01-01T00:00:01Z"}
2.0 router-1 {"level":"info","vm":"router-1","request":"r1","status":502,"cause":"broken","servers":["i-1"],"message":"request","time":"2026-01-01T00:00:03Z"}
2.1 router-1 {"level":"warn","vm":"router-1","server":"i-2","message":"server-ejected","time":"2026-01-01T00:00:02Z"}
not a log line of a router
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(path, "explain", "r1", log).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	got := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(got) != 2 || !strings.Contains(got[0], "server-listed") || !strings.Contains(got[1], "cause=broken") {
		t.Errorf("got %q, want the line about the server and then the line about the request", got)
	}
	if out, err := exec.Command(path, "explain", "r9", log).CombinedOutput(); err == nil || !strings.Contains(string(out), "no log line") {
		t.Errorf("unknown request: got %q, want an error with a remedy", out)
	}
}

// The lines told which version a request went to, but not why.
func TestExplainPrintsTheRolloutOfARequest(t *testing.T) {
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(t.TempDir(), "router.log")
	text := `{"level":"info","vm":"router-1","service":"desk","stage":1,"message":"rollout-step","time":"2026-01-01T00:00:01Z"}
{"level":"info","vm":"router-1","service":"other","stage":1,"message":"rollout-step","time":"2026-01-01T00:00:01Z"}
{"level":"info","vm":"router-1","request":"r1","status":200,"service":"desk","rollout_version":"new","servers":["i-1"],"message":"request","time":"2026-01-01T00:00:02Z"}
{"level":"info","vm":"router-1","service":"desk","stage":2,"message":"rollout-step","time":"2026-01-01T00:00:03Z"}
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command(path, "explain", "r1", log).CombinedOutput()
	got := strings.Split(strings.TrimSpace(string(out)), "\n")
	if err != nil || len(got) != 2 || !strings.Contains(got[0], "rollout-step") || !strings.Contains(got[0], "stage=1") || !strings.Contains(got[1], "rollout_version=new") {
		t.Errorf("got %q and error %v, want the step before the request and the request", got, err)
	}
}
