package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"bulrushtally/settings"
)

const gatewayText = `[vm]
name = front-a-1
zone = zone-a
ip = 10.0.0.1
[callers]
listen = 10.0.0.1:80
ready-listen = 10.0.0.1:81
[platform]
address = 10.0.0.9:90
[bounds]
revoke-ms = 5000
retry-ratio = 0.25
`

func TestGateway(t *testing.T) {
	g, err := settings.ParseGateway([]byte(gatewayText))
	if err != nil {
		t.Fatal(err)
	}
	if g.Revoke != 5*time.Second || g.RetryRatio != 0.25 || g.PeerPort != 7400 {
		t.Errorf("got %+v, want the file's values and the defaults", g)
	}
}

func TestGatewayNamesEveryFault(t *testing.T) {
	text := strings.Replace(gatewayText, "10.0.0.9:90", "store", 1) + "revoke = 1\ncold-over = -2\n"
	_, err := settings.ParseGateway([]byte(text))
	var faults settings.Faults
	if !errors.As(err, &faults) || len(faults) != 3 {
		t.Fatalf("got %v, want three faults", err)
	}
	for _, want := range []string{"address", "revoke", "cold-over"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want it to name %q", err, want)
		}
	}
}

func FuzzGateway(f *testing.F) {
	f.Add([]byte(gatewayText))
	f.Fuzz(func(t *testing.T, data []byte) {
		if g, err := settings.ParseGateway(data); err == nil && g.Listen == "" {
			t.Error("got settings without an address")
		}
	})
}
