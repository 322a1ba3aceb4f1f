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
	// operator is a submission with its next action.
	operator struct {
		m    *order.Submission
		next order.Action
	}

	// simulation is a store to which operators make one call at a time. An accepted
	// submission does not write the rows of its release, as if its process had
	// crashed.
	simulation struct {
		t         interface{ Fatalf(string, ...any) }
		table     *stub.Table
		now       *clock.Manual
		submitter *plat.Submitter
		// releases are in the order of the successful Head writes, and writers are
		// the submissions that wrote them.
		releases []model.Release
		writers  []*order.Submission
		// delayed are Head writes that have not reached the store yet and whose
		// submitters received no response.
		delayed []operator
		// operators is the number of submissions so far.
		operators uint64
	}
)

// newSimulation returns a simulation with an empty store.
func newSimulation(t interface{ Fatalf(string, ...any) }) *simulation {
	sim := &simulation{t: t, table: &stub.Table{}, now: clock.NewManual(0)}
	sim.submitter = submitter(sim.table, sim.now)
	return sim
}

// begin starts a submission.
func (sim *simulation) begin(e order.Edit, dryRun bool) *operator {
	sim.operators++
	m := &order.Submission{Edit: e, DryRun: dryRun, Rand: rand.New(rand.NewPCG(1, sim.operators))}
	return &operator{m: m, next: m.Begin(sim.now.Now())}
}

// beginEdit starts the submission of an edit with the given slots per service.
func (sim *simulation) beginEdit(id ident.EditID, base ident.Version, slots ...int) *operator {
	return sim.begin(order.Edit{ID: id, Base: base, Configuration: configurationOf(slots...)}, false)
}

// step carries out the operator's next action while the store has the faults f.
func (sim *simulation) step(o *operator, f stub.Faults) {
	switch {
	case o.next.Kind >= order.Accept:
		return
	case o.next.Kind == order.Wait:
		sim.now.Advance(o.next.Until - sim.now.Now())
		o.next = o.m.Tick(sim.now.Now())
		return
	}
	sim.table.SetFaults(f)
	o.next = sim.submitter.Step(context.Background(), o.m, o.next)
	sim.table.SetFaults(stub.Faults{})
	sim.recordRelease(o.m)
}

// recordRelease records the newest release if m has just written it. It fails unless the
// version is the same as before or one higher.
func (sim *simulation) recordRelease(m *order.Submission) {
	head, _, err := plat.ReadHead(context.Background(), sim.table)
	if err != nil || head.Version < ident.Version(len(sim.releases)) || head.Version > ident.Version(len(sim.releases)+1) {
		sim.t.Fatalf("head changes from version %d to %d: %v", len(sim.releases), head.Version, err)
	}
	if head.Version == ident.Version(len(sim.releases)) {
		return
	}
	r, err := plat.ReadRelease(context.Background(), sim.table, order.HistoryOf(head))
	if err != nil {
		sim.t.Fatalf("read release %d of head: %v", head.Version, err)
	}
	sim.releases, sim.writers = append(sim.releases, r), append(sim.writers, m)
}

// stepWithFaults carries out the operator's next action with random faults.
func (sim *simulation) stepWithFaults(t *rapid.T, o *operator) {
	f := rapid.SampledFrom([]stub.Faults{{}, {}, {}, {}, {Down: true}, {LoseAnswers: 1}, {LoseRequests: 1}}).Draw(t, "faults")
	if o.next.Kind == order.WriteHead && f.LoseRequests > 0 && rapid.Bool().Draw(t, "delay") {
		sim.delayed = append(sim.delayed, *o)
	}
	sim.step(o, f)
}

// deliverDelayed delivers the oldest delayed Head write to the store.
func (sim *simulation) deliverDelayed() {
	a := sim.delayed[0].next
	_, _ = sim.table.WriteRow(context.Background(), order.HeadKey, order.EncodeHead(a.Head), a.Revision)
	sim.recordRelease(sim.delayed[0].m)
	sim.delayed = sim.delayed[1:]
}

// finish runs a submission to its end without faults.
func (sim *simulation) finish(o *operator) order.Action {
	for o.next.Kind < order.Accept {
		sim.step(o, stub.Faults{})
	}
	return o.next
}

// checkOutcome compares the outcome that an operator received with the releases.
func (sim *simulation) checkOutcome(o *operator) {
	var versions []ident.Version
	for _, r := range sim.releases {
		if r.EditID == o.m.Edit.ID {
			versions = append(versions, r.Version)
		}
	}
	a := o.next
	switch {
	case a.Kind == order.Accept && !slices.Equal(versions, []ident.Version{a.Version}):
		sim.t.Fatalf("edit %s: outcome is version %d, but its releases are %v", o.m.Edit.ID, a.Version, versions)
	case a.Kind == order.Refuse && (len(versions) != 0 || len(a.Row.Clashes) == 0):
		sim.t.Fatalf("edit %s was refused (%s), but its releases are %v", o.m.Edit.ID, a.Row.Reason, versions)
	case a.Kind == order.GiveUp && a.Verdict == result.NotRun && slices.Contains(sim.writers, o.m):
		// NotRun is correct if another submission of the same edit wrote the release.
		sim.t.Fatalf("submission of edit %s: outcome is NotRun, but it wrote one of the releases %v", o.m.Edit.ID, versions)
	}
}

