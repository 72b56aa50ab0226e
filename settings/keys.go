package settings

// This file lists the keys of Settings with their defaults, descriptions and validation.

import (
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// keySpec describes a key of the settings file. apply stores a value; if the value is
// invalid, it returns an instruction to the operator. Errors do not show the value of a
// secret. env looks up an environment variable.
type keySpec struct {
	section, name string
	defaultValue  string
	description   string
	isSecret      bool
	apply         func(s *Settings, value string, env func(string) (string, bool)) (remedy string)
}

// KeyDoc is the documentation of a key.
type KeyDoc struct {
	Section, Name, Default, Description string
}

// Keys returns the documentation of all keys of Settings, in the order in which it is
// printed.
func Keys() []KeyDoc {
	docs := make([]KeyDoc, len(keySpecs))
	for i, k := range keySpecs {
		docs[i] = KeyDoc{k.section, k.name, k.defaultValue, k.description}
	}
	return docs
}

var keySpecs = []keySpec{
	{"vm", "name", "", "name of this VM, unique in the fleet", false, textSetter(func(s *Settings) *string { return &s.VM }, checkName)},
	{"vm", "zone", "", "availability zone of this VM", false, textSetter(func(s *Settings) *string { return &s.Zone }, checkName)},
	{"vm", "region", "", "region of the zone", false, textSetter(func(s *Settings) *string { return &s.Region }, checkName)},
	{"log", "level", "info", "least severe level that is logged: debug, info, warn or error", false, textSetter(func(s *Settings) *string { return &s.LogLevel }, checkLevel)},
	{"callers", "listen", "", "IP address and port for callers and operators", false, textSetter(func(s *Settings) *string { return &s.Listen }, checkAddress)},
	{"callers", "tls-cert", "", "TLS certificate file, PEM; plain HTTP if empty", false, textSetter(func(s *Settings) *string { return &s.TLSCert }, checkOptionalFile)},
	{"callers", "tls-key", "", "private key file of the certificate, PEM", false, textSetter(func(s *Settings) *string { return &s.TLSKey }, checkOptionalFile)},
	{"callers", "max-body", "4194304", "maximum size of a request body, in bytes", false, intSetter(func(s *Settings) *int { return &s.MaxBodyBytes }, 1024, 256<<20)},
	{"callers", "max-headers", "16384", "maximum size of a request line and headers, in bytes", false, intSetter(func(s *Settings) *int { return &s.MaxHeaderBytes }, 4096, 1<<20)},
	{"callers", "read-timeout", "30s", "maximum time for a caller to send its request", false, durationSetter(func(s *Settings) *time.Duration { return &s.ReadTimeout }, time.Second, 10*time.Minute)},
	{"peers", "listen", "", "IP address and port for other routers", false, textSetter(func(s *Settings) *string { return &s.PeerListen }, checkAddress)},
	{"peers", "advertise", "", "address that other routers connect to; the listening address if empty", false, textSetter(func(s *Settings) *string { return &s.PeerAdvertiseAddress }, checkOptionalAddress)},
	{"peers", "secret", "", "secret shared by all routers, at least 16 characters", true, secretSetter(func(s *Settings) *string { return &s.PeerSecret }, 16)},
	{"peers", "addresses", "", "addresses of some other routers, separated by commas", false, addressListSetter(func(s *Settings) *[]string { return &s.PeerAddresses })},
	{"peers", "tls-cert", "", "TLS certificate file of this router, PEM; plain TCP if empty", false, textSetter(func(s *Settings) *string { return &s.PeerTLSCert }, checkOptionalFile)},
	{"peers", "tls-key", "", "private key file of the certificate, PEM", false, textSetter(func(s *Settings) *string { return &s.PeerTLSKey }, checkOptionalFile)},
	{"peers", "tls-ca", "", "file with the CA certificate that the certificates of all routers are verified with, PEM", false, textSetter(func(s *Settings) *string { return &s.PeerTLSCA }, checkOptionalFile)},
	{"peers", "max-message", "8388608", "maximum size of a message between routers, in bytes", false, intSetter(func(s *Settings) *int { return &s.MaxMessageBytes }, 64<<10, 512<<20)},
	{"platform", "address", "", "IP address and port of the platform's services", false, textSetter(func(s *Settings) *string { return &s.PlatformAddress }, checkAddress)},
	{"platform", "token", "", "credential for the platform", true, secretSetter(func(s *Settings) *string { return &s.PlatformToken }, 0)},
	{"platform", "timeout", "2s", "timeout of one call to the platform", false, durationSetter(func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, time.Minute)},
	{"platform", "reads-per-second", "50", "maximum read rate of this router", false, floatSetter(func(s *Settings) *float64 { return &s.ReadsPerSecond }, 0.1, 2000)},
	{"platform", "writes-per-second", "20", "maximum write rate of this router", false, floatSetter(func(s *Settings) *float64 { return &s.WritesPerSecond }, 0.1, 500)},
	{"platform", "poll-interval", "1s", "interval at which a relay polls the head of the change log", false, durationSetter(func(s *Settings) *time.Duration { return &s.PollInterval }, 100*time.Millisecond, time.Minute)},
	{"platform", "keep-keys", "24h", "retention time of idempotency keys and their responses", false, durationSetter(func(s *Settings) *time.Duration { return &s.IdempotencyKeyRetention }, time.Minute, 30*24*time.Hour)},
	{"queue", "requests", "1000", "maximum number of requests of one customer that wait at this router for one service", false, intSetter(func(s *Settings) *int { return &s.MaxQueuedRequests }, 1, 1_000_000)},
	{"queue", "bytes", "16777216", "maximum total size of these requests, in bytes", false, intSetter(func(s *Settings) *int { return &s.MaxQueuedBytes }, 1024, 1<<30)},
	{"queue", "wait", "30s", "maximum time that a request waits", false, durationSetter(func(s *Settings) *time.Duration { return &s.MaxQueueWait }, 100*time.Millisecond, time.Hour)},
	{"fairness", "first-estimate", "200", "estimated cost of a request of a customer without history, charged on admission", false, floatSetter(func(s *Settings) *float64 { return &s.FirstEstimate }, 0, 1e6)},
	{"fairness", "max-debt", "20000", "maximum cost by which requests at other shards can put a customer behind the least served one", false, floatSetter(func(s *Settings) *float64 { return &s.MaxDebt }, 1, 1e9)},
	{"backends", "connect-timeout", "1s", "maximum time to connect", false, durationSetter(func(s *Settings) *time.Duration { return &s.ConnectTimeout }, 10*time.Millisecond, time.Minute)},
	{"backends", "first-timeout", "60s", "maximum time until the response headers arrive", false, durationSetter(func(s *Settings) *time.Duration { return &s.ResponseHeaderTimeout }, 50*time.Millisecond, time.Hour)},
	{"backends", "progress-timeout", "10s", "maximum time between two parts of a response", false, durationSetter(func(s *Settings) *time.Duration { return &s.ProgressTimeout }, 50*time.Millisecond, time.Hour)},
	{"stop", "timeout", "120s", "maximum time for requests in flight to finish after SIGTERM", false, durationSetter(func(s *Settings) *time.Duration { return &s.StopTimeout }, time.Second, time.Hour)},
	{"operators", "first-key-hash", "", "SHA-256 of the first operator's key, in hexadecimal", false, textSetter(func(s *Settings) *string { return &s.FirstOperatorKeyHash }, checkKeyHash)},
	{"operators", "first-office", "", "office of the first operator", false, textSetter(func(s *Settings) *string { return &s.FirstOperatorOffice }, nil)},
}

// checkFunc validates a value. If it is invalid, it returns an instruction to the operator,
// otherwise "".
type checkFunc func(value string) string

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

func checkName(value string) string {
	if !namePattern.MatchString(value) {
		return "give 1 to 63 of a-z, 0-9, '.', '-'"
	}
	return ""
}

func checkLevel(value string) string {
	switch value {
	case "debug", "info", "warn", "error":
		return ""
	}
	return "give debug, info, warn or error"
}

// checkAddress accepts an IP address with a port number from 0 to 65535.
func checkAddress(value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return "give an IP number and a port, as in 10.0.0.7:8000"
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return "give a port from 0 to 65535"
	}
	return ""
}

