package node

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/kernel"
)

// unit adapts a server with Open, Run and Drain to a kernel service.
type unit struct {
	// open may find other services and prepares the server; nil means nothing.
	open func(k *kernel.Kernel) error
	// run serves until its context ends; nil means that nothing runs.
	run func(ctx context.Context) error
	// drain lets requests in flight finish; nil means that there are none.
	drain func(ctx context.Context) error

	wg     conc.WaitGroup
	cancel context.CancelFunc
	// failure is the error of run; it is valid once wg is done.
	failure error
}

// Start opens the server and runs it in the background.
func (u *unit) Start(ctx context.Context, k *kernel.Kernel) error {
	if u.open != nil {
		if err := u.open(k); err != nil {
			return err
		}
	}
	// The kernel's stop order ends the server, not the end of the start context.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	u.cancel = cancel
	if u.run != nil {
		u.wg.Go(func() { u.failure = u.run(running) })
	}
	return nil
}

// Stop drains the server, ends it and waits for it.
func (u *unit) Stop(ctx context.Context) error {
	var drained error
	if u.drain != nil {
		drained = u.drain(ctx)
	}
	u.cancel()
	u.wg.Wait()
	if errors.Is(u.failure, context.Canceled) {
		u.failure = nil
	}
	return errors.Join(drained, u.failure)
}

// every calls do once per period until ctx ends, and returns its error.
func every(ctx context.Context, period time.Duration, do func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			do()
		}
	}
}
