package settings_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"bulrushtally/settings"
)

const validGateway = `[vm]
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

func TestParseGateway(t *testing.T) {
	g, err := settings.ParseGateway([]byte(validGateway))
	if err != nil {
		t.Fatal(err)
	}
	if g.MaxRevokeDelay != 5*time.Second || g.RetryRatio != 0.25 || g.PeerPort != 7400 {
		t.Errorf("got %+v, want the file's values and the defaults", g)
	}
}

func TestParseGatewayReportsAllErrors(t *testing.T) {
	text := strings.Replace(validGateway, "10.0.0.9:90", "store", 1) + "revoke = 1\ncold-over = -2\n"
	_, err := settings.ParseGateway([]byte(text))
	var errs settings.SettingErrors
	if !errors.As(err, &errs) || len(errs) != 3 {
		t.Fatalf("got %v, want three errors", err)
	}
	for _, want := range []string{"address", "revoke", "cold-over"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want it to name %q", err, want)
		}
	}
}

// FuzzParseGateway checks that no text without an address for callers is accepted.
func FuzzParseGateway(f *testing.F) {
	f.Add([]byte(validGateway))
	f.Fuzz(func(t *testing.T, data []byte) {
		if g, err := settings.ParseGateway(data); err == nil && g.Listen == "" {
			t.Error("got settings without an address for callers")
		}
	})
}

func TestNumberThatIsNoneIsRefused(t *testing.T) {
	for _, line := range []string{"cold-over = NaN", "retry-window-s = NaN", "grace-s = nan"} {
		_, err := settings.ParseGateway([]byte(validGateway + line + "\n"))
		var errs settings.SettingErrors
		if !errors.As(err, &errs) || len(errs) != 1 {
			t.Errorf("%s: got %v, want one error", line, err)
		}
	}
	if _, err := settings.ParseGateway([]byte(strings.Replace(validGateway, "ip = ", "first-start = yes\nip = ", 1))); err == nil {
		t.Error("got no error for a switch that is neither true nor false")
	}
}

// The platform splits bounds of a fleet by what it plays of it; a router that got 35.8 did not start.
func TestFractionsOfLimitsAreDropped(t *testing.T) {
	g, err := settings.ParseGateway([]byte(validGateway + "retry-slack = 35.833333333333336\ncold-slack = 0.5\n"))
	if err != nil {
		t.Fatalf("got %v, want fractions accepted", err)
	}
	if g.RetrySlack != 35 || g.ColdRateSlack != 0 {
		t.Errorf("got %d and %d, want 35 and 0", g.RetrySlack, g.ColdRateSlack)
	}
	for _, odd := range []string{"-0.5", "1e9", "NaN", "35,8", "many"} {
		if _, err := settings.ParseGateway([]byte(validGateway + "retry-slack = " + odd + "\n")); err == nil {
			t.Errorf("got retry-slack %s accepted, want an error", odd)
		}
	}
}

// A deployment without the bounds of roll-outs, whose settings file has the keys without values, did not start.
func TestRollOutsAreOffWithoutTheirBounds(t *testing.T) {
	for _, text := range []string{"", "expose-share =\nexpose-slack =\nrollback-ms =\n", "expose-share = 0.1\n", "rollback-ms = 5000\n", "expose-share = 0.1\nrollback-ms = 5000\n"} {
		g, err := settings.ParseGateway([]byte(validGateway + text))
		if err != nil || g.RollsOut() {
			t.Errorf("%q: got error %v and roll-outs, want none", text, err)
		}
	}
	g, err := settings.ParseGateway([]byte(validGateway + "expose-share = 0.1\nexpose-slack = 50.5\nrollback-ms = 5000\n"))
	if err != nil || !g.RollsOut() || g.ExposeShare != 0.1 || g.ExposeSlack != 50 || g.RollbackDelay != 5*time.Second {
		t.Errorf("got %+v and error %v, want roll-outs with 0.1, 50 and 5 s", g, err)
	}
	for _, odd := range []string{"expose-share = 1.5", "expose-share = NaN", "expose-slack = -1", "rollback-ms = 0"} {
		if _, err := settings.ParseGateway([]byte(validGateway + odd + "\n")); err == nil {
			t.Errorf("got %q accepted, want an error", odd)
		}
	}
}

// The platform fills the template and the environment; what a deployment lacks is empty there. A router that got the
// bounds of roll-outs without values did not start, and review/ fills the template in without their names.
func TestDeployFilesAreValidWithAndWithoutTheBoundsOfRollOuts(t *testing.T) {
	template, err := os.ReadFile("../deploy/gateway.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	deploy, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	env := regexp.MustCompile(settings.GatewayBoundsEnv + ` = "([^"]*)"`).FindSubmatch(deploy)
	if env == nil {
		t.Fatalf("got a deploy file without %s, want it", settings.GatewayBoundsEnv)
	}
	values := map[string]string{
		"node": "front-a-1", "zone": "zone-a", "ip": "10.0.0.1", "bootstrap": "true", "limits.memory_mb": "256", "limits.max_fds": "4096",
		"listen.front": "10.0.0.1:80", "listen.ready": "10.0.0.1:81", "port_range.0": "7400", "provider.addr": "10.0.0.9:90",
		"bounds.expose_share": "", "bounds.expose_slack": "", "bounds.rollback_ms": "",
	}
	fill := func(name string) string {
		if value, ok := values[strings.Trim(name, "{}")]; ok {
			return value
		}
		return "5"
	}
	placeholder := regexp.MustCompile(`\{\{[^}]*\}\}`)
	parse := func() (*settings.Gateway, error) {
		return settings.ParseGatewayWithBounds([]byte(placeholder.ReplaceAllStringFunc(string(template), fill)), placeholder.ReplaceAllStringFunc(string(env[1]), fill))
	}
	if g, err := parse(); err != nil || g.RollsOut() {
		t.Errorf("got error %v and roll-outs, want neither", err)
	}
	values["bounds.expose_share"], values["bounds.expose_slack"], values["bounds.rollback_ms"] = "0.1", "50", "5000"
	if g, err := parse(); err != nil || !g.RollsOut() || g.ExposeShare != 0.1 || g.ExposeSlack != 50 || g.RollbackDelay != 5*time.Second {
		t.Errorf("got %+v and error %v, want roll-outs with 0.1, 50 and 5 s", g, err)
	}
	if strings.Contains(string(template), "bounds.expose") {
		t.Error("got bounds of roll-outs in the template, want none")
	}
}

// A misspelled bound in the environment would leave roll-outs off without a word; the file goes before the environment.
func TestBoundsOfTheEnvironment(t *testing.T) {
	if _, err := settings.ParseGatewayWithBounds([]byte(validGateway), "expose-shar=0.1"); err == nil {
		t.Error("got an unknown bound accepted, want an error")
	}
	g, err := settings.ParseGatewayWithBounds([]byte(validGateway+"expose-share = 0.2\n"), "expose-share=0.1 expose-slack=50 rollback-ms=5000")
	if err != nil || g.ExposeShare != 0.2 || g.ExposeSlack != 50 {
		t.Errorf("got %+v and error %v, want the share of the file and the slack of the environment", g, err)
	}
}
