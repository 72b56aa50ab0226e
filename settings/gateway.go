package settings

// This file defines Gateway, the settings of a router on a platform that lists
// backend servers and holds the configuration itself.

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// GatewayEnv is the environment variable with the path of a gateway's settings.
const GatewayEnv = "BULRUSHTALLY_BOOT"

// Gateway are the settings of a router that sends requests straight to backend servers.
type Gateway struct {
	VM, Zone, IP string

	LogLevel string

	Listen        string // for callers
	ReadyListen   string // for the balancer
	MetricsListen string
	PeerPort      int
	Peers         []string // addresses of some other routers

	StoreAddress string
	MemoryMB     int
	Descriptors  int // files and sockets that the process may have open

	Contact      time.Duration // without trouble for so long, time bounds hold
	ConfigApply  time.Duration
	Revoke       time.Duration // a key that was taken away is refused after this
	Grace        time.Duration // from SIGTERM to SIGKILL
	RetryRatio   float64
	RetryWindow  time.Duration
	RetrySlack   int
	ColdOver     float64
	ColdSlack    int
	SpareRouters int // that may be added; bounds are split with room for them
}

// gatewayKey is one entry of a gateway's settings file.
type gatewayKey struct {
	section, name, fallback, meaning string
	apply                            func(g *Gateway, value string) (remedy string)
}

// GatewayKeys returns every key of a gateway's settings in the order of the documentation.
func GatewayKeys() []Key {
	list := make([]Key, len(gatewayKeys))
	for i, k := range gatewayKeys {
		list[i] = Key{k.section, k.name, k.fallback, k.meaning}
	}
	return list
}

var gatewayKeys = []gatewayKey{
	{"vm", "name", "", "name of this VM, unique in the fleet", gatewayText(func(g *Gateway) *string { return &g.VM }, nameRule)},
	{"vm", "zone", "", "availability zone of this VM", gatewayText(func(g *Gateway) *string { return &g.Zone }, nameRule)},
	{"vm", "ip", "", "IP number of this VM", gatewayText(func(g *Gateway) *string { return &g.IP }, ipRule)},
	{"vm", "memory-mb", "256", "memory that the process may take, in MB", gatewayCount(func(g *Gateway) *int { return &g.MemoryMB }, 32, 1<<20)},
	{"vm", "descriptors", "4096", "files and sockets that the process may have open", gatewayCount(func(g *Gateway) *int { return &g.Descriptors }, 64, 1<<20)},
	{"log", "level", "info", "debug, info, warn or error", gatewayText(func(g *Gateway) *string { return &g.LogLevel }, levelRule)},
	{"callers", "listen", "", "IP number and port for callers", gatewayText(func(g *Gateway) *string { return &g.Listen }, addressRule)},
	{"callers", "ready-listen", "", "IP number and port where the balancer asks", gatewayText(func(g *Gateway) *string { return &g.ReadyListen }, addressRule)},
	{"metrics", "listen", "", "IP number and port for metrics; none without", gatewayText(func(g *Gateway) *string { return &g.MetricsListen }, optionalAddressRule)},
	{"peers", "port", "7400", "UDP port for other routers, the same on all VMs", gatewayCount(func(g *Gateway) *int { return &g.PeerPort }, 1, 65535)},
	{"peers", "spare", "3", "routers that may be added at once", gatewayCount(func(g *Gateway) *int { return &g.SpareRouters }, 0, 10000)},
	{"platform", "address", "", "IP number and port of the platform's store", gatewayText(func(g *Gateway) *string { return &g.StoreAddress }, addressRule)},
	{"bounds", "contact-ms", "3000", "trouble of the store this long ago still counts", gatewayMillis(func(g *Gateway) *time.Duration { return &g.Contact })},
	{"bounds", "config-apply-ms", "2000", "a configuration is in force after this", gatewayMillis(func(g *Gateway) *time.Duration { return &g.ConfigApply })},
	{"bounds", "revoke-ms", "5000", "a key that was taken away is refused after this", gatewayMillis(func(g *Gateway) *time.Duration { return &g.Revoke })},
	{"bounds", "grace-s", "8", "time from SIGTERM to SIGKILL, in seconds", gatewaySeconds(func(g *Gateway) *time.Duration { return &g.Grace })},
	{"bounds", "retry-ratio", "0.2", "attempts beyond the first for each request, over the fleet", gatewayFloat(func(g *Gateway) *float64 { return &g.RetryRatio }, 0, 10)},
	{"bounds", "retry-window-s", "10", "window of that bound, in seconds", gatewaySeconds(func(g *Gateway) *time.Duration { return &g.RetryWindow })},
	{"bounds", "retry-slack", "50", "attempts beyond that bound in a window", gatewayCount(func(g *Gateway) *int { return &g.RetrySlack }, 0, 1<<20)},
	{"bounds", "cold-over", "1.5", "factor on the rate that a cold backend server bears", gatewayFloat(func(g *Gateway) *float64 { return &g.ColdOver }, 0, 100)},
	{"bounds", "cold-slack", "5", "requests of a second beyond that", gatewayCount(func(g *Gateway) *int { return &g.ColdSlack }, 0, 1<<20)},
}

