package order

import (
	"errors"
	"flag"
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
	"hickoryrail/core/result"
)

// init fixes rapid's seed, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "400"))
	if err != nil {
		panic(err)
	}
}

type (
	// editEntry is a stored edit row.
	editEntry struct {
		row      EditRow
		revision ident.Revision
	}

	// world is a store in which rapid chooses the fate of every call.
	world struct {
		t        *rapid.T
		now      clock.Millis
		last     ident.Revision
		head     Head
		revision ident.Revision
		edits    map[ident.EditID]editEntry
		history  map[ident.Version]Head
		objects  map[string]model.Release
		// log holds every release in the order of the successful Head writes.
		log []model.Release
		// writers are the submissions that wrote the releases of log.
		writers []*Submission
		// delayed are Head writes that are still under way; their submitters saw
		// no answer.
		delayed []delayedWrite
		// operators counts the submissions that began.
		operators uint64
	}

	// delayedWrite is a Head write that takes effect later, if ever.
	delayedWrite struct {
		m *Submission
		a Action
	}

	// operator is a submission with the action it waits for.
	operator struct {
		m    *Submission
		next Action
		done bool
	}
)

// configuration returns a valid configuration with the given slots per service;
// 0 leaves the service out.
func configuration(slots ...int) model.Configuration {
	var c model.Configuration
	for i, n := range slots {
		if n > 0 {
			name := ident.ServiceName(fmt.Sprintf("s%d", i))
			c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: ident.Slots(n), Connections: 10})
		}
	}
	return c
}

// drawEdit returns an edit of one or two services on some version of the log.
func (w *world) drawEdit(id string) Edit {
	base := ident.Version(rapid.IntRange(0, len(w.log)).Draw(w.t, "base"))
	slots := []int{0, 0, 0}
	if base > 0 {
		for _, s := range w.log[base-1].Configuration.Inventory.Services {
			slots[s.Name[1]-'0'] = int(s.Slots)
		}
	}
	for range rapid.IntRange(1, 2).Draw(w.t, "fields") {
		slots[rapid.IntRange(0, 2).Draw(w.t, "service")] = rapid.IntRange(0, 4).Draw(w.t, "slots")
	}
	return Edit{ID: ident.EditID(id), Base: base, Configuration: configuration(slots...)}
}

// write applies a Head write if its condition holds.
func (w *world) write(m *Submission, a Action) Reply {
	if a.Revision != w.revision {
		return Conflict
	}
	// A release must follow its predecessor and its object must exist.
	if a.Head.Version != w.head.Version+1 || w.objects[a.Head.Object].Digest != a.Head.Digest {
		w.t.Fatalf("head %d (%s) follows head %d", a.Head.Version, a.Head.Object, w.head.Version)
	}
	if _, err := DecodeHead(EncodeHead(a.Head)); err != nil {
		w.t.Fatal(err)
	}
	w.last++
	w.head, w.revision = a.Head, w.last
	r := w.objects[a.Head.Object]
	r.EditID = a.Head.EditID
	w.log, w.writers = append(w.log, r), append(w.writers, m)
	return OK
}

// fence gives Head a new revision if the condition holds.
func (w *world) fence(a Action) Reply {
	if a.Revision != w.revision {
		return Conflict
	}
	w.last++
	w.revision = w.last
	return OK
}

// record stores an edit row.
func (w *world) record(id ident.EditID, row EditRow) {
	w.last++
	w.edits[id] = editEntry{row: row, revision: w.last}
}

// step carries out the operator's next action with a drawn fate.
func (w *world) step(o *operator) {
	fate := rapid.SampledFrom([]Reply{OK, OK, OK, OK, Failed, Unknown}).Draw(w.t, "fate")
	effect := fate == OK || fate == Unknown && rapid.Bool().Draw(w.t, "effect")
	if o.next.Kind == WriteHead && fate == Unknown && !effect && rapid.Bool().Draw(w.t, "delay") {
		w.delayed = append(w.delayed, delayedWrite{m: o.m, a: o.next})
	}
	w.run(o, fate, effect)
}

