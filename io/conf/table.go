package conf

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
	"hickoryrail/core/stall"
	"hickoryrail/io/logs"
)

const (
	// Text is a TOML string.
	Text Kind = "text"
	// Integer is a TOML integer.
	Integer Kind = "integer"
	// List is a TOML array of strings.
	List Kind = "list of text"

	// maxNameBytes bounds a name; names in the inventory have the same bound.
	maxNameBytes = 64
	// nameAllowed describes the syntax of a name.
	nameAllowed = "1 to 64 letters, digits, '-', '_' or '.'"
	// addressAllowed describes the syntax of an address.
	addressAllowed = "an IP address and port, such as 127.0.0.1:8080 or [::1]:8080"
)

type (
	// Kind is the TOML type of a setting.
	Kind string

	// Setting is one row of the table.
	Setting struct {
		// Key is unique in the table; a dot separates the section from the key.
		Key  string
		Kind Kind
		// Default is the text form of the value that is used if the file does not
		// have the key.
		Default string
		// Required is true if the file must have the key, which has no default.
		Required bool
		// Allowed describes the accepted values.
		Allowed string
		// Help describes the purpose in one line.
		Help string
		// set validates and stores a value. It returns false, and leaves the
		// settings unchanged, if the value is refused.
		set func(s *Settings, v value) bool
	}

	// value is a TOML value of one of the kinds.
	value struct {
		text   string
		number int64
		list   []string
	}
)

