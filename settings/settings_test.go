package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"bulrushtally/settings"
)

// testEnv replaces os.LookupEnv; the only variable is PEER_SECRET.
func testEnv(name string) (string, bool) {
	if name == "PEER_SECRET" {
		return "a secret from the environment", true
	}
	return "", false
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"kingston", "ringing-returns"} {
		s, err := settings.Read("../examples/" + name + ".ini")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Zone == "" || s.Region == "" || s.MaxQueuedRequests == 0 {
			t.Errorf("%s: zone, region or queue size missing: %+v", name, s)
		}
	}
}

// TestParseReportsAllErrors makes many entries of a valid file invalid and adds unknown
// ones. Each must be reported, and no secret shown.
func TestParseReportsAllErrors(t *testing.T) {
	data, err := os.ReadFile("../examples/kingston.ini")
	if err != nil {
		t.Fatal(err)
	}
	text := string(data)
	for _, replacement := range [][2]string{
		{"name = kgn-a-0", "name = Kingston A"}, {"level = info", "level = loud"}, {"listen = 127.0.0.1:8080", "listen = localhost:8080"},
		{"secret = replace-this-secret", "secret = short"}, {"addresses = 127.0.0.1:7081", "addresses = somewhere"},
		{"first-key-hash =", "first-key-hash = xyz"},
	} {
		if !strings.Contains(text, replacement[0]) {
			t.Fatalf("example has no %q", replacement[0])
		}
		text = strings.Replace(text, replacement[0], replacement[1], 1)
	}
	text += "\n[queue]\nrequests = many\nwait = 1\nspeed = 9\n\n[nonsense]\nx = 1\n\n[callers]\ntls-cert = /no/such/file\n"
	_, err = settings.Parse([]byte(text), testEnv)
	var errs settings.SettingErrors
	if !errors.As(err, &errs) {
		t.Fatalf("error %v, want SettingErrors", err)
	}
	for _, want := range []string{
		`section [vm], key "name"`, `section [log], key "level"`, `section [callers], key "listen"`, `section [peers], key "secret"`,
		`section [peers], key "addresses"`, `section [operators], key "first-key-hash"`, `section [queue], key "requests": value "many"`,
		`section [queue], key "wait"`, `section [queue], key "speed"`, `section [nonsense]`, `section [callers], key "tls-cert"`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no error with %s in:\n%v", want, err)
		}
	}
	if strings.Contains(err.Error(), "short") {
		t.Error("error shows a secret")
	}
}

func TestSecretFromEnvironment(t *testing.T) {
	data, err := os.ReadFile("../examples/kingston.ini")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "secret = replace-this-secret", "secret = env:PEER_SECRET", 1)
	s, err := settings.Parse([]byte(text), testEnv)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.PeerSecret, "a secret from the environment"; got != want {
		t.Errorf("secret %q, want %q", got, want)
	}
	text = strings.Replace(text, "env:PEER_SECRET", "env:NOT_SET", 1)
	if _, err := settings.Parse([]byte(text), testEnv); err == nil || !strings.Contains(err.Error(), "set the environment variable NOT_SET") {
		t.Errorf("missing variable: %v", err)
	}
}