// run carries out the operator's next action. A failed condition is the reply
// only if the answer is not lost.
func (w *world) run(o *operator, fate Reply, effect bool) {
	m, a, read := o.m, o.next, fate
	if read != OK {
		read = Failed
	}
	write := func(f func() Reply) Reply {
		if effect {
			if r := f(); fate == OK {
				return r
			}
		}
		return fate
	}
	switch a.Kind {
	case ReadHead:
		o.next = m.HeadRead(w.now, read, w.head, w.revision)
	case ReadEdit:
		e := w.edits[m.Edit.ID]
		o.next = m.EditRead(w.now, read, e.row, e.revision)
	case ReadRelease:
		h := w.history[a.Version]
		if a.Head.Version == a.Version {
			h = a.Head
		}
		if h.Version == 0 {
			w.t.Fatalf("release %d has no history row", a.Version)
		}
		o.next = m.ReleaseRead(w.now, read, w.objects[h.Object])
	case PutObject:
		if effect {
			w.objects[a.Object] = a.Release
		}
		o.next = m.ObjectWritten(w.now, fate)
	case RecordHead:
		if effect {
			w.history[a.Head.Version] = a.Head
			w.record(a.Head.EditID, EditRow{State: Released, Version: a.Head.Version})
		}
		o.next = m.HeadRecorded(w.now, fate)
	case WriteHead:
		o.next = m.HeadWritten(w.now, write(func() Reply { return w.write(m, a) }))
	case RecordRefusal:
		o.next = m.RefusalRecorded(w.now, write(func() Reply {
			if w.edits[m.Edit.ID].revision != a.Revision {
				return Conflict
			}
			w.record(m.Edit.ID, a.Row)
			return OK
		}))
	case FenceHead:
		o.next = m.HeadFenced(w.now, write(func() Reply { return w.fence(a) }))
	case Wait:
		w.now = max(w.now, a.Until)
		o.next = m.Tick(w.now)
	default:
		o.done = true
	}
}

// versions returns the versions under which an edit was accepted.
func (w *world) versions(id ident.EditID) []ident.Version {
	var out []ident.Version
	for _, r := range w.log {
		if r.EditID == id {
			out = append(out, r.Version)
		}
	}
	return out
}

// checkEnd compares what an operator was told with what happened.
func (w *world) checkEnd(o *operator) {
	id, versions := o.m.Edit.ID, w.versions(o.m.Edit.ID)
	switch o.next.Kind {
	case Accept:
		if !slices.Contains(versions, o.next.Version) {
			w.t.Fatalf("edit %s was told version %d and has %v", id, o.next.Version, versions)
		}
	case Refuse:
		if len(versions) != 0 {
			w.t.Fatalf("refused edit %s has versions %v", id, versions)
		}
	case GiveUp:
		// Another submission of the same edit may have had more luck.
		if o.next.Verdict == result.NotRun && slices.Contains(w.writers, o.m) {
			w.t.Fatalf("submission of edit %s was told NotRun and wrote one of %v", id, versions)
		}
	}
}

// checkLog checks that versions are consecutive, that each edit was accepted at
// most once, and that each release has its edit's changes and no others.
func (w *world) checkLog(edits map[ident.EditID]Edit) {
	previous := model.Configuration{}
	seen := make(map[ident.EditID]bool)
	for i, r := range w.log {
		if r.Version != ident.Version(i+1) || seen[r.EditID] {
			w.t.Fatalf("release %d has version %d of edit %s", i+1, r.Version, r.EditID)
		}
		seen[r.EditID] = true
		e := edits[r.EditID]
		base := model.Configuration{}
		if e.Base > 0 {
			base = w.log[e.Base-1].Configuration
		}
		wanted := make(map[string]string)
		for _, c := range model.Diff(base, e.Configuration) {
			wanted[c.Field] = c.New
		}
		for _, c := range model.Diff(previous, r.Configuration) {
			if v, ok := wanted[c.Field]; !ok || v != c.New {
				w.t.Fatalf("release %d changes %s to %q, which its edit does not", r.Version, c.Field, c.New)
			}
		}
		for _, c := range model.Diff(r.Configuration, e.Configuration) {
			if _, ok := wanted[c.Field]; ok {
				w.t.Fatalf("release %d lost its edit's %s", r.Version, c.Field)
			}
		}
		previous = r.Configuration
	}
}