// table holds every setting, in the order of docs/settings.md.
var table = []Setting{
	name("Node", "Name of the slot; a replaced process keeps it.", func(s *Settings) *ident.NodeID { return &s.Node }),
	name("FailureDomain", "Failure domain of the server.", func(s *Settings) *ident.FailureDomain { return &s.FailureDomain }),
	name("Region", "Region of the failure domain.", func(s *Settings) *ident.Region { return &s.Region }),
	text("Service", "", "empty, or "+nameAllowed, "Service of the target beside the node; set together with Target.", emptyOr(isName),
		func(s *Settings) *ident.ServiceName { return &s.Service }),
	text("Target", "", "empty, or "+nameAllowed, "Target that may announce itself here; empty for an ingress-only node.", emptyOr(isName),
		func(s *Settings) *ident.TargetID { return &s.Target }),
	text("CallerAddress", "127.0.0.1:8080", addressAllowed, "TCP address for callers (HTTP/1.1).", isAddress,
		func(s *Settings) *string { return &s.CallerAddress }),
	text("TargetAddress", "127.0.0.1:8081", addressAllowed, "TCP address at which the target announces itself; on a loopback interface unless Platform is rows.", isAddress,
		func(s *Settings) *string { return &s.TargetAddress }),
	text("TargetEndpoint", "", "empty, or "+addressAllowed, "TCP address of the target's own server, which a node that starts asks for the target.", emptyOr(isAddress),
		func(s *Settings) *string { return &s.TargetEndpoint }),
	text("AdminAddress", "127.0.0.1:8082", addressAllowed, "TCP address for metrics, health and status.", isAddress,
		func(s *Settings) *string { return &s.AdminAddress }),
	text("OperatorAddress", "127.0.0.1:8443", addressAllowed, "TCP address for operators (HTTPS).", isAddress,
		func(s *Settings) *string { return &s.OperatorAddress }),
	text("ReadyAddress", "", "empty, or "+addressAllowed, "TCP address at which the platform asks whether the node takes callers; required if Platform is rows.", emptyOr(isAddress),
		func(s *Settings) *string { return &s.ReadyAddress }),
	text("PeerAddress", "127.0.0.1:7400", addressAllowed, "Address for other nodes: UDP (QUIC), or TCP if Platform is rows.", isAddress,
		func(s *Settings) *string { return &s.PeerAddress }),
	text("AdvertiseAddress", "", "empty for PeerAddress, or a specific IP address and port", "Address that peers use to reach PeerAddress.", emptyOr(isReachable),
		func(s *Settings) *string { return &s.AdvertiseAddress }),
	required(text("PlatformURL", "", "an http or https URL with a host and without a query", "Base URL of the platform's table service and object store.", isURL,
		func(s *Settings) *string { return &s.PlatformURL })),
	text("Platform", string(PlatformObjects), "objects or rows", "Protocol of the platform: objects is that of docs/platform.md, rows that of the package platform.",
		func(v string) bool { return v == string(PlatformObjects) || v == string(PlatformRows) },
		func(s *Settings) *Platform { return &s.Platform }),
	{
		Key: "PlatformBounds", Kind: List, Allowed: `entries "name=value"`,
		Help: "Bounds of the platform, for the package platform.", set: setBounds,
	},
	{
		Key: "Balance", Kind: Text, Default: "auto", Allowed: "auto, on, off",
		Help: "Services whose targets are chosen by expected time: auto for those whose targets state their pace, on for all, off for none.", set: setBalance,
	},
	{
		Key: "Seeds", Kind: List, Allowed: `entries "NodeID@IP:port"`,
		Help: "Members that the node contacts first; empty only for the first node of a fleet.", set: setSeeds,
	},
	text("KeyDirectory", "keys", "a directory's path", "Directory with the node's certificate, key and authority.", isNotEmpty,
		func(s *Settings) *string { return &s.KeyDirectory }),

	number("Limits.BodyBytes", 1<<20, 1<<10, 64<<20, "Largest body of a request or response.",
		func(s *Settings) *ident.Bytes { return &s.Limits.BodyBytes }),
	number("Limits.HeaderBytes", 16<<10, 1<<10, 1<<20, "Largest header of a request.",
		func(s *Settings) *ident.Bytes { return &s.Limits.HeaderBytes }),
	number("Limits.MemoryBytes", 256<<20, 64<<20, 1<<40, "Memory of the process; if Platform is rows, the bodies that a node holds are bounded by a part of it.",
		func(s *Settings) *ident.Bytes { return &s.Limits.MemoryBytes }),
	number("Limits.LinkBitsPerSecond", 0, 0, 1_000_000_000_000, "Rate at which the server's link sends; large answers are admitted and sent within it; 0 means unknown.",
		func(s *Settings) *int64 { return &s.Limits.LinkBitsPerSecond }),
	number("Limits.QueueLength", 16, 1, 10_000, "Requests that wait at the gate for a slot.",
		func(s *Settings) *int { return &s.Limits.QueueLength }),
	number("Limits.CallerRequestsPerSecond", 5000, 0, 1_000_000, "Requests per second of one caller; 0 sets no limit.",
		func(s *Settings) *int { return &s.Limits.CallerRequestsPerSecond }),

	number("Spread.RoundMillis", 100, 10, 10_000, "Delay that coalesces announcements; 100 favours convergence time, 2000 favours control bytes.",
		func(s *Settings) *clock.Millis { return &s.Spread.RoundMillis }),
	number("Spread.StartSourceMillis", 2000, 10, 60_000, "Wait for the source at start before peers give the version floor.",
		func(s *Settings) *clock.Millis { return &s.Spread.StartSourceMillis }),
	number("Spread.PollMillis", 500, 10, 10_000, "Interval at which the region's reader polls the source.",
		func(s *Settings) *clock.Millis { return &s.Spread.PollMillis }),

	number("Stall.ProbeMillis", int64(stall.DefaultProbeMillis), 10, 60_000, "Silence on a connection with calls after which an echo is sent.",
		func(s *Settings) *clock.Millis { return &s.Stall.ProbeMillis }),
	number("Stall.GiveUpMillis", int64(stall.DefaultGiveUpMillis), 10, 60_000, "Wait for the echo before the connection is closed.",
		func(s *Settings) *clock.Millis { return &s.Stall.GiveUpMillis }),

	number("Member.ProbeMillis", 1000, 10, 60_000, "Interval between probes of a neighbour.",
		func(s *Settings) *clock.Millis { return &s.Member.ProbeMillis }),
	number("Member.SuspectMillis", 4000, 10, 120_000, "Time from suspicion to death without confirmation; at least Member.ProbeMillis.",
		func(s *Settings) *clock.Millis { return &s.Member.SuspectMillis }),

	number("Lease.TTLMillis", 3000, 100, 60_000, "Time without a write after which a reader's lease has expired.",
		func(s *Settings) *clock.Millis { return &s.Lease.TTLMillis }),

	{
		Key: "Log.Level", Kind: Text, Default: "info", Allowed: "debug, info, warn, error",
		Help: "Least level of the log lines other than decisions.", set: setLevel,
	},
	{
		Key: "Log.Decisions", Kind: Text, Default: "all", Allowed: logs.FilterNames,
		Help: "Routing and placement decisions that are logged.", set: setDecisions,
	},

	number("Stop.GraceMillis", 10_000, 0, 600_000, "Longest wait for requests in flight at a planned stop.",
		func(s *Settings) *clock.Millis { return &s.Stop.GraceMillis }),
	number("Stop.LameDuckMillis", 0, 0, 60_000, "Time at the start of a planned stop for which the node serves on and says that it is not ready.",
		func(s *Settings) *clock.Millis { return &s.Stop.LameDuckMillis }),
}

