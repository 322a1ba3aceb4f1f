package report

import "hickoryrail/core/option"

// Notice is what a target states about itself in an answer.
type Notice struct {
	// Limit is the number of requests per second that the target takes from all nodes
	// together. An answer without one states that there is no limit.
	Limit option.Option[float64]
	// LimitMalformed is set if the answer has a limit that cannot be read; it then states
	// nothing about the limit.
	LimitMalformed bool
	// Leaving means that the target is about to stop and takes no new work.
	Leaving bool
}
