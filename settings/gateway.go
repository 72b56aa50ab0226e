package settings

// This file defines Gateway, the settings of a router on a platform that lists the
// backend servers and stores the configuration itself.

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// GatewaySettingsEnv is the environment variable with the path of a gateway's settings file.
const GatewaySettingsEnv = "BULRUSHTALLY_BOOT"

// GatewayBoundsEnv is the environment variable with bounds that the settings file lacks: key=value pairs of its section [bounds],
// separated by spaces. An empty value counts as none.
const GatewayBoundsEnv = "BULRUSHTALLY_BOUNDS"

// Gateway are the settings of a router that sends requests to backend servers directly,
// without a leader for each shard. GatewayKeys returns what each of them means.
type Gateway struct {
	VM, Zone, IP string
	FirstStart   bool // the fleet starts for the first time

	LogLevel string

	Listen        string   // address for callers
	ReadyListen   string   // address for readiness checks of the load balancer
	MetricsListen string   // no metrics are served if empty
	PeerPort      int      // UDP
	Peers         []string // addresses of some other routers

	StoreAddress  string
	MemoryLimitMB int // memory limit of the process
	MaxOpenFiles  int // maximum open files and sockets of the process

	StoreFailureWindow time.Duration // the time limits below hold if the store has not failed for this long; validated only
	MaxConfigDelay     time.Duration // maximum time until a configuration change takes effect
	MaxRevokeDelay     time.Duration // maximum time until a revoked key is rejected
	GracePeriod        time.Duration // from SIGTERM to SIGKILL
	RetryRatio         float64       // retries per request, over the whole fleet
	RetryWindow        time.Duration // over which RetryRatio and RetrySlack are counted
	RetrySlack         int           // retries per window beyond RetryRatio, over the whole fleet
	ColdRateFactor     float64       // factor on the request rate that a cold backend server can sustain
	ColdRateSlack      int           // requests per second to a cold backend server beyond that rate
	SpareRouters       int           // routers that may be added; fleet-wide limits are divided as if they were running

	ExposeShare   float64       // fraction of a service's requests that a bad version may get during its roll-out; 0 if none is given
	ExposeSlack   int           // requests of the whole fleet beyond it
	RollbackDelay time.Duration // from a version's 50th bad answer until it gets no more requests; 0 if none is given
}

// RollsOut reports whether the router takes part in roll-outs: the bounds of a bad version's exposure are given.
func (g *Gateway) RollsOut() bool {
	return g.ExposeShare > 0 && g.ExposeSlack > 0 && g.RollbackDelay > 0
}

// gatewayKeySpec describes a key of a gateway's settings file. apply stores a value; if
// the value is invalid, it returns an instruction to the operator.
type gatewayKeySpec struct {
	section, name, defaultValue, description string
	apply                                    func(g *Gateway, value string) (remedy string)
}

// GatewayKeys returns the documentation of all keys of a gateway's settings file, except
// addresses in [peers].
func GatewayKeys() []KeyDoc {
	docs := make([]KeyDoc, len(gatewayKeySpecs))
	for i, k := range gatewayKeySpecs {
		docs[i] = KeyDoc{k.section, k.name, k.defaultValue, k.description}
	}
	return docs
}

