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
	// ticksPerRenewal is how often per renewal a Keeper looks at its clock.
	ticksPerRenewal = 8
	// leaveTimeout bounds the release of the lease when a Keeper stops.
	leaveTimeout = 3 * time.Second
)

// Keeper runs one node's part in the lease of its region against a Store. Its
// exported fields are set before Run; its methods are safe for concurrent use.
type Keeper struct {
	Store  Store
	Clock  clock.Clock
	Region ident.Region
	// Lease has Self, Timing, Rand and Fleet set, and belongs to the Keeper.
	Lease *lease.Lease
	// OnHold and OnLose are called when this node takes or loses the lease. They
	// must not block or call the Keeper; nil means no call.
	OnHold func(ident.Epoch)
	OnLose func(ident.Epoch)

	// mu guards Lease.
	mu sync.Mutex
	// answers holds the answers to the calls of the lease; there is at most one.
	answers chan func(now clock.Millis) []lease.Action
	calls   sync.WaitGroup
}

// Holds reports whether this node holds the lease now.
func (k *Keeper) Holds() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Lease.Holds(k.Clock.Now())
}

// Pulse tells that the holder's pulse has made progress.
func (k *Keeper) Pulse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Lease.Heartbeat(k.Clock.Now())
}

// SetFleet sets the number of nodes that may contend for the lease.
func (k *Keeper) SetFleet(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Lease.FleetSize = n
}

// Run takes part until ctx ends, and then releases the lease.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.Lease.Timing.Validate(); err != nil {
		return err
	}
	k.answers = make(chan func(clock.Millis) []lease.Action, 1)
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer k.calls.Wait()
	defer cancel()
	ticker := time.NewTicker((k.Lease.Timing.RenewMillis / ticksPerRenewal).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return k.leave(calls)
		case <-ticker.C:
			k.handle(calls, k.Lease.Tick)
		case answer := <-k.answers:
			k.handle(calls, answer)
		}
	}
}

// leave releases the lease. A lease that is not released in time lapses.
func (k *Keeper) leave(ctx context.Context) error {
	timer := time.NewTimer(leaveTimeout)
	defer timer.Stop()
	stopped := k.handle(ctx, k.Lease.Stop)
	for !stopped {
		select {
		case answer := <-k.answers:
			stopped = k.handle(ctx, answer)
		case <-timer.C:
			return errors.New("lease was not released in time")
		}
	}
	return nil
}

// handle passes an event to the lease and does what it asks for. It reports
// whether the lease has stopped.
func (k *Keeper) handle(ctx context.Context, event func(now clock.Millis) []lease.Action) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	stopped := false
	for _, a := range event(k.Clock.Now()) {
		switch a.Kind {
		case lease.Read, lease.Write:
			k.calls.Go(func() { k.answers <- k.call(ctx, a) })
		case lease.Acquired:
			tell(k.OnHold, a.Epoch)
		case lease.Lost:
			tell(k.OnLose, a.Epoch)
		case lease.Stopped:
			stopped = true
		}
	}
	return stopped
}

// tell calls f if it is set.
func tell(f func(ident.Epoch), e ident.Epoch) {
	if f != nil {
		f(e)
	}
}

// call carries out a call to the store and returns its answer.
func (k *Keeper) call(ctx context.Context, a lease.Action) func(clock.Millis) []lease.Action {
	key := lease.Key(k.Region)
	if a.Kind == lease.Write {
		row, err := k.Store.WriteRow(ctx, key, lease.EncodeRow(a.Row), a.Revision)
		return func(now clock.Millis) []lease.Action {
			return k.Lease.WriteDone(now, leaseReply(err), row.Revision)
		}
	}
	row, err := k.Store.ReadRow(ctx, key)
	var value lease.Row
	if err == nil && row.Revision > 0 {
		value, err = lease.DecodeRow(row.Value)
	}
	return func(now clock.Millis) []lease.Action {
		return k.Lease.ReadDone(now, leaseReply(err), value, row.Revision)
	}
}

// leaseReply returns the reply that an error of a Store stands for.
func leaseReply(err error) lease.Reply {
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
