// Package admit provides admission control for a target: concurrency limits, the queue
// of waiting calls, and draining.
package admit

// Load is the load that a gate reports with each response.
type Load struct {
	// Free is the number of free slots; never negative, 0 during a drain.
	Free int
	// Queued is the number of waiting calls.
	Queued int
}
