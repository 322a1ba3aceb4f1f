package plat_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/order"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

type (
	// operator is a submission with the action it waits for.
	operator struct {
		m    *order.Submission
		next order.Action
	}

	// world is a store at which operators act one call at a time. A submission
	// that is accepted records nothing afterwards, as if its process had died.
	world struct {
		t     interface{ Fatalf(string, ...any) }
		table *stub.Table
		now   *clock.Manual
		s     *plat.Submitter
		// log holds every release in the order of the successful Head writes, and
		// writers the submissions that wrote them.
		log     []model.Release
		writers []*order.Submission
		// delayed are Head writes that are still under way; their submitters saw
		// no answer.
		delayed   []operator
		operators uint64
	}
)

// newWorld returns an empty store.
func newWorld(t interface{ Fatalf(string, ...any) }) *world {
	w := &world{t: t, table: &stub.Table{}, now: clock.NewManual(0)}
	w.s = submitter(w.table, w.now)
	return w
}

// begin starts a submission.
func (w *world) begin(e order.Edit, dryRun bool) *operator {
	w.operators++
	m := &order.Submission{Edit: e, DryRun: dryRun, Rand: rand.New(rand.NewPCG(1, w.operators))}
	return &operator{m: m, next: m.Begin(w.now.Now())}
}

// edit starts the submission of an edit with the given slots per service.
func (w *world) edit(id ident.EditID, base ident.Version, slots ...int) *operator {
	return w.begin(order.Edit{ID: id, Base: base, Configuration: services(slots...)}, false)
}

// step carries out the operator's next action while the store has faults.
func (w *world) step(o *operator, f stub.Faults) {
	switch {
	case o.next.Kind >= order.Accept:
		return
	case o.next.Kind == order.Wait:
		w.now.Advance(o.next.Until - w.now.Now())
		o.next = o.m.Tick(w.now.Now())
		return
	}
	w.table.SetFaults(f)
	o.next = w.s.Step(context.Background(), o.m, o.next)
	w.table.SetFaults(stub.Faults{})
	w.follow(o.m)
}

// follow takes a release that m has written into the log.
func (w *world) follow(m *order.Submission) {
	head, _, err := plat.ReadHead(context.Background(), w.table)
	if err != nil || head.Version < ident.Version(len(w.log)) || head.Version > ident.Version(len(w.log)+1) {
		w.t.Fatalf("head goes from version %d to %d: %v", len(w.log), head.Version, err)
	}
	if head.Version == ident.Version(len(w.log)) {
		return
	}
	r, err := plat.ReadRelease(context.Background(), w.table, order.HistoryOf(head))
	if err != nil {
		w.t.Fatalf("head names release %d: %v", head.Version, err)
	}
	w.log, w.writers = append(w.log, r), append(w.writers, m)
}

// fail carries out the operator's next action with drawn faults.
func (w *world) fail(t *rapid.T, o *operator) {
	f := rapid.SampledFrom([]stub.Faults{{}, {}, {}, {}, {Down: true}, {LoseAnswers: 1}, {LoseRequests: 1}}).Draw(t, "faults")
	if o.next.Kind == order.WriteHead && f.LoseRequests > 0 && rapid.Bool().Draw(t, "delay") {
		w.delayed = append(w.delayed, *o)
	}
	w.step(o, f)
}

// land lets the oldest delayed Head write reach the store.
func (w *world) land() {
	a := w.delayed[0].next
	_, _ = w.table.WriteRow(context.Background(), order.HeadKey, order.EncodeHead(a.Head), a.Revision)
	w.follow(w.delayed[0].m)
	w.delayed = w.delayed[1:]
}

// finish runs a submission to its end without faults.
func (w *world) finish(o *operator) order.Action {
	for o.next.Kind < order.Accept {
		w.step(o, stub.Faults{})
	}
	return o.next
}

// checkEnd compares what an operator was told with what happened.
func (w *world) checkEnd(o *operator) {
	var versions []ident.Version
	for _, r := range w.log {
		if r.EditID == o.m.Edit.ID {
			versions = append(versions, r.Version)
		}
	}
	a := o.next
	switch {
	case a.Kind == order.Accept && !slices.Equal(versions, []ident.Version{a.Version}):
		w.t.Fatalf("edit %s was told version %d and has %v", o.m.Edit.ID, a.Version, versions)
	case a.Kind == order.Refuse && (len(versions) != 0 || len(a.Row.Clashes) == 0):
		w.t.Fatalf("edit %s was refused (%s) and has versions %v", o.m.Edit.ID, a.Row.Reason, versions)
	case a.Kind == order.GiveUp && a.Verdict == result.NotRun && slices.Contains(w.writers, o.m):
		// Another submission of the same edit may have had more luck.
		w.t.Fatalf("submission of edit %s was told NotRun and wrote one of %v", o.m.Edit.ID, versions)
	}
}

