package node

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"hickoryrail/core/kernel"
)

// unit adapts a server with Open, Run and Drain methods to a kernel service.
type unit struct {
	// open prepares the server and may look up other services in the kernel; nil means
	// that nothing has to be prepared.
	open func(k *kernel.Kernel) error
	// run serves until its context ends; nil means that nothing runs.
	run func(ctx context.Context) error
	// drain lets requests in flight finish; nil means that nothing has to finish.
	drain func(ctx context.Context) error

	wg     conc.WaitGroup
	cancel context.CancelFunc
	// runErr is the error of run; it is valid once wg is done.
	runErr error
}

// Start opens the server and runs it in the background.
func (u *unit) Start(ctx context.Context, k *kernel.Kernel) error {
	if u.open != nil {
		if err := u.open(k); err != nil {
			return err
		}
	}
	// The server outlives the start context: the kernel stops the services in order.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	u.cancel = cancel
	if u.run != nil {
		u.wg.Go(func() { u.runErr = u.run(runCtx) })
	}
	return nil
}

// Stop drains the server, cancels its context and waits until run has returned.
func (u *unit) Stop(ctx context.Context) error {
	var drainErr error
	if u.drain != nil {
		drainErr = u.drain(ctx)
	}
	u.cancel()
	u.wg.Wait()
	if errors.Is(u.runErr, context.Canceled) {
		u.runErr = nil
	}
	return errors.Join(drainErr, u.runErr)
}

// every calls do once per period until ctx ends, and returns the error of ctx.
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