// configuration returns the configuration of a version; that of version 0 is empty.
func (sim *simulation) configuration(v ident.Version) model.Configuration {
	if v == 0 {
		return model.Configuration{}
	}
	return sim.releases[v-1].Configuration
}

// checkReleases checks that versions are consecutive, that each edit was accepted at
// most once, and that each release has its edit's changes and no others.
func (sim *simulation) checkReleases(edits map[ident.EditID]order.Edit) {
	seen := make(map[ident.EditID]bool)
	for i, r := range sim.releases {
		if r.Version != ident.Version(i+1) || seen[r.EditID] {
			sim.t.Fatalf("release %d has version %d of edit %s", i+1, r.Version, r.EditID)
		}
		seen[r.EditID] = true
		e, wanted := edits[r.EditID], make(map[string]string)
		for _, c := range model.Diff(sim.configuration(e.Base), e.Configuration) {
			wanted[c.Field] = c.New
		}
		for _, c := range model.Diff(sim.configuration(r.Version-1), r.Configuration) {
			if v, ok := wanted[c.Field]; !ok || v != c.New {
				sim.t.Fatalf("release %d changes %s to %q, which is not a change of its edit", r.Version, c.Field, c.New)
			}
		}
		for _, c := range model.Diff(r.Configuration, e.Configuration) {
			if _, ok := wanted[c.Field]; ok {
				sim.t.Fatalf("release %d lacks the change of its edit to %s", r.Version, c.Field)
			}
		}
	}
}

// drawEdit returns a random edit of one or two services, based on any version.
func (sim *simulation) drawEdit(t *rapid.T, id ident.EditID) order.Edit {
	base := ident.Version(rapid.IntRange(0, len(sim.releases)).Draw(t, "base"))
	var slots [3]int
	for _, s := range sim.configuration(base).Inventory.Services {
		slots[s.Name[1]-'0'] = int(s.Slots)
	}
	for range rapid.IntRange(1, 2).Draw(t, "fields") {
		slots[rapid.IntRange(0, 2).Draw(t, "service")] = rapid.IntRange(0, 4).Draw(t, "slots")
	}
	return order.Edit{ID: id, Base: base, Configuration: configurationOf(slots[:]...)}
}

// TestSubmissionsKeepOneOrder guards against versions that repeat or go back, an edit
// that is accepted twice or lost after a lost response, and an outcome that does not
// match the releases. Several operators submit concurrently, responses are lost,
// writes are delayed, and some edits are submitted twice.
func TestSubmissionsKeepOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		edits := make(map[ident.EditID]order.Edit)
		var operators []*operator
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 11).Draw(t, "kind"); {
			case kind == 0 || len(operators) == 0:
				e := sim.drawEdit(t, ident.EditID(fmt.Sprintf("e%d", len(edits))))
				edits[e.ID] = e
				operators = append(operators, sim.begin(e, false))
			case kind == 1:
				id := rapid.SampledFrom(slices.Sorted(maps.Keys(edits))).Draw(t, "again")
				operators = append(operators, sim.begin(edits[id], false))
			case kind == 2 && len(sim.delayed) > 0:
				sim.deliverDelayed()
			default:
				sim.stepWithFaults(t, rapid.SampledFrom(operators).Draw(t, "operator"))
			}
		}
		for i, o := range operators {
			for n := 0; o.next.Kind < order.Accept; n++ {
				if n > 400 {
					t.Fatalf("operator %d does not end", i)
				}
				sim.stepWithFaults(t, o)
			}
		}
		for len(sim.delayed) > 0 {
			sim.deliverDelayed()
		}
		for _, o := range operators {
			sim.checkOutcome(o)
		}
		sim.checkReleases(edits)
	})
}

