package settings

// This file lists every key with its section, default, meaning and check.

import (
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// key is one entry of the settings file. Its apply function stores a value and
// returns a remedy if the value is wrong.
type key struct {
	section, name string
	fallback      string
	meaning       string
	secret        bool
	apply         func(s *Settings, value string, env func(string) (string, bool)) (remedy string)
}

// Key describes a key to documentation and its checks.
type Key struct {
	Section, Name, Default, Meaning string
}

// Keys returns every key in the order of the documentation.
func Keys() []Key {
	list := make([]Key, len(keys))
	for i, k := range keys {
		list[i] = Key{k.section, k.name, k.fallback, k.meaning}
	}
	return list
}

var keys = []key{
	{"vm", "name", "", "name of this VM, unique in the fleet", false, text(func(s *Settings) *string { return &s.VM }, nameRule)},
	{"vm", "zone", "", "availability zone of this VM", false, text(func(s *Settings) *string { return &s.Zone }, nameRule)},
	{"vm", "region", "", "region of the zone", false, text(func(s *Settings) *string { return &s.Region }, nameRule)},
	{"log", "level", "info", "debug, info, warn or error", false, text(func(s *Settings) *string { return &s.LogLevel }, levelRule)},
	{"callers", "listen", "", "IP number and port for callers and operators", false, text(func(s *Settings) *string { return &s.Listen }, addressRule)},
	{"callers", "tls-cert", "", "file with the certificate, PEM; plain HTTP without", false, text(func(s *Settings) *string { return &s.TLSCert }, fileRule)},
	{"callers", "tls-key", "", "file with its key, PEM", false, text(func(s *Settings) *string { return &s.TLSKey }, fileRule)},
	{"callers", "max-body", "4194304", "largest request body, in bytes", false, number(func(s *Settings) *int { return &s.MaxBody }, 1024, 256<<20)},
	{"callers", "max-headers", "16384", "largest request head, in bytes", false, number(func(s *Settings) *int { return &s.MaxHeaders }, 4096, 1<<20)},
	{"callers", "read-timeout", "30s", "longest time for a caller to send its request", false, duration(func(s *Settings) *time.Duration { return &s.ReadTimeout }, time.Second, 10*time.Minute)},
	{"peers", "listen", "", "IP number and port for other routers", false, text(func(s *Settings) *string { return &s.PeerListen }, addressRule)},
	{"peers", "advertise", "", "address that other routers dial, if not the one listened on", false, text(func(s *Settings) *string { return &s.PeerAdvertise }, optionalAddressRule)},
	{"peers", "secret", "", "secret that all routers share, at least 16 characters", true, secret(func(s *Settings) *string { return &s.PeerSecret }, 16)},
	{"peers", "addresses", "", "addresses of some other routers, joined by commas", false, list(func(s *Settings) *[]string { return &s.PeerAddresses })},
	{"peers", "tls-cert", "", "file with this router's certificate, PEM; plain TCP without", false, text(func(s *Settings) *string { return &s.PeerTLSCert }, fileRule)},
	{"peers", "tls-key", "", "file with its key, PEM", false, text(func(s *Settings) *string { return &s.PeerTLSKey }, fileRule)},
	{"peers", "tls-ca", "", "file with the authority of all routers' certificates, PEM", false, text(func(s *Settings) *string { return &s.PeerTLSCA }, fileRule)},
	{"peers", "max-message", "8388608", "largest message between routers, in bytes", false, number(func(s *Settings) *int { return &s.MaxMessage }, 64<<10, 512<<20)},
	{"platform", "address", "", "IP number and port of the platform's services", false, text(func(s *Settings) *string { return &s.PlatformAddress }, addressRule)},
	{"platform", "token", "", "credential for the platform", true, secret(func(s *Settings) *string { return &s.PlatformToken }, 0)},
	{"platform", "timeout", "2s", "longest time for one call", false, duration(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, time.Minute)},
	{"platform", "reads-per-second", "50", "budget of this router", false, float(func(s *Settings) *float64 { return &s.ReadsPerSecond }, 0.1, 2000)},
	{"platform", "writes-per-second", "20", "budget of this router", false, float(func(s *Settings) *float64 { return &s.WritesPerSecond }, 0.1, 500)},
	{"platform", "poll-interval", "1s", "time between two looks of a relay at the log's head", false, duration(func(s *Settings) *time.Duration { return &s.PollInterval }, 100*time.Millisecond, time.Minute)},
	{"platform", "keep-keys", "24h", "how long an idempotency key and its answer are kept", false, duration(func(s *Settings) *time.Duration { return &s.KeepKeys }, time.Minute, 30*24*time.Hour)},
	{"queue", "requests", "1000", "most requests of a customer that wait at this router for one service", false, number(func(s *Settings) *int { return &s.QueueRequests }, 1, 1_000_000)},
	{"queue", "bytes", "16777216", "most bytes of these requests", false, number(func(s *Settings) *int { return &s.QueueBytes }, 1024, 1<<30)},
	{"queue", "wait", "30s", "longest time that a request waits", false, duration(func(s *Settings) *time.Duration { return &s.QueueWait }, 100*time.Millisecond, time.Hour)},
	{"fairness", "first-estimate", "200", "cost charged on admission for a customer without history", false, float(func(s *Settings) *float64 { return &s.FirstEstimate }, 0, 1e6)},
	{"fairness", "max-debt", "20000", "cost by which service elsewhere can put a customer behind", false, float(func(s *Settings) *float64 { return &s.MaxDebt }, 1, 1e9)},
	{"backends", "connect-timeout", "1s", "longest time to connect", false, duration(func(s *Settings) *time.Duration { return &s.ConnectTimeout }, 10*time.Millisecond, time.Minute)},
	{"backends", "first-timeout", "60s", "longest time to the head of an answer", false, duration(func(s *Settings) *time.Duration { return &s.FirstTimeout }, 50*time.Millisecond, time.Hour)},
	{"backends", "progress-timeout", "10s", "longest time between two parts of an answer", false, duration(func(s *Settings) *time.Duration { return &s.ProgressTimeout }, 50*time.Millisecond, time.Hour)},
	{"stop", "timeout", "120s", "longest time for requests in flight to end after SIGTERM", false, duration(func(s *Settings) *time.Duration { return &s.StopTimeout }, time.Second, time.Hour)},
	{"operators", "first-key-hash", "", "SHA-256 of the first operator's key, in hexadecimal", false, text(func(s *Settings) *string { return &s.FirstOperatorKeyHash }, hashRule)},
	{"operators", "first-office", "", "office of the first operator", false, text(func(s *Settings) *string { return &s.FirstOperatorOffice }, nil)},
}

// rule returns a remedy if a text is wrong.
type rule func(value string) string

var nameShape = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func nameRule(v string) string {
	if !nameShape.MatchString(v) {
		return "give 1 to 63 of a-z, 0-9, '.', '-'"
	}
	return ""
}

func levelRule(v string) string {
	switch v {
	case "debug", "info", "warn", "error":
		return ""
	}
	return "give debug, info, warn or error"
}

func addressRule(v string) string {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return "give an IP number and a port, as in 10.0.0.7:8000"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return "give a port from 0 to 65535"
	}
	return ""
}