var gatewayKeySpecs = []gatewayKeySpec{
	{"vm", "name", "", "name of this VM, unique in the fleet", gatewayTextSetter(func(g *Gateway) *string { return &g.VM }, checkName)},
	{"vm", "zone", "", "availability zone of this VM", gatewayTextSetter(func(g *Gateway) *string { return &g.Zone }, checkName)},
	{"vm", "ip", "", "IP address of this VM", gatewayTextSetter(func(g *Gateway) *string { return &g.IP }, checkIP)},
	{"vm", "first-start", "false", "true when the fleet starts for the first time, so that no stream has begun before", gatewayBoolSetter(func(g *Gateway) *bool { return &g.FirstStart })},
	{"vm", "memory-mb", "256", "memory limit of the process, in MB", gatewayFloorSetter(func(g *Gateway) *int { return &g.MemoryLimitMB }, 32, 1<<20)},
	{"vm", "descriptors", "4096", "maximum number of open files and sockets of the process", gatewayIntSetter(func(g *Gateway) *int { return &g.MaxOpenFiles }, 64, 1<<20)},
	{"log", "level", "info", "least severe level that is logged: debug, info, warn or error", gatewayTextSetter(func(g *Gateway) *string { return &g.LogLevel }, checkLevel)},
	{"callers", "listen", "", "IP address and port for callers", gatewayTextSetter(func(g *Gateway) *string { return &g.Listen }, checkAddress)},
	{"callers", "ready-listen", "", "IP address and port for readiness checks of the load balancer", gatewayTextSetter(func(g *Gateway) *string { return &g.ReadyListen }, checkAddress)},
	{"metrics", "listen", "", "IP address and port for metrics; no metrics are served if empty", gatewayTextSetter(func(g *Gateway) *string { return &g.MetricsListen }, checkOptionalAddress)},
	{"peers", "port", "7400", "UDP port for messages between routers, the same on all VMs", gatewayIntSetter(func(g *Gateway) *int { return &g.PeerPort }, 1, 65535)},
	{"peers", "spare", "3", "number of routers that may be added at once", gatewayIntSetter(func(g *Gateway) *int { return &g.SpareRouters }, 0, 10000)},
	{"platform", "address", "", "IP address and port of the platform's store", gatewayTextSetter(func(g *Gateway) *string { return &g.StoreAddress }, checkAddress)},
	{"bounds", "contact-ms", "3000", "time after a failure of the store during which the other time limits may be exceeded, in ms", gatewayMillisSetter(func(g *Gateway) *time.Duration { return &g.StoreFailureWindow })},
	{"bounds", "config-apply-ms", "2000", "maximum time until a configuration change takes effect, in ms", gatewayMillisSetter(func(g *Gateway) *time.Duration { return &g.MaxConfigDelay })},
	{"bounds", "revoke-ms", "5000", "maximum time until a revoked key is rejected, in ms", gatewayMillisSetter(func(g *Gateway) *time.Duration { return &g.MaxRevokeDelay })},
	{"bounds", "grace-s", "8", "time from SIGTERM to SIGKILL, in seconds", gatewaySecondsSetter(func(g *Gateway) *time.Duration { return &g.GracePeriod })},
	{"bounds", "retry-ratio", "0.2", "maximum number of retries per request, as an average over the whole fleet", gatewayFloatSetter(func(g *Gateway) *float64 { return &g.RetryRatio }, 0, 10)},
	{"bounds", "retry-window-s", "10", "window over which retries are counted, in seconds", gatewaySecondsSetter(func(g *Gateway) *time.Duration { return &g.RetryWindow })},
	{"bounds", "retry-slack", "50", "retries of the whole fleet per window beyond retry-ratio", gatewayFloorSetter(func(g *Gateway) *int { return &g.RetrySlack }, 0, 1<<20)},
	{"bounds", "cold-over", "1.5", "factor on the request rate that a cold backend server can sustain", gatewayFloatSetter(func(g *Gateway) *float64 { return &g.ColdRateFactor }, 0, 100)},
	{"bounds", "cold-slack", "5", "requests per second to a cold backend server beyond that rate", gatewayFloorSetter(func(g *Gateway) *int { return &g.ColdRateSlack }, 0, 1<<20)},
	{"bounds", "expose-share", "", "maximum fraction of a service's requests that a bad version gets during its roll-out; no roll-outs if empty", gatewayOptionalSetter(gatewayFloatSetter(func(g *Gateway) *float64 { return &g.ExposeShare }, 0, 1))},
	{"bounds", "expose-slack", "", "requests of the whole fleet to a bad version beyond expose-share", gatewayOptionalSetter(gatewayFloorSetter(func(g *Gateway) *int { return &g.ExposeSlack }, 0, 1<<20))},
	{"bounds", "rollback-ms", "", "maximum time from a version's 50th bad answer until it gets no more requests, in ms; no roll-outs if empty", gatewayOptionalSetter(gatewayMillisSetter(func(g *Gateway) *time.Duration { return &g.RollbackDelay }))},
}

func checkIP(value string) string {
	if checkAddress(value+":1") != "" {
		return "give an IP number, as in 10.0.0.7"
	}
	return ""
}

// gatewayTextSetter returns the apply function of a key whose value is text. Like the
// other setters, it gets a function that returns the address of the key's field.
func gatewayTextSetter(field func(*Gateway) *string, check checkFunc) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		*field(g) = value
		return check(value)
	}
}

// gatewayIntSetter accepts whole numbers from minimum to maximum.
func gatewayIntSetter(field func(*Gateway) *int, minimum, maximum int) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		n, err := strconv.Atoi(value)
		if err != nil || n < minimum || n > maximum {
			return fmt.Sprintf("give a whole number from %d to %d", minimum, maximum)
		}
		*field(g) = n
		return ""
	}
}

