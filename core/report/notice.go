package report

import "hickoryrail/core/option"

// TargetLoad is the load that a target states about itself.
type TargetLoad struct {
	// Running and Waiting are its numbers of requests, and Slots that of the requests
	// that it runs at the same time; none is negative.
	Running, Waiting, Slots int
	// Pace is how long work takes on its machine at the moment, relative to usual; it is
	// above 0.
	Pace option.Option[float64]
}

// Notice is what a target states about itself in an answer.
type Notice struct {
	// Limit is the number of requests per second that the target takes from all nodes
	// together. An answer without one states that there is no limit.
	Limit option.Option[float64]
	// LimitMalformed is set if the answer has a limit that cannot be read; it then states
	// nothing about the limit.
	LimitMalformed bool
	// Load is the target's load.
	Load option.Option[TargetLoad]
	// Leaving means that the target is about to stop and takes no new work.
	Leaving bool
}
