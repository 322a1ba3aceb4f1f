// Package conf reads the settings of a node from a TOML file. A table holds the
// default and the validator of each setting.
package conf

import (
	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/route"
	"hickoryrail/io/logs"
)

type (
	// Settings are the settings of one node. Every value has passed the check of
	// its row in the table.
	Settings struct {
		// Node is the name of the node's slot; a replacement process reuses it.
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		// Service and Target are both set or both empty, unless Platform is rows.
		Service ident.ServiceName
		Target  ident.TargetID

		// CallerAddress to PeerAddress are IP:port addresses that the node binds.
		CallerAddress string
		// TargetAddress is on a loopback interface, unless Platform is rows.
		TargetAddress   string
		AdminAddress    string
		OperatorAddress string
		// ReadyAddress is where the platform checks whether the node accepts callers;
		// used, and never empty, if Platform is rows.
		ReadyAddress string
		PeerAddress  string
		// TargetEndpoint is the address of the target's own server; empty if only
		// the target's announcement provides it.
		TargetEndpoint string
		// AdvertiseAddress is the address that peers connect to; never unspecified.
		AdvertiseAddress string

		PlatformURL string
		// Platform selects the protocol of the platform.
		Platform Platform
		// PlatformBounds are limits that the platform imposes, as entries
		// "name=value" that the package platform parses.
		PlatformBounds []string
		// Balance determines the services whose targets are chosen by expected time.
		Balance      route.BalanceMode
		Seeds        []Seed
		KeyDirectory string

		Limits Limits
		Spread Spread
		Stall  Stall
		Member Member
		Lease  Lease
		Log    Log
		Stop   Stop
	}

	// Seed is a member that a starting node contacts first.
	Seed struct {
		Node    ident.NodeID
		Address string
	}

	// Limits bounds what callers can use.
	Limits struct {
		BodyBytes   ident.Bytes
		HeaderBytes ident.Bytes
		// MemoryBytes is the memory of the process.
		MemoryBytes ident.Bytes
		// LinkBitsPerSecond is the rate of the server's link; 0 if it is unknown.
		LinkBitsPerSecond int64
		// QueueLength is the number of requests that wait at the gate.
		QueueLength int
		// CallerRequestsPerSecond is 0 for no limit.
		CallerRequestsPerSecond int
	}

	// Spread configures the distribution of releases.
	Spread struct {
		RoundMillis       clock.Millis
		StartSourceMillis clock.Millis
		PollMillis        clock.Millis
	}

	// Stall configures the detection of silent connections.
	Stall struct {
		ProbeMillis  clock.Millis
		GiveUpMillis clock.Millis
	}

	// Member configures the detection of failed nodes.
	Member struct {
		ProbeMillis clock.Millis
		// SuspectMillis is at least ProbeMillis.
		SuspectMillis clock.Millis
	}

	// Lease configures the reader's lease.
	Lease struct {
		TTLMillis clock.Millis
	}

	// Log configures the log of the node.
	Log struct {
		Level     log.Level
		Decisions logs.Filter
	}

	// Stop configures the planned stop of the node.
	Stop struct {
		// GraceMillis bounds the wait for requests in flight.
		GraceMillis clock.Millis
		// LameDuckMillis is how long a stopping node continues to serve requests
		// while it reports that it is not ready.
		LameDuckMillis clock.Millis
	}

	// Platform is a protocol of the platform.
	Platform string
)

const (
	// PlatformObjects is the protocol of docs/platform.md.
	PlatformObjects Platform = "objects"
	// PlatformRows is the protocol that the package platform translates. Targets
	// announce themselves in its format as well, and nodes communicate over TCP.
	PlatformRows Platform = "rows"
)
