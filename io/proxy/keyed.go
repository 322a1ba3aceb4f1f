package proxy

import (
	"context"
	"errors"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/once"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
	"hickoryrail/io/wire"
)

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// maxRowBody is the largest body that is stored in the key's row; a larger
	// one is stored as an object.
	maxRowBody = 64 << 10
	// storeCallMillis bounds a store call after the claim.
	storeCallMillis = 2 * clock.Second
)

// keyClaim is the claim of one idempotency key at the store.
type keyClaim struct {
	in    *Ingress
	row   string
	claim once.Claim
}

// keyed forwards a call with an idempotency key if its claim succeeds, and
// otherwise answers with the stored outcome or a refusal. The outcome is stored
// after the caller has its answer.
func (in *Ingress) keyed(c *call, caller, key string) *wire.Response {
	if in.Store == nil {
		return notRun(reasonNoStore)
	}
	k := &keyClaim{in: in, row: once.RowKey(c.route.Service, ident.CallerID(caller), key)}
	k.claim = once.Claim{
		ID: ident.RequestID(c.id), StoreMillis: in.StoreMillis,
		Fingerprint: once.Fingerprint(c.request.Method, c.request.URI, c.request.Body),
	}
	now := in.Clock.Now()
	decided := k.run(k.claim.Begin(now))
	for len(decided) == 0 {
		// The claim waits for its deadline only.
		time.Sleep((k.claim.Next() - in.Clock.Now()).Duration())
		decided = k.run(k.claim.Tick(in.Clock.Now()))
	}
	resp := k.answer(c, decided[0])
	if !k.claim.Done() || len(decided) > 1 {
		in.group.Go(func() { k.settle(c, decided, resp) })
	}
	return resp
}

// answer returns the response to the caller that follows from the claim.
func (k *keyClaim) answer(c *call, a once.Action) *wire.Response {
	switch a.Kind {
	case once.Forward:
		return k.in.forward(c)
	case once.ReplayOutcome:
		return k.replay(c, a.Outcome)
	}
	return &wire.Response{Verdict: a.Verdict, Reason: a.Reason}
}

// run carries out store actions until one for the caller comes up or none is
// left. It returns the actions for the caller.
func (k *keyClaim) run(actions []once.Action) []once.Action {
	for len(actions) > 0 {
		a := actions[0]
		if a.Kind != once.ReadRow && a.Kind != once.WriteRow {
			return actions
		}
		actions = append(k.step(a), actions[1:]...)
	}
	return nil
}

// step makes one store call.
func (k *keyClaim) step(a once.Action) []once.Action {
	limit := storeCallMillis
	if next := k.claim.Next(); next < clock.Forever {
		limit = min(limit, max(next-k.in.Clock.Now(), 0))
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	if a.Kind == once.ReadRow {
		row, err := k.in.Store.ReadRow(ctx, k.row)
		return k.claim.RowRead(k.in.Clock.Now(), row.Value, row.Revision, err == nil)
	}
	row, err := k.in.Store.WriteRow(ctx, k.row, a.Value, a.Condition)
	return k.claim.RowWritten(k.in.Clock.Now(), writeResult(err), row.Revision)
}

// writeResult returns the outcome of a conditional write.
func writeResult(err error) once.WriteResult {
	switch {
	case err == nil:
		return once.Written
	case errors.Is(err, plat.ErrConflict):
		return once.Conflict
	case result.Of(err) == result.NotRun:
		return once.Failed
	}
	return once.Unknown
}

// settle stores the outcome of a forwarded call, or releases a claim that was
// refused.
func (k *keyClaim) settle(c *call, decided []once.Action, resp *wire.Response) {
	actions := decided[1:]
	if decided[0].Kind == once.Forward {
		v, o := k.outcome(c, resp)
		actions = k.claim.Finished(k.in.Clock.Now(), v, o)
	}
	for k.run(actions); !k.claim.Done(); k.run(actions) {
		next := k.claim.Next()
		if next == clock.Forever {
			return
		}
		time.Sleep((next - k.in.Clock.Now()).Duration())
		actions = k.claim.Tick(k.in.Clock.Now())
	}
}

// outcome returns what is to be stored. A body that cannot be stored leaves the
// claim without an outcome, so that a resubmission is refused and not run.
func (k *keyClaim) outcome(c *call, resp *wire.Response) (result.Verdict, once.Outcome) {
	if resp.Verdict != result.Ran {
		return resp.Verdict, once.Outcome{}
	}
	o := once.Outcome{Status: resp.Status, Body: resp.Body}
	for name, value := range resp.Headers.All() {
		o.Headers = append(o.Headers, []string{string(name), string(value)})
	}
	if len(resp.Body) <= maxRowBody {
		return resp.Verdict, o
	}
	o.Body, o.Object = nil, k.row+"/"+c.id
	ctx, cancel := context.WithTimeout(context.Background(), storeCallMillis.Duration())
	defer cancel()
	if err := k.in.Store.PutObject(ctx, o.Object, resp.Body); err != nil {
		return result.MayHaveRun, once.Outcome{}
	}
	return resp.Verdict, o
}

// replay returns a stored outcome.
func (k *keyClaim) replay(c *call, o once.Outcome) *wire.Response {
	resp := &wire.Response{Verdict: result.Ran, Reason: once.ReasonKept, Status: o.Status, Body: o.Body}
	for _, h := range o.Headers {
		resp.Headers.Append([]byte(h[0]), []byte(h[1]))
	}
	if o.Object == "" {
		return resp
	}
	ctx, cancel := context.WithTimeout(context.Background(), (c.deadline - k.in.Clock.Now()).Duration())
	defer cancel()
	body, err := k.in.Store.GetObject(ctx, o.Object)
	if err != nil {
		return &wire.Response{Verdict: result.MayHaveRun, Reason: once.ReasonClaimed}
	}
	resp.Body = body
	return resp
}
