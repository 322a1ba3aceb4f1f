package target

import (
	"context"
	"time"
)

const (
	// renewPeriod is the time between renewals; the node lets three go missing.
	renewPeriod = time.Second
	// retryPeriod is the time between announcements that fail.
	retryPeriod = 200 * time.Millisecond
)

// announce announces the target and renews until ctx ends, the target drains or
// it is killed. A node that does not know the target gets a new announcement.
func (s *Server) announce(ctx context.Context) {
	announced := false
	for {
		if s.draining.Load() || s.abrupt.Load() {
			return
		}
		path, wait := "/announce", retryPeriod
		if announced {
			path = "/renew"
		}
		announced = s.post(path) == nil
		if announced {
			wait = renewPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}
