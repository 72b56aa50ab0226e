package settings

// This file defines Settings, the table of keys with their defaults, and Read.

import (
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings are a router's settings.
type Settings struct {
	VM     string
	Zone   string
	Region string

	LogLevel string

	Listen      string // for callers and operators
	TLSCert     string
	TLSKey      string
	MaxBody     int
	MaxHeaders  int
	ReadTimeout time.Duration

	PeerListen    string
	PeerAdvertise string // what other routers dial; the listening address if empty
	PeerSecret    string
	PeerAddresses []string
	PeerTLSCert   string
	PeerTLSKey    string
	PeerTLSCA     string
	MaxMessage    int

	PlatformAddress string
	PlatformToken   string
	PlatformTimeout time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
	PollInterval    time.Duration
	KeepKeys        time.Duration

	QueueRequests int
	QueueBytes    int
	QueueWait     time.Duration
	FirstEstimate float64
	MaxDebt       float64

	ConnectTimeout  time.Duration
	FirstTimeout    time.Duration
	ProgressTimeout time.Duration

	StopTimeout time.Duration

	FirstOperatorKeyHash string
	FirstOperatorOffice  string
}

// Fault is one thing wrong with a settings file.
type Fault struct {
	Section, Key, Value string
	Remedy              string
}

// Error describes the fault and its remedy.
func (f *Fault) Error() string {
	return fmt.Sprintf("section [%s], key %q: value %q: %s", f.Section, f.Key, f.Value, f.Remedy)
}

// Faults is everything wrong with a settings file.
type Faults []*Fault

// Error describes every fault, a line each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Read returns the settings in a file, or Faults.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read: %w; name an INI file with -settings", err)
	}
	return Parse(data, os.LookupEnv)
}

// Parse returns the settings in INI text, or Faults. Secrets may be given as
// env:NAME or file:PATH instead of in the text.
func Parse(data []byte, env func(string) (string, bool)) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, Faults{{Section: "", Key: "", Value: "", Remedy: "write lines as key = value under [section]: " + err.Error()}}
	}
	s := &Settings{}
	var faults Faults
	for _, k := range keys {
		value := k.fallback
		if sec, err := f.GetSection(k.section); err == nil && sec.HasKey(k.name) {
			value = sec.Key(k.name).String()
		}
		if remedy := k.apply(s, value, env); remedy != "" {
			shown := value
			if k.secret {
				shown = "(hidden)"
			}
			faults = append(faults, &Fault{k.section, k.name, shown, remedy})
		}
	}
	faults = append(faults, unknown(f)...)
	faults = append(faults, s.cross()...)
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// unknown reports sections and keys that do not exist.
func unknown(f *ini.File) Faults {
	known := map[string]map[string]bool{}
	for _, k := range keys {
		if known[k.section] == nil {
			known[k.section] = map[string]bool{}
		}
		known[k.section][k.name] = true
	}
	var faults Faults
	for _, sec := range f.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if known[sec.Name()] == nil {
			faults = append(faults, &Fault{sec.Name(), "", "", "remove this section, or correct its name"})
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				faults = append(faults, &Fault{sec.Name(), k.Name(), k.String(), "remove this key, or correct its name"})
			}
		}
	}
	return faults
}

// cross checks settings against each other.
func (s *Settings) cross() Faults {
	var faults Faults
	pairs := []struct{ section, key, a, b string }{
		{"callers", "tls-key", s.TLSCert, s.TLSKey},
		{"peers", "tls-key", s.PeerTLSCert, s.PeerTLSKey},
		{"peers", "tls-ca", s.PeerTLSCert, s.PeerTLSCA},
	}
	for _, p := range pairs {
		if (p.a == "") != (p.b == "") {
			faults = append(faults, &Fault{p.section, p.key, p.b, "give tls-cert and this key together, or neither"})
		}
	}
	if s.MaxMessage > 0 && s.MaxMessage < s.MaxBody+s.MaxHeaders {
		faults = append(faults, &Fault{"peers", "max-message", fmt.Sprint(s.MaxMessage), "make it at least max-body plus max-headers of [callers]"})
	}
	return faults
}

// Defaults returns settings with every default and without what has none.
func Defaults() *Settings {
	s := &Settings{}
	for _, k := range keys {
		if k.fallback != "" {
			k.apply(s, k.fallback, os.LookupEnv)
		}
	}
	return s
}
