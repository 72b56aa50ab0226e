package settings

// This file defines Settings, the functions that read them, and SettingErrors.

import (
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings are the settings of a router that schedules requests in shards. Keys returns
// what each of them means.
type Settings struct {
	VM     string
	Zone   string
	Region string

	LogLevel string

	Listen         string // for callers and operators
	TLSCert        string
	TLSKey         string
	MaxBodyBytes   int           // bytes
	MaxHeaderBytes int           // bytes, with the request line
	ReadTimeout    time.Duration // to receive a whole request

	PeerListen           string
	PeerAdvertiseAddress string // address that other routers connect to; PeerListen if empty
	PeerSecret           string
	PeerAddresses        []string
	PeerTLSCert          string
	PeerTLSKey           string
	PeerTLSCA            string
	MaxMessageBytes      int // bytes

	PlatformAddress         string
	PlatformToken           string
	PlatformTimeout         time.Duration // of one call
	ReadsPerSecond          float64
	WritesPerSecond         float64
	PollInterval            time.Duration // between reads of the change log's head
	IdempotencyKeyRetention time.Duration // retention time of idempotency keys and their responses

	MaxQueuedRequests int           // maximum waiting requests of a customer for one service
	MaxQueuedBytes    int           // maximum total size of these requests
	MaxQueueWait      time.Duration // maximum time that a request waits
	FirstEstimate     float64       // estimated cost of a request of a customer without history
	MaxDebt           float64       // maximum cost from other shards that counts against a customer

	ConnectTimeout        time.Duration // to connect to a backend server
	ResponseHeaderTimeout time.Duration // until the response headers arrive
	ProgressTimeout       time.Duration // between two parts of a response

	StopTimeout time.Duration // for requests in flight to finish after SIGTERM

	FirstOperatorKeyHash string
	FirstOperatorOffice  string
}

// SettingError reports an invalid value, an unknown section or key, or a file that is not
// in INI format. Section, Key and Value are empty where they do not apply.
type SettingError struct {
	Section, Key, Value string
	Remedy              string // instruction to the operator
}

// Error names the section, the key and its value, and says how to correct it.
func (e *SettingError) Error() string {
	return fmt.Sprintf("section [%s], key %q: value %q: %s", e.Section, e.Key, e.Value, e.Remedy)
}

// SettingErrors lists all errors of a settings file.
type SettingErrors []*SettingError

// Error returns the text of all errors, one a line.
func (errs SettingErrors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Read returns the settings in a file. The error is SettingErrors if the file can be read
// but is not valid. Secrets may refer to the environment of the process, as with Parse.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read: %w; name an INI file with -settings", err)
	}
	return Parse(data, os.LookupEnv)
}

// Parse returns the settings in INI text; the error is SettingErrors. A secret may be
// given as env:NAME, which is looked up with env, or as file:PATH instead of in the text.
func Parse(data []byte, env func(string) (string, bool)) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, SettingErrors{{Section: "", Key: "", Value: "", Remedy: "write lines as key = value under [section]: " + err.Error()}}
	}
	s := &Settings{}
	var errs SettingErrors
	for _, k := range keySpecs {
		value := k.defaultValue
		if sec, err := file.GetSection(k.section); err == nil && sec.HasKey(k.name) {
			value = sec.Key(k.name).String()
		}
		if remedy := k.apply(s, value, env); remedy != "" {
			shown := value
			if k.isSecret {
				shown = "(hidden)"
			}
			errs = append(errs, &SettingError{k.section, k.name, shown, remedy})
		}
	}
	errs = append(errs, unknownKeys(file)...)
	errs = append(errs, s.checkCombinations()...)
	if len(errs) > 0 {
		return nil, errs
	}
	return s, nil
}

// unknownKeys returns an error for each section and key in the file that is not in keySpecs.
func unknownKeys(file *ini.File) SettingErrors {
	known := map[string]map[string]bool{}
	for _, k := range keySpecs {
		if known[k.section] == nil {
			known[k.section] = map[string]bool{}
		}
		known[k.section][k.name] = true
	}
	var errs SettingErrors
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		if known[sec.Name()] == nil {
			errs = append(errs, &SettingError{sec.Name(), "", "", "remove this section, or correct its name"})
			continue
		}
		for _, k := range sec.Keys() {
			if !known[sec.Name()][k.Name()] {
				errs = append(errs, &SettingError{sec.Name(), k.Name(), k.String(), "remove this key, or correct its name"})
			}
		}
	}
	return errs
}

// checkCombinations returns an error for each pair of settings that contradict each other.
func (s *Settings) checkCombinations() SettingErrors {
	var errs SettingErrors
	pairs := []struct{ section, key, cert, value string }{
		{"callers", "tls-key", s.TLSCert, s.TLSKey},
		{"peers", "tls-key", s.PeerTLSCert, s.PeerTLSKey},
		{"peers", "tls-ca", s.PeerTLSCert, s.PeerTLSCA},
	}
	for _, p := range pairs {
		if (p.cert == "") != (p.value == "") {
			errs = append(errs, &SettingError{p.section, p.key, p.value, "give tls-cert and this key together, or neither"})
		}
	}
	if s.MaxMessageBytes > 0 && s.MaxMessageBytes < s.MaxBodyBytes+s.MaxHeaderBytes {
		errs = append(errs, &SettingError{"peers", "max-message", fmt.Sprint(s.MaxMessageBytes), "make it at least max-body plus max-headers of [callers]"})
	}
	return errs
}

// Defaults returns settings with all default values; fields without a default are zero.
func Defaults() *Settings {
	s := &Settings{}
	for _, k := range keySpecs {
		if k.defaultValue != "" {
			k.apply(s, k.defaultValue, os.LookupEnv)
		}
	}
	return s
}