func checkOptionalAddress(value string) string {
	if value == "" {
		return ""
	}
	return checkAddress(value)
}

// checkOptionalFile accepts the empty string and the path of an existing file.
func checkOptionalFile(value string) string {
	if value == "" {
		return ""
	}
	if _, err := os.Stat(value); err != nil {
		return "name a file that exists and can be read"
	}
	return ""
}

var keyHashPattern = regexp.MustCompile(`^([0-9a-f]{64})?$`)

// checkKeyHash accepts the empty string and 64 hexadecimal digits, a SHA-256.
func checkKeyHash(value string) string {
	if !keyHashPattern.MatchString(value) {
		return "give 64 hexadecimal digits, as printed by bulrushtally hash-key"
	}
	return ""
}

// applyFunc is the type of keySpec.apply.
type applyFunc = func(s *Settings, value string, env func(string) (string, bool)) string

// textSetter returns the apply function of a key whose value is text; check may be nil.
// Like the other setters, it gets a function that returns the address of the key's field.
func textSetter(field func(*Settings) *string, check checkFunc) applyFunc {
	return func(s *Settings, value string, _ func(string) (string, bool)) string {
		if check != nil {
			if remedy := check(value); remedy != "" {
				return remedy
			}
		}
		*field(s) = value
		return ""
	}
}