// newWorld returns an empty store.
func newWorld(t *rapid.T) *world {
	return &world{
		t: t, edits: make(map[ident.EditID]editEntry),
		history: make(map[ident.Version]Head), objects: make(map[string]model.Release),
	}
}

// TestSubmissionsKeepOneOrder guards against versions that repeat or go back, an
// edit that is accepted twice or lost after a lost answer, and an operator who is
// told another outcome than the true one. Any number of operators race, answers
// are lost, writes land late, and some edits are submitted twice.
func TestSubmissionsKeepOneOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		edits := make(map[ident.EditID]Edit)
		var operators []*operator
		for range rapid.IntRange(20, 160).Draw(t, "steps") {
			switch kind := rapid.IntRange(0, 11).Draw(t, "kind"); {
			case kind == 0 || len(operators) == 0:
				e := w.drawEdit(fmt.Sprintf("e%d", len(edits)))
				edits[e.ID] = e
				operators = append(operators, w.begin(e, false))
			case kind == 1:
				ids := slices.Sorted(maps.Keys(edits))
				operators = append(operators, w.begin(edits[rapid.SampledFrom(ids).Draw(t, "again")], false))
			case kind == 2 && len(w.delayed) > 0:
				w.write(w.delayed[0].m, w.delayed[0].a)
				w.delayed = w.delayed[1:]
			default:
				w.step(rapid.SampledFrom(operators).Draw(t, "operator"))
			}
		}
		for i, o := range operators {
			for n := 0; !o.done; n++ {
				if n > 400 {
					t.Fatalf("operator %d does not end", i)
				}
				w.step(o)
			}
		}
		for _, d := range w.delayed {
			w.write(d.m, d.a)
		}
		for _, o := range operators {
			w.checkEnd(o)
		}
		w.checkLog(edits)
	})
}

// begin starts a submission.
func (w *world) begin(e Edit, dryRun bool) *operator {
	w.operators++
	m := &Submission{Edit: e, DryRun: dryRun, Rand: rand.New(rand.NewPCG(1, w.operators))}
	return &operator{m: m, next: m.Begin(w.now)}
}

// drive runs one operator to its end without faults.
func drive(w *world, m *Submission) Action {
	o := w.begin(m.Edit, m.DryRun)
	for o.next.Kind < Accept {
		w.run(o, OK, true)
	}
	return o.next
}

// TestRacingOperators guards against a lost update: of two edits on one base,
// with fields in common that they set to different values, exactly one is
// accepted and the other is refused with exactly those fields; otherwise both
// are accepted, and the second keeps the first one's changes.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		drive(w, &Submission{Edit: Edit{ID: "base", Configuration: configuration(1, 1, 1)}})
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
		operators := []*operator{
			w.begin(Edit{ID: "a", Base: 1, Configuration: configuration(a...)}, false),
			w.begin(Edit{ID: "b", Base: 1, Configuration: configuration(b...)}, false),
		}
		for operators[0].next.Kind < Accept || operators[1].next.Kind < Accept {
			w.run(operators[rapid.IntRange(0, 1).Draw(t, "turn")], OK, true)
		}
		outcome := []ActionKind{operators[0].next.Kind, operators[1].next.Kind}
		slices.Sort(outcome)
		if len(clashes) == 0 {
			if !slices.Equal(outcome, []ActionKind{Accept, Accept}) {
				t.Fatalf("disjoint edits %v and %v end with %v", a, b, outcome)
			}
			if got, want := w.log[2].Configuration.Digest(), configuration(merged...).Digest(); got != want {
				t.Fatalf("edits %v and %v merge to %+v", a, b, w.log[2].Configuration)
			}
			return
		}
		if !slices.Equal(outcome, []ActionKind{Accept, Refuse}) {
			t.Fatalf("clashing edits %v and %v end with %v", a, b, outcome)
		}
		for _, o := range operators {
			if o.next.Kind == Refuse && !slices.Equal(o.next.Row.Clashes, clashes) {
				t.Fatalf("refused with %v instead of %v", o.next.Row.Clashes, clashes)
			}
		}
	})
}