func optionalAddressRule(v string) string {
	if v == "" {
		return ""
	}
	return addressRule(v)
}

func fileRule(v string) string {
	if v == "" {
		return ""
	}
	if _, err := os.Stat(v); err != nil {
		return "name a file that exists and can be read"
	}
	return ""
}

var hashShape = regexp.MustCompile(`^([0-9a-f]{64})?$`)

func hashRule(v string) string {
	if !hashShape.MatchString(v) {
		return "give 64 hexadecimal digits, as printed by bulrushtally hash-key"
	}
	return ""
}

type applyFunc = func(s *Settings, value string, env func(string) (string, bool)) string

func text(field func(*Settings) *string, r rule) applyFunc {
	return func(s *Settings, v string, _ func(string) (string, bool)) string {
		if r != nil {
			if remedy := r(v); remedy != "" {
				return remedy
			}
		}
		*field(s) = v
		return ""
	}
}

func secret(field func(*Settings) *string, least int) applyFunc {
	return func(s *Settings, v string, env func(string) (string, bool)) string {
		if name, ok := strings.CutPrefix(v, "env:"); ok {
			if v, ok = env(name); !ok {
				return "set the environment variable " + name
			}
		} else if path, ok := strings.CutPrefix(v, "file:"); ok {
			data, err := os.ReadFile(path)
			if err != nil {
				return "name a file that exists and can be read: " + path
			}
			v = strings.TrimSpace(string(data))
		}
		if len(v) < least {
			return "give at least " + strconv.Itoa(least) + " characters, or env:NAME or file:PATH"
		}
		*field(s) = v
		return ""
	}
}

func list(field func(*Settings) *[]string) applyFunc {
	return func(s *Settings, v string, _ func(string) (string, bool)) string {
		var out []string
		for _, a := range strings.Split(v, ",") {
			a = strings.TrimSpace(a)
			if a == "" {
				continue
			}
			if remedy := addressRule(a); remedy != "" {
				return remedy
			}
			out = append(out, a)
		}
		*field(s) = out
		return ""
	}
}

func number(field func(*Settings) *int, least, most int) applyFunc {
	return func(s *Settings, v string, _ func(string) (string, bool)) string {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return "give a whole number from " + strconv.Itoa(least) + " to " + strconv.Itoa(most)
		}
		*field(s) = n
		return ""
	}
}

func float(field func(*Settings) *float64, least, most float64) applyFunc {
	return func(s *Settings, v string, _ func(string) (string, bool)) string {
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= least && n <= most) {
			return "give a number from " + strconv.FormatFloat(least, 'g', -1, 64) + " to " + strconv.FormatFloat(most, 'g', -1, 64)
		}
		*field(s) = n
		return ""
	}
}

func duration(field func(*Settings) *time.Duration, least, most time.Duration) applyFunc {
	return func(s *Settings, v string, _ func(string) (string, bool)) string {
		d, err := time.ParseDuration(v)
		if err != nil || d < least || d > most {
			return "give a time from " + least.String() + " to " + most.String() + ", as in 500ms or 30s"
		}
		*field(s) = d
		return ""
	}
}