// TestRacingOperators guards against a lost update: of two edits on one base,
// with fields in common that they set to different values, exactly one is
// accepted and the other is refused with exactly those fields; otherwise both
// are accepted, and the second release keeps the changes of the first.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.finish(sim.beginEdit("base", 0, 1, 1, 1))
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
		operators := []*operator{sim.beginEdit("a", 1, a...), sim.beginEdit("b", 1, b...)}
		for operators[0].next.Kind < order.Accept || operators[1].next.Kind < order.Accept {
			sim.step(operators[rapid.IntRange(0, 1).Draw(t, "turn")], stub.Faults{})
		}
		slices.SortFunc(operators, func(a, b *operator) int { return int(a.next.Kind) - int(b.next.Kind) })
		first, second := operators[0].next, operators[1].next
		switch {
		case len(clashes) > 0 && (first.Kind != order.Accept || second.Kind != order.Refuse):
			t.Fatalf("conflicting edits %v and %v end with %v and %v", a, b, first.Kind, second.Kind)
		case len(clashes) > 0 && !slices.Equal(second.Row.Clashes, clashes):
			t.Fatalf("refused with %v instead of %v", second.Row.Clashes, clashes)
		case len(clashes) == 0 && (first.Kind != order.Accept || second.Kind != order.Accept):
			t.Fatalf("disjoint edits %v and %v end with %v and %v", a, b, first.Kind, second.Kind)
		case len(clashes) == 0 && sim.configuration(3).Digest() != configurationOf(merged...).Digest():
			t.Fatalf("edits %v and %v merge to %+v", a, b, sim.configuration(3))
		}
	})
}

// TestLongPause guards against a second acceptance of an edit if the response to its
// Head write is lost and its submitter resumes only when Head.Recent no longer contains
// the edit.
func TestLongPause(t *testing.T) {
	is := is.New(t)
	for _, others := range []int{1, order.MaxRecent - 1, order.MaxRecent, order.MaxRecent + 1, 2 * order.MaxRecent} {
		sim := newSimulation(t)
		sim.finish(sim.beginEdit("first", 0, 1))
		o := sim.beginEdit("paused", 1, 1, 1)
		for o.next.Kind != order.WriteHead {
			sim.step(o, stub.Faults{})
		}
		sim.step(o, stub.Faults{LoseAnswers: 1})
		for i := range others {
			is.Equal(sim.finish(sim.beginEdit(ident.EditID(fmt.Sprintf("o%d", i)), 1, 1)).Kind, order.Accept)
		}
		is.Equal(sim.finish(o).Kind, order.Accept)
		is.Equal(o.next.Version, ident.Version(2))
		sim.checkOutcome(o)
	}
}

// TestDryRun guards against a dry run that changes the store, or whose planned changes
// differ from those that are then accepted.
func TestDryRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		sim := newSimulation(t)
		sim.finish(sim.beginEdit("first", 0, 1, 2))
		before, e := sim.table.Counts(), sim.drawEdit(t, "plan")
		a := sim.finish(sim.begin(e, true))
		after := sim.table.Counts()
		is.Equal(after.RowWrites, before.RowWrites)
		is.Equal(after.ObjectWrites, before.ObjectWrites)
		is.True(a.Kind == order.Plan || a.Kind == order.Refuse)
		if a.Kind == order.Plan {
			is.Equal(sim.finish(sim.begin(e, false)).Changes, a.Changes)
		}
	})
}

// TestRefusals guards against an edit that is accepted although it is invalid by
// itself or after the merge, or is based on a version that does not exist.
func TestRefusals(t *testing.T) {
	route := model.Route{Name: "r", PathPrefix: "/", Service: "s1", Class: model.Browse, TimeoutMillis: 100, MaxAttempts: 1}
	withRoute, twice := configurationOf(1, 1), configurationOf(1, 2)
	withRoute.Rules.Routes = []model.Route{route}
	twice.Inventory.Services[1].Name = twice.Inventory.Services[0].Name
	for name, e := range map[string]order.Edit{
		"invalid":             {ID: "x", Base: 1, Configuration: model.Configuration{Rules: withRoute.Rules}},
		"invalid after merge": {ID: "x", Base: 1, Configuration: withRoute},
		"name twice":          {ID: "x", Base: 1, Configuration: twice},
		"later base":          {ID: "x", Base: 9, Configuration: configurationOf(1)},
		"malformed id":        {ID: "x/y", Base: 1, Configuration: configurationOf(1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t)
			sim.finish(sim.beginEdit("a", 0, 1, 1))
			sim.finish(sim.beginEdit("b", 1, 1))
			a := sim.finish(sim.begin(e, false))
			is.Equal(a.Kind, order.Refuse)
			is.True(a.Row.Reason != "")
			is.Equal(len(sim.releases), 2)
		})
	}
}

// TestRefusalIsFinal guards against an edit that is refused for one submitter and
// accepted for another submitter of the same edit, after the conflicting release has
// been reverted.
func TestRefusalIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		sim.finish(sim.beginEdit("base", 0, 1))
		sim.finish(sim.beginEdit("rival", 1, 2))
		operators := []*operator{sim.beginEdit("edit", 1, 3), sim.beginEdit("edit", 1, 3), sim.beginEdit("revert", 2, 1), sim.beginEdit("edit", 1, 3)}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			sim.step(rapid.SampledFrom(operators).Draw(t, "operator"), stub.Faults{})
		}
		for _, o := range operators {
			sim.finish(o)
			sim.checkOutcome(o)
		}
	})
}