// configuration returns that of a version; version 0 is empty.
func (w *world) configuration(v ident.Version) model.Configuration {
	if v == 0 {
		return model.Configuration{}
	}
	return w.log[v-1].Configuration
}

// checkLog checks that versions are consecutive, that each edit was accepted at
// most once, and that each release has its edit's changes and no others.
func (w *world) checkLog(edits map[ident.EditID]order.Edit) {
	seen := make(map[ident.EditID]bool)
	for i, r := range w.log {
		if r.Version != ident.Version(i+1) || seen[r.EditID] {
			w.t.Fatalf("release %d has version %d of edit %s", i+1, r.Version, r.EditID)
		}
		seen[r.EditID] = true
		e, wanted := edits[r.EditID], make(map[string]string)
		for _, c := range model.Diff(w.configuration(e.Base), e.Configuration) {
			wanted[c.Field] = c.New
		}
		for _, c := range model.Diff(w.configuration(r.Version-1), r.Configuration) {
			if v, ok := wanted[c.Field]; !ok || v != c.New {
				w.t.Fatalf("release %d changes %s to %q, which its edit does not", r.Version, c.Field, c.New)
			}
		}
		for _, c := range model.Diff(r.Configuration, e.Configuration) {
			if _, ok := wanted[c.Field]; ok {
				w.t.Fatalf("release %d lost its edit's %s", r.Version, c.Field)
			}
		}
	}
}

// drawEdit returns an edit of one or two services on some version of the log.
func (w *world) drawEdit(t *rapid.T, id ident.EditID) order.Edit {
	base := ident.Version(rapid.IntRange(0, len(w.log)).Draw(t, "base"))
	var slots [3]int
	for _, s := range w.configuration(base).Inventory.Services {
		slots[s.Name[1]-'0'] = int(s.Slots)
	}
	for range rapid.IntRange(1, 2).Draw(t, "fields") {
		slots[rapid.IntRange(0, 2).Draw(t, "service")] = rapid.IntRange(0, 4).Draw(t, "slots")
	}
	return order.Edit{ID: id, Base: base, Configuration: services(slots[:]...)}
}

// TestSubmissionsKeepOneOrder guards against versions that repeat or go back, an
// edit that is accepted twice or lost after a lost answer, and an operator who is
// told another outcome than the true one. Any number of operators race, answers
// are lost, writes land late, and some edits are submitted twice.
func TestSubmissionsKeepOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		edits := make(map[ident.EditID]order.Edit)
		var operators []*operator
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 11).Draw(t, "kind"); {
			case kind == 0 || len(operators) == 0:
				e := w.drawEdit(t, ident.EditID(fmt.Sprintf("e%d", len(edits))))
				edits[e.ID] = e
				operators = append(operators, w.begin(e, false))
			case kind == 1:
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(edits))).Draw(t, "again")
				operators = append(operators, w.begin(edits[id], false))
			case kind == 2 && len(w.delayed) > 0:
				w.land()
			default:
				w.fail(t, rapid.SampledFrom(operators).Draw(t, "operator"))
			}
		}
		for i, o := range operators {
			for n := 0; o.next.Kind < order.Accept; n++ {
				if n > 400 {
					t.Fatalf("operator %d does not end", i)
				}
				w.fail(t, o)
			}
		}
		for len(w.delayed) > 0 {
			w.land()
		}
		for _, o := range operators {
			w.checkEnd(o)
		}
		w.checkLog(edits)
	})
}

