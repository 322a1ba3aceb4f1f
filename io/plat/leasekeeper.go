package plat

import (
	"context"
	"errors"
	"sync"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/lease"
	"hickoryrail/core/result"
)

const (
	// ticksPerRenewal is the number of ticks of the lease per renewal interval.
	ticksPerRenewal = 8
	// releaseTimeout bounds the release of the lease when a LeaseKeeper stops.
	releaseTimeout = 3 * time.Second
)

// LeaseKeeper runs one node's part in the lease of its region against a Store. Set
// the exported fields before Run; the methods are safe for concurrent use.
type LeaseKeeper struct {
	Store  Store
	Clock  clock.Clock
	Region ident.Region
	// Lease has Self, Timing and Rand set, and FleetSize unless SetFleetSize is
	// called. Only the LeaseKeeper calls its methods.
	Lease *lease.Lease
	// OnAcquired and OnLost, unless nil, are called when this node acquires or loses
	// the lease. They must not block or call methods of the LeaseKeeper.
	OnAcquired func(ident.Epoch)
	OnLost     func(ident.Epoch)

	// mu guards Lease.
	mu sync.Mutex
	// responses receives a function for each completed call to the store, which
	// reports the response to the lease. At most one call is in flight.
	responses chan func(now clock.Millis) []lease.Action
	calls     sync.WaitGroup
}

// Holds reports whether this node currently holds the lease.
func (k *LeaseKeeper) Holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Lease.Holds(k.Clock.Now())
}

// Heartbeat reports a new heartbeat of the holder.
func (k *LeaseKeeper) Heartbeat() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Lease.Heartbeat(k.Clock.Now())
}

// SetFleetSize sets the number of nodes that may contend for the lease.
func (k *LeaseKeeper) SetFleetSize(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Lease.FleetSize = n
}

// Run contends for the lease and renews it until ctx ends, and then releases it.
func (k *LeaseKeeper) Run(ctx context.Context) error {
	if err := k.Lease.Timing.Validate(); err != nil {
		return err
	}
	k.responses = make(chan func(clock.Millis) []lease.Action, 1)
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer k.calls.Wait()
	defer cancel()
	ticker := time.NewTicker((k.Lease.Timing.RenewMillis / ticksPerRenewal).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return k.release(callCtx)
		case <-ticker.C:
			k.handle(callCtx, k.Lease.Tick)
		case report := <-k.responses:
			k.handle(callCtx, report)
		}
	}
}

// release releases the lease. A lease that is not released within releaseTimeout
// expires later.
func (k *LeaseKeeper) release(ctx context.Context) error {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	stopped := k.handle(ctx, k.Lease.Stop)
	for !stopped {
		select {
		case report := <-k.responses:
			stopped = k.handle(ctx, report)
		case <-timer.C:
			return errors.New("lease was not released in time")
		}
	}
	return nil
}

// handle passes an event to the lease and carries out the actions that the lease
// returns. It reports whether the lease has stopped.
func (k *LeaseKeeper) handle(ctx context.Context, event func(now clock.Millis) []lease.Action) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	stopped := false
	for _, a := range event(k.Clock.Now()) {
		switch a.Kind {
		case lease.Read, lease.Write:
			k.calls.Go(func() { k.responses <- k.call(ctx, a) })
		case lease.Acquired:
			notify(k.OnAcquired, a.Epoch)
		case lease.Lost:
			notify(k.OnLost, a.Epoch)
		case lease.Stopped:
			stopped = true
		}
	}
	return stopped
}

// notify calls f unless it is nil.
func notify(f func(ident.Epoch), e ident.Epoch) {
	if f != nil {
		f(e)
	}
}

// call makes the call to the store that a requests, and returns a function that
// reports the response to the lease.
func (k *LeaseKeeper) call(ctx context.Context, a lease.Action) func(clock.Millis) []lease.Action {
	key := lease.Key(k.Region)
	if a.Kind == lease.Write {
		row, err := k.Store.WriteRow(ctx, key, lease.EncodeRow(a.Row), a.Revision)
		return func(now clock.Millis) []lease.Action {
			return k.Lease.WriteDone(now, leaseReplyOf(err), row.Revision)
		}
	}
	row, err := k.Store.ReadRow(ctx, key)
	var value lease.Row
	if err == nil && row.Revision > 0 {
		value, err = lease.DecodeRow(row.Value)
	}
	return func(now clock.Millis) []lease.Action {
		return k.Lease.ReadDone(now, leaseReplyOf(err), value, row.Revision)
	}
}

// leaseReplyOf converts an error of a Store to a lease.Reply.
func leaseReplyOf(err error) lease.Reply {
	switch {
	case err == nil:
		return lease.OK
	case errors.Is(err, ErrConflict):
		return lease.Conflict
	case result.Of(err) == result.NotRun:
		return lease.Failed
	}
	return lease.Unknown
}