// TestLongPause guards against a second acceptance of an edit whose answer was
// lost and whose submitter resumes after the edit has left Head.Recent.
func TestLongPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(t)
		drive(w, &Submission{Edit: Edit{ID: "first", Configuration: configuration(1)}})
		o := w.begin(Edit{ID: "paused", Base: 1, Configuration: configuration(1, 1)}, false)
		for o.next.Kind != WriteHead {
			w.run(o, OK, true)
		}
		w.run(o, Unknown, true)
		for i := range rapid.IntRange(1, 2*MaxRecent).Draw(t, "others") {
			a := drive(w, &Submission{Edit: Edit{ID: ident.EditID(fmt.Sprintf("o%d", i)), Base: 1, Configuration: configuration(1)}})
			is.Equal(a.Kind, Accept)
		}
		for o.next.Kind < Accept {
			w.run(o, OK, true)
		}
		is.Equal(o.next.Kind, Accept)
		is.Equal(o.next.Version, ident.Version(2))
		is.Equal(len(w.versions("paused")), 1)
	})
}

// TestDryRunWritesNothing guards against a plan that changes the store.
func TestDryRunWritesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := newWorld(t)
		drive(w, &Submission{Edit: Edit{ID: "first", Configuration: configuration(1, 2)}})
		before := w.last
		e := w.drawEdit("plan")
		a := drive(w, &Submission{Edit: e, DryRun: true})
		is.Equal(w.last, before)
		is.Equal(len(w.objects), 1)
		is.True(a.Kind == Plan || a.Kind == Refuse)
		if a.Kind == Plan {
			is.Equal(drive(w, &Submission{Edit: e}).Changes, a.Changes) // the plan is what is accepted
		}
	})
}

// TestRefusals guards against an edit that is accepted although it is invalid,
// alone or after the merge, or has a base that does not exist.
func TestRefusals(t *testing.T) {
	route := model.Route{Name: "r", PathPrefix: "/", Service: "s1", Class: model.Browse, TimeoutMillis: 100, MaxAttempts: 1}
	withRoute := configuration(1, 1)
	withRoute.Rules.Routes = []model.Route{route}
	twice := configuration(1, 2)
	twice.Inventory.Services[1].Name = twice.Inventory.Services[0].Name
	for name, e := range map[string]Edit{
		"invalid":             {ID: "x", Base: 1, Configuration: model.Configuration{Rules: model.Rules{Routes: []model.Route{route}}}},
		"invalid after merge": {ID: "x", Base: 1, Configuration: withRoute},
		"name twice":          {ID: "x", Base: 1, Configuration: twice},
		"later base":          {ID: "x", Base: 9, Configuration: configuration(1)},
		"malformed id":        {ID: "x/y", Base: 1, Configuration: configuration(1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(nil)
			drive(w, &Submission{Edit: Edit{ID: "a", Configuration: configuration(1, 1)}})
			drive(w, &Submission{Edit: Edit{ID: "b", Base: 1, Configuration: configuration(1)}})
			a := drive(w, &Submission{Edit: e})
			is.Equal(a.Kind, Refuse)
			is.True(a.Row.Reason != "")
			is.Equal(w.head.Version, ident.Version(2))
		})
	}
}

// TestRefusalIsFinal guards against an edit that one submitter was told is
// refused, and that another submitter of the same edit gets accepted once the
// clashing release has been reverted.
func TestRefusalIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		drive(w, &Submission{Edit: Edit{ID: "base", Configuration: configuration(1)}})
		drive(w, &Submission{Edit: Edit{ID: "rival", Base: 1, Configuration: configuration(2)}})
		edit := Edit{ID: "edit", Base: 1, Configuration: configuration(3)}
		revert := Edit{ID: "revert", Base: 2, Configuration: configuration(1)}
		var operators []*operator
		for _, e := range []Edit{edit, edit, revert, edit} {
			operators = append(operators, w.begin(e, false))
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			w.run(rapid.SampledFrom(operators).Draw(t, "operator"), OK, true)
		}
		for _, o := range operators {
			for o.next.Kind < Accept {
				w.run(o, OK, true)
			}
			w.checkEnd(o)
		}
	})
}
