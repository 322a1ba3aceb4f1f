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
	// maxRowBody is the size of the largest body that is stored in the key's row; a
	// larger one is stored as an object.
	maxRowBody = 64 << 10
	// storeCallMillis bounds a store call; during the claim, the claim's deadline
	// bounds it too.
	storeCallMillis = 2 * clock.Second
)

// keyClaim is the claim of one idempotency key at the store.
type keyClaim struct {
	in     *Ingress
	rowKey string
	claim  once.Claim
}

// keyOwner returns the caller whose idempotency keys are separate from those of others. It
// includes the caller's team, so that no team gets the stored outcome of another.
func (c *call) keyOwner(caller []byte) string {
	if c.team == nil {
		return string(caller)
	}
	return string(c.team.Name) + "\x00" + string(caller)
}

// forwardKeyed forwards a call with an idempotency key if its claim succeeds, and
// otherwise responds with the stored outcome or a refusal. The outcome of a forwarded
// call is stored in the background, after the caller has its response.
func (in *Ingress) forwardKeyed(c *call, caller, key string) *wire.Response {
	k := &keyClaim{in: in, rowKey: once.RowKey(c.route.Service, ident.CallerID(caller), key)}
	k.claim = once.Claim{
		ID: ident.RequestID(c.id), StoreMillis: in.StoreMillis,
		Fingerprint: once.Fingerprint(c.request.Method, c.request.URI, c.request.Body),
	}
	now := in.Clock.Now()
	decided := k.run(k.claim.Begin(now))
	for len(decided) == 0 {
		// Without an action, the claim waits for its deadline only.
		time.Sleep((k.claim.Next() - in.Clock.Now()).Duration())
		decided = k.run(k.claim.Tick(in.Clock.Now()))
	}
	resp := k.answer(c, decided[0])
	if !k.claim.Done() || len(decided) > 1 {
		in.background.Go(func() { k.settle(c, decided, resp) })
	}
	return resp
}

// answer returns the response to the caller that the claim's action a asks for.
func (k *keyClaim) answer(c *call, a once.Action) *wire.Response {
	switch a.Kind {
	case once.Forward:
		return k.in.forward(c)
	case once.ReplayOutcome:
		return k.replay(c, a.Outcome)
	}
	return &wire.Response{Verdict: a.Verdict, Reason: a.Reason}
}

// run carries out store actions until an action for the caller comes up or none is
// left. It returns the remaining actions.
func (k *keyClaim) run(actions []once.Action) []once.Action {
	for len(actions) > 0 {
		a := actions[0]
		if a.Kind != once.ReadRow && a.Kind != once.WriteRow {
			return actions
		}
		actions = append(k.callStore(a), actions[1:]...)
	}
	return nil
}

// callStore makes one store call and returns the actions that follow from its result.
func (k *keyClaim) callStore(a once.Action) []once.Action {
	limit := storeCallMillis
	if next := k.claim.Next(); next < clock.Forever {
		limit = min(limit, max(next-k.in.Clock.Now(), 0))
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit.Duration())
	defer cancel()
	if a.Kind == once.ReadRow {
		row, err := k.in.Store.ReadRow(ctx, k.rowKey)
		return k.claim.RowRead(k.in.Clock.Now(), row.Value, row.Revision, err == nil)
	}
	row, err := k.in.Store.WriteRow(ctx, k.rowKey, a.Value, a.Condition)
	return k.claim.RowWritten(k.in.Clock.Now(), writeResult(err), row.Revision)
}

// writeResult returns the result of a conditional write that ended with err.
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

// settle stores the outcome of a forwarded call, or releases the claim of one that
// was refused.
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

// outcome returns the verdict and the outcome to store. A response whose body cannot
// be stored leaves the claim without an outcome, so that a resubmission is refused
// and not run.
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
	o.Body, o.Object = nil, k.rowKey+"/"+c.id
	ctx, cancel := context.WithTimeout(context.Background(), storeCallMillis.Duration())
	defer cancel()
	if err := k.in.Store.PutObject(ctx, o.Object, resp.Body); err != nil {
		return result.MayHaveRun, once.Outcome{}
	}
	return resp.Verdict, o
}

// replay returns the response of a stored outcome.
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
