// Package conf provides the settings of a node: one table of defaults with a
// validator each, read from a TOML file.
package conf

import (
	"github.com/apex/log"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/io/logs"
)

type (
	// Settings are the settings of one node. Every value has passed the check of
	// its row in the table.
	Settings struct {
		// Node is the slot's name; it stays the same when the process is replaced.
		Node          ident.NodeID
		FailureDomain ident.FailureDomain
		Region        ident.Region
		// Service and Target are both set or both empty.
		Service ident.ServiceName
		Target  ident.TargetID

		// CallerAddress to PeerAddress are IP:port addresses that the node binds.
		CallerAddress string
		// TargetAddress is on a loopback interface.
		TargetAddress   string
		AdminAddress    string
		OperatorAddress string
		// ReadyAddress is where the platform asks whether the node takes callers; empty
		// unless Platform is rows.
		ReadyAddress string
		PeerAddress  string
		// TargetEndpoint is the address of the target's own server; empty if the
		// target has to announce it.
		TargetEndpoint string
		// AdvertiseAddress is the address that peers use; never unspecified.
		AdvertiseAddress string

		PlatformURL string
		// Platform says which protocol the platform speaks.
		Platform Platform
		// PlatformBounds are the platform's own bounds, as the package platform
		// reads them.
		PlatformBounds []string
		Seeds          []Seed
		KeyDirectory   string

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
		// QueueLength is the number of requests that wait at the gate.
		QueueLength int
		// CallerRequestsPerSecond is 0 for no limit.
		CallerRequestsPerSecond int
	}

	// Spread sets the distribution of releases.
	Spread struct {
		RoundMillis       clock.Millis
		StartSourceMillis clock.Millis
		PollMillis        clock.Millis
	}

	// Stall sets the detection of silent connections.
	Stall struct {
		ProbeMillis  clock.Millis
		GiveUpMillis clock.Millis
	}

	// Member sets the detection of failed nodes.
	Member struct {
		ProbeMillis clock.Millis
		// SuspectMillis is at least ProbeMillis.
		SuspectMillis clock.Millis
	}

	// Lease sets the reader's lease.
	Lease struct {
		TTLMillis clock.Millis
	}

	// Log sets the log of the node.
	Log struct {
		Level     log.Level
		Decisions logs.Filter
	}

	// Stop sets the planned stop.
	Stop struct {
		// GraceMillis bounds the wait for requests in flight.
		GraceMillis clock.Millis
		// LameDuckMillis is how long a node that stops goes on serving while it
		// says that it is not ready.
		LameDuckMillis clock.Millis
	}

	// Platform names a protocol of the platform.
	Platform string
)

const (
	// PlatformObjects is the protocol of docs/platform.md.
	PlatformObjects Platform = "objects"
	// PlatformRows is the protocol of the platform that the package platform
	// translates. Targets announce themselves in its form as well, and nodes talk
	// over TCP.
	PlatformRows Platform = "rows"
)
