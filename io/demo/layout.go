package demo

import (
	"fmt"
	"strings"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

type (
	// Layout describes the distribution of a fleet's nodes and targets. Node i, from 0,
	// is in domain i and beside a target of service i, both modulo their number.
	Layout struct {
		// Nodes is the number of nodes.
		Nodes    int
		Domains  []ident.FailureDomain
		Services []ident.ServiceName
		// DelayMillis is the time that each request takes at a target.
		DelayMillis clock.Millis
		// RoundMillis is the setting Spread.RoundMillis of each node.
		RoundMillis clock.Millis
		// Decisions is the setting Log.Decisions of each node.
		Decisions string
	}

	// Environment holds the settings of one node that depend on the machine and on the
	// rest of the fleet.
	Environment struct {
		// Caller, Target, Admin, Operator and Peer are the node's own addresses, host:port.
		Caller, Target, Admin, Operator, Peer string
		// Platform is the address of the platform, host:port, and Keys the key directory.
		Platform, Keys string
		// Seeds holds the seeds as NodeID@host:port.
		Seeds []string
		// HasTarget reports whether a target is beside the node.
		HasTarget bool
	}
)

// NodeID returns the name of node i.
func (l Layout) NodeID(i int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("node-%d", i+1))
}

// NodeIDs returns the names of all nodes.
func (l Layout) NodeIDs() []ident.NodeID {
	out := make([]ident.NodeID, l.Nodes)
	for i := range out {
		out[i] = l.NodeID(i)
	}
	return out
}

// Service returns the service of the target beside node i.
func (l Layout) Service(i int) ident.ServiceName {
	return l.Services[i%len(l.Services)]
}

// TargetID returns the id of the target beside node i.
func (l Layout) TargetID(i int) ident.TargetID {
	return ident.TargetID(fmt.Sprintf("%s-%d", l.Service(i), i/len(l.Services)+1))
}

// Settings returns the contents of the settings file of node i.
func (l Layout) Settings(i int, e Environment) string {
	service, target := "", ""
	if e.HasTarget {
		service, target = string(l.Service(i)), string(l.TargetID(i))
	}
	seeds := make([]string, len(e.Seeds))
	for k, s := range e.Seeds {
		seeds[k] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`
Node = %q
FailureDomain = %q
Region = "attica"
Service = %q
Target = %q
CallerAddress = %q
TargetAddress = %q
AdminAddress = %q
OperatorAddress = %q
PeerAddress = %q
PlatformURL = %q
KeyDirectory = %q
Seeds = [%s]
[Spread]
RoundMillis = %d
[Log]
Decisions = %q
`, l.NodeID(i), l.Domains[i%len(l.Domains)], service, target, e.Caller, e.Target, e.Admin, e.Operator, e.Peer,
		"http://"+e.Platform, e.Keys, strings.Join(seeds, ", "), int(l.RoundMillis), l.Decisions)
}
