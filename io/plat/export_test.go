package plat

import (
	"context"

	"hickoryrail/core/order"
)

// Step makes one action's call, so that tests can interleave submissions.
func (s *Submitter) Step(ctx context.Context, m *order.Submission, a order.Action) order.Action {
	next, _ := s.step(ctx, m, a)
	return next
}
