// Package admit provides the admission gate of a target: its slots, its queue and
// its drain.
package admit

// Load is what a gate reports with each answer.
type Load struct {
	// Free is the number of free slots; never negative.
	Free int
	// Queued is the number of waiting requests.
	Queued int
}