// TestRacingOperators guards against a lost update: of two edits on one base,
// with fields in common that they set to different values, exactly one is
// accepted and the other is refused with exactly those fields; otherwise both
// are accepted, and the second keeps the first one's changes.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.finish(w.edit("base", 0, 1, 1, 1))
		slots := rapid.SliceOfN(rapid.IntRange(1, 3), 3, 3)
		a, b := slots.Draw(t, "a"), slots.Draw(t, "b")
		var clashes []string
		merged := []int{1, 1, 1}
		for i := range a {
			if a[i] != 1 && b[i] != 1 && a[i] != b[i] {
				clashes = append(clashes, fmt.Sprintf("Service/s%d/Slots", i))
			}
			merged[i] = max(a[i], b[i]) // equal, or one of them is the base's 1
		}
		operators := []*operator{w.edit("a", 1, a...), w.edit("b", 1, b...)}
		for operators[0].next.Kind < order.Accept || operators[1].next.Kind < order.Accept {
			w.step(operators[rapid.IntRange(0, 1).Draw(t, "turn")], stub.Faults{})
		}
		slices.SortFunc(operators, func(a, b *operator) int { return int(a.next.Kind) - int(b.next.Kind) })
		first, second := operators[0].next, operators[1].next
		switch {
		case len(clashes) > 0 && (first.Kind != order.Accept || second.Kind != order.Refuse):
			t.Fatalf("clashing edits %v and %v end with %v and %v", a, b, first.Kind, second.Kind)
		case len(clashes) > 0 && !slices.Equal(second.Row.Clashes, clashes):
			t.Fatalf("refused with %v instead of %v", second.Row.Clashes, clashes)
		case len(clashes) == 0 && (first.Kind != order.Accept || second.Kind != order.Accept):
			t.Fatalf("disjoint edits %v and %v end with %v and %v", a, b, first.Kind, second.Kind)
		case len(clashes) == 0 && w.configuration(3).Digest() != services(merged...).Digest():
			t.Fatalf("edits %v and %v merge to %+v", a, b, w.configuration(3))
		}
	})
}

// TestLongPause guards against a second acceptance of an edit whose answer was
// lost and whose submitter resumes after the edit has left Head.Recent.
func TestLongPause(t *testing.T) {
	is := is.New(t)
	for _, others := range []int{1, order.MaxRecent - 1, order.MaxRecent, order.MaxRecent + 1, 2 * order.MaxRecent} {
		w := newWorld(t)
		w.finish(w.edit("first", 0, 1))
		o := w.edit("paused", 1, 1, 1)
		for o.next.Kind != order.WriteHead {
			w.step(o, stub.Faults{})
		}
		w.step(o, stub.Faults{LoseAnswers: 1})
		for i := range others {
			is.Equal(w.finish(w.edit(ident.EditID(fmt.Sprintf("o%d", i)), 1, 1)).Kind, order.Accept)
		}
		is.Equal(w.finish(o).Kind, order.Accept)
		is.Equal(o.next.Version, ident.Version(2))
		w.checkEnd(o)
	}
}

// TestDryRun guards against a plan that changes the store or that is not what is
// accepted.
func TestDryRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(t)
		w.finish(w.edit("first", 0, 1, 2))
		before, e := w.table.Counts(), w.drawEdit(t, "plan")
		a := w.finish(w.begin(e, true))
		after := w.table.Counts()
		is.Equal(after.RowWrites, before.RowWrites)
		is.Equal(after.ObjectWrites, before.ObjectWrites)
		is.True(a.Kind == order.Plan || a.Kind == order.Refuse)
		if a.Kind == order.Plan {
			is.Equal(w.finish(w.begin(e, false)).Changes, a.Changes)
		}
	})
}

// TestRefusals guards against an edit that is accepted although it is invalid,
// alone or after the merge, or has a base that does not exist.
func TestRefusals(t *testing.T) {
	route := model.Route{Name: "r", PathPrefix: "/", Service: "s1", Class: model.Browse, TimeoutMillis: 100, MaxAttempts: 1}
	withRoute, twice := services(1, 1), services(1, 2)
	withRoute.Rules.Routes = []model.Route{route}
	twice.Inventory.Services[1].Name = twice.Inventory.Services[0].Name
	for name, e := range map[string]order.Edit{
		"invalid":             {ID: "x", Base: 1, Configuration: model.Configuration{Rules: withRoute.Rules}},
		"invalid after merge": {ID: "x", Base: 1, Configuration: withRoute},
		"name twice":          {ID: "x", Base: 1, Configuration: twice},
		"later base":          {ID: "x", Base: 9, Configuration: services(1)},
		"malformed id":        {ID: "x/y", Base: 1, Configuration: services(1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.finish(w.edit("a", 0, 1, 1))
			w.finish(w.edit("b", 1, 1))
			a := w.finish(w.begin(e, false))
			is.Equal(a.Kind, order.Refuse)
			is.True(a.Row.Reason != "")
			is.Equal(len(w.log), 2)
		})
	}
}

// TestRefusalIsFinal guards against an edit that one submitter was told is
// refused, and that another submitter of the same edit gets accepted once the
// clashing release has been reverted.
func TestRefusalIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.finish(w.edit("base", 0, 1))
		w.finish(w.edit("rival", 1, 2))
		operators := []*operator{w.edit("edit", 1, 3), w.edit("edit", 1, 3), w.edit("revert", 2, 1), w.edit("edit", 1, 3)}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			w.step(rapid.SampledFrom(operators).Draw(t, "operator"), stub.Faults{})
		}
		for _, o := range operators {
			w.finish(o)
			w.checkEnd(o)
		}
	})
}