// Table returns a copy of the table of settings.
func Table() []Setting {
	return append([]Setting(nil), table...)
}

// text returns a row for a TOML string that ok accepts.
func text[T ~string](key, def, allowed, help string, ok func(string) bool, field func(*Settings) *T) Setting {
	return Setting{
		Key: key, Kind: Text, Default: def, Allowed: allowed, Help: help,
		set: func(s *Settings, v value) bool {
			if !ok(v.text) {
				return false
			}
			*field(s) = T(v.text)
			return true
		},
	}
}

// name returns a row for a required name.
func name[T ~string](key, help string, field func(*Settings) *T) Setting {
	return required(text(key, "", nameAllowed, help, isName, field))
}

// required returns the row with its key marked as required.
func required(s Setting) Setting {
	s.Required = true
	return s
}

// number returns a row for a TOML integer from low to high.
func number[T ~int | ~int64 | ~float64](key string, def, low, high int64, help string, field func(*Settings) *T) Setting {
	return Setting{
		Key: key, Kind: Integer, Default: strconv.FormatInt(def, 10),
		Allowed: fmt.Sprintf("%d to %d", low, high), Help: help,
		set: func(s *Settings, v value) bool {
			if v.number < low || v.number > high {
				return false
			}
			*field(s) = T(v.number)
			return true
		},
	}
}

// setBalance stores the mode of load balancing.
func setBalance(s *Settings, v value) bool {
	mode, ok := route.ParseBalance(v.text)
	if ok {
		s.Balance = mode
	}
	return ok
}

// setBounds stores the bounds of the platform.
func setBounds(s *Settings, v value) bool {
	for _, entry := range v.list {
		if name, _, found := strings.Cut(entry, "="); !found || name == "" {
			return false
		}
	}
	s.PlatformBounds = v.list
	return true
}

// setSeeds stores the list of seeds.
func setSeeds(s *Settings, v value) bool {
	seeds := make([]Seed, 0, len(v.list))
	for _, entry := range v.list {
		node, address, found := strings.Cut(entry, "@")
		if !found || !isName(node) || !isReachable(address) {
			return false
		}
		seeds = append(seeds, Seed{Node: ident.NodeID(node), Address: address})
	}
	s.Seeds = seeds
	return true
}

// setLevel stores the log level.
func setLevel(s *Settings, v value) bool {
	level, err := log.ParseLevel(v.text)
	if err != nil || v.text != level.String() || level > log.ErrorLevel {
		return false
	}
	s.Log.Level = level
	return true
}

// setDecisions stores the filter for the decision log.
func setDecisions(s *Settings, v value) bool {
	filter, ok := logs.ParseFilter(v.text)
	if ok {
		s.Log.Decisions = filter
	}
	return ok
}

// emptyOr returns a check that accepts the empty string and what ok accepts.
func emptyOr(ok func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || ok(text) }
}

// isNotEmpty reports whether text is not empty.
func isNotEmpty(text string) bool {
	return text != ""
}

// isName reports whether text has the syntax of a name.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune("-_.", c) {
			return false
		}
	}
	return true
}

// isAddress reports whether text is an IP address and port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isLoopback reports whether text is a loopback address and port.
func isLoopback(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Addr().IsLoopback()
}

// isReachable reports whether text is a specific address and port, to which other
// servers can connect.
func isReachable(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && !a.Addr().IsUnspecified() && a.Port() != 0
}

// isURL reports whether text is an absolute http or https URL.
func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") &&
		u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

// isSpecific reports whether text has an address other than the unspecified one;
// port 0 is allowed.
func isSpecific(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && !a.Addr().IsUnspecified()
}