// gatewayFloorSetter accepts numbers from minimum to maximum, and drops the fraction: a limit is kept by what is less.
func gatewayFloorSetter(field func(*Gateway) *int, minimum, maximum int) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		x := 0.0
		remedy := gatewayFloatSetter(func(*Gateway) *float64 { return &x }, float64(minimum), float64(maximum))(g, value)
		*field(g) = int(x)
		return remedy
	}
}

// gatewayBoolSetter accepts true and false.
func gatewayBoolSetter(field func(*Gateway) *bool) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		*field(g) = value == "true"
		if value != "true" && value != "false" {
			return "give true or false"
		}
		return ""
	}
}

// gatewayFloatSetter accepts numbers from minimum to maximum.
func gatewayFloatSetter(field func(*Gateway) *float64, minimum, maximum float64) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= minimum && x <= maximum) { // NaN is neither
			return fmt.Sprintf("give a number from %g to %g", minimum, maximum)
		}
		*field(g) = x
		return ""
	}
}

// gatewayOptionalSetter accepts the empty string too, which leaves the field at 0.
func gatewayOptionalSetter(apply func(*Gateway, string) string) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		if value == "" {
			return ""
		}
		return apply(g, value)
	}
}

// gatewayDurationSetter accepts positive numbers of a unit of time, up to 1e7.
func gatewayDurationSetter(field func(*Gateway) *time.Duration, unit time.Duration) func(*Gateway, string) string {
	return func(g *Gateway, value string) string {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x > 0 && x <= 1e7) {
			return "give a number above 0"
		}
		*field(g) = time.Duration(x * float64(unit))
		return ""
	}
}

func gatewayMillisSetter(field func(*Gateway) *time.Duration) func(*Gateway, string) string {
	return gatewayDurationSetter(field, time.Millisecond)
}

func gatewaySecondsSetter(field func(*Gateway) *time.Duration) func(*Gateway, string) string {
	return gatewayDurationSetter(field, time.Second)
}

// ReadGateway returns the settings of a gateway in a file, with the bounds of GatewayBoundsEnv that the file lacks. The error is
// SettingErrors if the file can be read but is not valid.
func ReadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read: %w; name an INI file with -settings or in %s", err, GatewaySettingsEnv)
	}
	return ParseGatewayWithBounds(data, os.Getenv(GatewayBoundsEnv))
}

// ParseGateway returns the settings of a gateway in INI text; the error is SettingErrors.
func ParseGateway(data []byte) (*Gateway, error) { return ParseGatewayWithBounds(data, "") }

// boundsSection is the section of the settings that ParseGatewayWithBounds completes.
const boundsSection = "bounds"

// ParseGatewayWithBounds returns the settings of a gateway in INI text, completed by bounds as those of GatewayBoundsEnv; the error
// is SettingErrors.
func ParseGatewayWithBounds(data []byte, bounds string) (*Gateway, error) {
	file, err := ini.Load(data)
	if err != nil {
		return nil, SettingErrors{{Remedy: "write lines as key = value under [section]: " + err.Error()}}
	}
	g := &Gateway{}
	var errs SettingErrors
	known := map[string]bool{}
	missing := map[string]string{} // bounds, by name
	for _, pair := range strings.Fields(bounds) {
		name, value, _ := strings.Cut(pair, "=")
		missing[name] = value
	}
	for _, k := range gatewayKeySpecs {
		known[k.section+"/"+k.name] = true
		value := k.defaultValue
		if k.section == boundsSection {
			value = cmp.Or(missing[k.name], value)
			delete(missing, k.name)
		}
		if given := file.Section(k.section).Key(k.name).String(); given != "" {
			value = given
		}
		if remedy := k.apply(g, value); remedy != "" {
			errs = append(errs, &SettingError{k.section, k.name, value, remedy})
		}
	}
	for name, value := range missing {
		errs = append(errs, &SettingError{boundsSection, name, value, "remove it from " + GatewayBoundsEnv + ", or correct its name"})
	}
	known["peers/addresses"] = true
	for _, address := range file.Section("peers").Key("addresses").Strings(",") {
		if remedy := checkAddress(address); remedy != "" {
			errs = append(errs, &SettingError{"peers", "addresses", address, remedy})
			continue
		}
		g.Peers = append(g.Peers, address)
	}
	for _, sec := range file.Sections() {
		for _, k := range sec.Keys() {
			if !known[sec.Name()+"/"+k.Name()] {
				errs = append(errs, &SettingError{sec.Name(), k.Name(), k.String(), "remove this key, or correct its name"})
			}
		}
	}
	if len(errs) > 0 {
		return nil, errs
	}
	g.Zone = strings.TrimSpace(g.Zone)
	return g, nil
}
