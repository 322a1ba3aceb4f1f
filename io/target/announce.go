package target

import (
	"context"
	"time"
)

const (
	// renewPeriod is the time between renewals. The node removes a target after 3 s
	// without one.
	renewPeriod = time.Second
	// retryPeriod is the delay after a failed announcement or renewal.
	retryPeriod = 200 * time.Millisecond
)

// announce announces the target and renews the announcement until ctx ends, the target
// drains or it is killed. After a failed renewal, for example at a restarted node that
// does not know the target, it announces the target again.
func (s *Server) announce(ctx context.Context) {
	announced := false
	for {
		if s.draining.Load() || s.killed.Load() {
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