func ipRule(v string) string {
	if addressRule(v+":1") != "" {
		return "give an IP number, as in 10.0.0.7"
	}
	return ""
}

func gatewayText(at func(*Gateway) *string, check rule) func(*Gateway, string) string {
	return func(g *Gateway, v string) string {
		*at(g) = v
		return check(v)
	}
}

func gatewayCount(at func(*Gateway) *int, least, most int) func(*Gateway, string) string {
	return func(g *Gateway, v string) string {
		n, err := strconv.Atoi(v)
		if err != nil || n < least || n > most {
			return fmt.Sprintf("give a whole number from %d to %d", least, most)
		}
		*at(g) = n
		return ""
	}
}

func gatewayFloat(at func(*Gateway) *float64, least, most float64) func(*Gateway, string) string {
	return func(g *Gateway, v string) string {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || x < least || x > most {
			return fmt.Sprintf("give a number from %g to %g", least, most)
		}
		*at(g) = x
		return ""
	}
}

func gatewayUnits(at func(*Gateway) *time.Duration, unit time.Duration) func(*Gateway, string) string {
	return func(g *Gateway, v string) string {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || x <= 0 || x > 1e7 {
			return "give a number above 0"
		}
		*at(g) = time.Duration(x * float64(unit))
		return ""
	}
}

func gatewayMillis(at func(*Gateway) *time.Duration) func(*Gateway, string) string {
	return gatewayUnits(at, time.Millisecond)
}

func gatewaySeconds(at func(*Gateway) *time.Duration) func(*Gateway, string) string {
	return gatewayUnits(at, time.Second)
}

// ReadGateway returns the settings of a gateway in a file, or Faults.
func ReadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file cannot be read: %w; name an INI file with -settings or in %s", err, GatewayEnv)
	}
	return ParseGateway(data)
}

// ParseGateway returns the settings of a gateway in INI text, or Faults.
func ParseGateway(data []byte) (*Gateway, error) {
	f, err := ini.Load(data)
	if err != nil {
		return nil, Faults{{Remedy: "write lines as key = value under [section]: " + err.Error()}}
	}
	g := &Gateway{}
	var faults Faults
	known := map[string]bool{}
	for _, k := range gatewayKeys {
		known[k.section+"/"+k.name] = true
		value := k.fallback
		if given := f.Section(k.section).Key(k.name).String(); given != "" {
			value = given
		}
		if remedy := k.apply(g, value); remedy != "" {
			faults = append(faults, &Fault{k.section, k.name, value, remedy})
		}
	}
	known["peers/addresses"] = true
	for _, a := range f.Section("peers").Key("addresses").Strings(",") {
		if remedy := addressRule(a); remedy != "" {
			faults = append(faults, &Fault{"peers", "addresses", a, remedy})
			continue
		}
		g.Peers = append(g.Peers, a)
	}
	for _, s := range f.Sections() {
		for _, k := range s.Keys() {
			if !known[s.Name()+"/"+k.Name()] {
				faults = append(faults, &Fault{s.Name(), k.Name(), k.String(), "remove this key, or correct its name"})
			}
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	g.Zone = strings.TrimSpace(g.Zone)
	return g, nil
}