// secretSetter accepts a text of at least minLength bytes, env:NAME for the value of an
// environment variable, or file:PATH for the content of a file without surrounding space.
func secretSetter(field func(*Settings) *string, minLength int) applyFunc {
	return func(s *Settings, value string, env func(string) (string, bool)) string {
		if name, ok := strings.CutPrefix(value, "env:"); ok {
			if value, ok = env(name); !ok {
				return "set the environment variable " + name
			}
		} else if path, ok := strings.CutPrefix(value, "file:"); ok {
			data, err := os.ReadFile(path)
			if err != nil {
				return "name a file that exists and can be read: " + path
			}
			value = strings.TrimSpace(string(data))
		}
		if len(value) < minLength {
			return "give at least " + strconv.Itoa(minLength) + " characters, or env:NAME or file:PATH"
		}
		*field(s) = value
		return ""
	}
}

// addressListSetter accepts addresses separated by commas, and skips empty entries.
func addressListSetter(field func(*Settings) *[]string) applyFunc {
	return func(s *Settings, value string, _ func(string) (string, bool)) string {
		var addresses []string
		for _, address := range strings.Split(value, ",") {
			address = strings.TrimSpace(address)
			if address == "" {
				continue
			}
			if remedy := checkAddress(address); remedy != "" {
				return remedy
			}
			addresses = append(addresses, address)
		}
		*field(s) = addresses
		return ""
	}
}

// intSetter accepts whole numbers from minimum to maximum.
func intSetter(field func(*Settings) *int, minimum, maximum int) applyFunc {
	return func(s *Settings, value string, _ func(string) (string, bool)) string {
		n, err := strconv.Atoi(value)
		if err != nil || n < minimum || n > maximum {
			return "give a whole number from " + strconv.Itoa(minimum) + " to " + strconv.Itoa(maximum)
		}
		*field(s) = n
		return ""
	}
}

// floatSetter accepts numbers from minimum to maximum.
func floatSetter(field func(*Settings) *float64, minimum, maximum float64) applyFunc {
	return func(s *Settings, value string, _ func(string) (string, bool)) string {
		n, err := strconv.ParseFloat(value, 64)
		if err != nil || !(n >= minimum && n <= maximum) {
			return "give a number from " + strconv.FormatFloat(minimum, 'g', -1, 64) + " to " + strconv.FormatFloat(maximum, 'g', -1, 64)
		}
		*field(s) = n
		return ""
	}
}

// durationSetter accepts durations from minimum to maximum, in the syntax of
// time.ParseDuration.
func durationSetter(field func(*Settings) *time.Duration, minimum, maximum time.Duration) applyFunc {
	return func(s *Settings, value string, _ func(string) (string, bool)) string {
		d, err := time.ParseDuration(value)
		if err != nil || d < minimum || d > maximum {
			return "give a time from " + minimum.String() + " to " + maximum.String() + ", as in 500ms or 30s"
		}
		*field(s) = d
		return ""
	}
}
