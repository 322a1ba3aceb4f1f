package model

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

// init fixes rapid's seed, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "500"))
	if err != nil {
		panic(err)
	}
}

// drawConfiguration draws a valid configuration from few names and values, so that two
// of them have many elements in common.
func drawConfiguration(t *rapid.T) Configuration {
	var c Configuration
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 5, rapid.ID[int]).Draw(t, "services") {
		c.Inventory.Services = append(c.Inventory.Services, Service{
			Name:  ident.ServiceName(fmt.Sprintf("s%d", i)),
			Slots: ident.Slots(rapid.IntRange(1, 2).Draw(t, "slots")), Connections: 9,
		})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 4, rapid.ID[int]).Draw(t, "routes") {
		c.Rules.Routes = append(c.Rules.Routes, Route{
			Name: ident.RouteName(fmt.Sprintf("r%d", i)), PathPrefix: fmt.Sprintf("/%d", i),
			Service: rapid.SampledFrom(c.Inventory.Services).Draw(t, "service").Name, Class: Action,
			Idempotent: rapid.Bool().Draw(t, "idempotent"), MaxAttempts: 1,
			TimeoutMillis:    clock.Millis(rapid.Float64Range(1e-6, MaxTimeoutMillis).Draw(t, "timeout")),
			HedgeAfterMillis: clock.Millis(rapid.SampledFrom([]float64{-1, 0, math.Copysign(0, -1), 2.5}).Draw(t, "hedge")),
			Host:             rapid.SampledFrom([]string{"", "h"}).Draw(t, "host"),
			GoalMillis:       clock.Millis(rapid.IntRange(0, 1).Draw(t, "goal")),
			Anonymous:        rapid.Bool().Draw(t, "anonymous"),
			LargeAnswers:     rapid.Bool().Draw(t, "large"),
		})
		if r := &c.Rules.Routes[len(c.Rules.Routes)-1]; rapid.Bool().Draw(t, "split") {
			r.Parts, r.Service = []Part{{Service: r.Service, Weight: rapid.IntRange(1, 3).Draw(t, "weight")}}, ""
		}
	}
	c.Rules.Teams = drawTeams(t)
	c.Rules.Callers.BodyBytes = ident.Bytes(rapid.IntRange(0, 1).Draw(t, "body"))
	for i := range rapid.IntRange(0, 2).Draw(t, "domains") {
		region := ident.Region(rapid.SampledFrom([]string{"attica", "windhoek"}).Draw(t, "region"))
		c.Inventory.FailureDomains = append(c.Inventory.FailureDomains, FailureDomain{
			Name: ident.FailureDomain(fmt.Sprintf("d%d", i)), Region: region,
		})
	}
	return c
}

// drawRelease draws a release with version v.
func drawRelease(t *rapid.T, v ident.Version) Release {
	r, err := NewRelease(v, ident.EditID(fmt.Sprintf("e%d", v)), drawConfiguration(t))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// equal reports whether two releases are the same.
func equal(a, b Release) bool {
	return a.Version == b.Version && a.EditID == b.EditID && a.Digest == b.Digest &&
		a.Configuration.Digest() == b.Configuration.Digest() && len(Diff(a.Configuration, b.Configuration)) == 0
}

// TestDelta guards against a delta that doesn't result in the release it was made for,
// and against Apply changing the base release.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRelease(t, 3), drawRelease(t, 5)
		before := EncodeRelease(a)
		got, err := MakeDelta(a, b).Apply(a)
		if err != nil || !equal(got, b) {
			t.Fatalf("delta results in %+v: %v", got, err)
		}
		if !slices.Equal(EncodeRelease(a), before) {
			t.Fatal("the base release has changed")
		}
	})
}

// TestCorruptedDelta guards against a corrupted delta that is applied in part or results
// in another configuration.
func TestCorruptedDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawRelease(t, 3), drawRelease(t, 5)
		d := MakeDelta(a, b)
		if len(d.Changes) == 0 {
			t.Skip("equal configurations")
		}
		i := rapid.IntRange(0, len(d.Changes)-1).Draw(t, "change")
		c := &d.Changes[i]
		kind := rapid.SampledFrom([]string{
			"base", "base digest", "result digest", "back", "drop", "field", "old", "new", "zero", "extra", "cut",
		}).Draw(t, "corruption")
		switch kind {
		case "base":
			d.From++
		case "base digest":
			d.FromDigest[rapid.IntRange(0, 31).Draw(t, "byte")] ^= 1
		case "result digest":
			d.ToDigest[rapid.IntRange(0, 31).Draw(t, "byte")] ^= 1
		case "back":
			d.To = d.From - ident.Version(rapid.IntRange(0, 3).Draw(t, "back"))
		case "drop":
			d.Changes = slices.Delete(d.Changes, i, i+1)
		case "field":
			c.Field += rapid.SampledFrom([]string{"x", "/", "/Name"}).Draw(t, "suffix")
		case "old":
			c.Old += "1"
		case "new":
			c.New += rapid.SampledFrom([]string{"1", "x", " "}).Draw(t, "suffix")
		case "zero":
			c.New = "0" + c.New // the same number in another form
		case "extra":
			name := rapid.SampledFrom([]string{"Service/none/Slots", "Service/s0/Colour", "Rack/a/Name", "x"}).Draw(t, "name")
			d.Changes = append(d.Changes, Change{Field: name, New: "1"})
		case "cut":
			d.Changes = d.Changes[:i]
		}
		if got, err := d.Apply(a); err == nil || got.Version != 0 || len(got.Configuration.Inventory.Services) > 0 {
			t.Fatalf("corruption %q is accepted: %+v, %v", kind, got, err)
		}
	})
}

// TestMerge guards against a merge that loses a change, adds one that no side made, or
// depends on the order of the two sides.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, head, edited := drawConfiguration(t), drawConfiguration(t), drawConfiguration(t)
		merged, clashes := Merge(base, head, edited)
		other, otherClashes := Merge(base, edited, head)
		if (len(clashes) == 0) != (len(otherClashes) == 0) {
			t.Fatalf("clashes are %v in one order and %v in the other", clashes, otherClashes)
		}
		editedValues, headValues := make(map[string]string), make(map[string]string)
		for _, c := range Diff(base, edited) {
			editedValues[c.Field] = c.New
		}
		for _, c := range Diff(base, head) {
			headValues[c.Field] = c.New
		}
		for field, value := range editedValues {
			v, both := headValues[field]
			if both && v != value && !slices.Contains(clashes, field) {
				t.Fatalf("%s is not among the clashes %v", field, clashes)
			}
		}
		if len(clashes) > 0 {
			for _, field := range clashes {
				if _, changed := editedValues[field]; !changed {
					t.Fatalf("%s clashes although it was not edited", field)
				}
			}
			return
		}
		if merged.Digest() != other.Digest() {
			t.Fatalf("merges differ: %+v and %+v", merged, other)
		}
		for _, c := range Diff(merged, edited) {
			if _, changed := editedValues[c.Field]; changed {
				t.Fatalf("the change of %s is lost", c.Field)
			}
		}
		for _, c := range Diff(head, merged) {
			if _, changed := editedValues[c.Field]; !changed {
				t.Fatalf("%s changes although it was not edited", c.Field)
			}
		}
	})
}

// TestDigest guards against equal configurations with different digests, and different
// configurations with the same digest.
func TestDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfiguration(t), drawConfiguration(t)
		if (a.Digest() == b.Digest()) != (len(Diff(a, b)) == 0) {
			t.Fatalf("Digest and Diff disagree on equality: %+v and %+v", a, b)
		}
		c := a
		c.Inventory.Services = rapid.Permutation(a.Inventory.Services).Draw(t, "services")
		c.Rules.Routes = rapid.Permutation(a.Rules.Routes).Draw(t, "routes")
		c.Rules.Teams = rapid.Permutation(a.Rules.Teams).Draw(t, "teams")
		for i := range c.Rules.Teams {
			c.Rules.Teams[i].Keys = rapid.Permutation(c.Rules.Teams[i].Keys).Draw(t, "keys")
		}
		if c.Digest() != a.Digest() {
			t.Fatal("the digest depends on the order")
		}
	})
}

// TestRelease guards against a release that changes when it is encoded and decoded, and
// against a corrupted body that is accepted with another configuration.
func TestRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawRelease(t, 7)
		body := EncodeRelease(r)
		got, err := DecodeRelease(body)
		if err != nil || !equal(got, r) {
			t.Fatalf("decodes to %+v: %v", got, err)
		}
		i := rapid.IntRange(0, len(body)-1).Draw(t, "byte")
		body[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		got, err = DecodeRelease(body)
		if err == nil && len(Diff(got.Configuration, r.Configuration)) > 0 {
			t.Fatalf("corrupted body decodes to %+v", got)
		}
		if err != nil && got.Version != 0 {
			t.Fatalf("error %v is returned with release %+v", err, got)
		}
	})
}

// TestDecodeReleaseIsStrict guards against accepting a body with missing or trailing
// bytes, or a release without a version.
func TestDecodeReleaseIsStrict(t *testing.T) {
	is := is.New(t)
	r, err := NewRelease(1, "e", Configuration{})
	is.NoErr(err)
	body := EncodeRelease(r)
	for i := range body {
		_, err := DecodeRelease(body[:i])
		is.True(err != nil)
	}
	_, err = DecodeRelease(append(body, 0))
	is.True(err != nil)
	r.Version = 0
	_, err = DecodeRelease(EncodeRelease(r))
	is.True(err != nil)
}

// seedRelease returns a release for the fuzz targets.
func seedRelease(v ident.Version, slots ident.Slots) Release {
	r, err := NewRelease(v, "e", Configuration{
		Inventory: Inventory{
			FailureDomains: []FailureDomain{{Name: "d", Region: "r"}},
			Services:       []Service{{Name: "s", Slots: slots, Connections: 9}},
		},
		Rules: Rules{Routes: []Route{{Name: "r", PathPrefix: "/", Service: "s", TimeoutMillis: 1.5, MaxAttempts: 1}}},
	})
	if err != nil {
		panic(err)
	}
	return r
}

// FuzzDecodeRelease guards against a panic, and against an accepted release that is
// invalid or does not encode and decode to itself.
func FuzzDecodeRelease(f *testing.F) {
	f.Add(EncodeRelease(seedRelease(1, 1)))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := DecodeRelease(body)
		if err != nil {
			return
		}
		if err := r.Check(); err != nil {
			t.Errorf("accepted: %v", err)
		}
		if again, err := DecodeRelease(EncodeRelease(r)); err != nil || !equal(again, r) {
			t.Errorf("%+v becomes %+v: %v", r, again, err)
		}
	})
}

// FuzzApply guards against a panic on a delta with arbitrary changes, and against a delta
// that is applied without resulting in the release with its digest.
func FuzzApply(f *testing.F) {
	from, to := seedRelease(1, 1), seedRelease(2, 2)
	f.Add("Service/s/Slots", "1", "2", "", "", "")
	f.Add("Service/s/Name", "s", "", "Route/r/Class", "Check", "Class(7)")
	f.Add("/Name", "", "x", "Service//Name", "", "y")
	f.Fuzz(func(t *testing.T, field, before, after, field2, before2, after2 string) {
		d := MakeDelta(from, to)
		d.Changes = []Change{{Field: field, Old: before, New: after}, {Field: field2, Old: before2, New: after2}}
		if got, err := d.Apply(from); err == nil && !equal(got, to) {
			t.Errorf("delta results in %+v", got)
		}
	})
}

// TestMergeRemoval guards against the removal of an element that discards another edit's
// change of it, and against a change that discards a removal.
func TestMergeRemoval(t *testing.T) {
	is := is.New(t)
	service := func(name ident.ServiceName, slots ident.Slots) Service {
		return Service{Name: name, Slots: slots, Connections: 9}
	}
	base := Configuration{Inventory: Inventory{Services: []Service{service("a", 1), service("b", 1)}}}
	changed := Configuration{Inventory: Inventory{Services: []Service{service("a", 1), service("b", 2)}}}
	removed := Configuration{Inventory: Inventory{Services: []Service{service("a", 1)}}}
	_, clashes := Merge(base, changed, removed)
	is.Equal(clashes, []string{"Service/b/Name", "Service/b/Slots"})
	_, clashes = Merge(base, removed, changed)
	is.Equal(clashes, []string{"Service/b/Slots"})
	merged, clashes := Merge(base, removed, removed)
	is.Equal(len(clashes), 0)
	is.Equal(merged.Digest(), removed.Digest())
}

// TestDeltaCostFollowsChange guards against a delta whose cost grows with the size of the
// configuration: nodes with a small share of a CPU then stall at each release.
func TestDeltaCostFollowsChange(t *testing.T) {
	is := is.New(t)
	allocations := func(routes int) float64 {
		var c Configuration
		c.Inventory.Services = []Service{{Name: "s", Slots: 1, Connections: 1}}
		for i := range routes {
			c.Rules.Routes = append(c.Rules.Routes, Route{
				Name: ident.RouteName(fmt.Sprintf("r%05d", i)), PathPrefix: fmt.Sprintf("/p%d/", i),
				Service: "s", TimeoutMillis: 1, MaxAttempts: 1,
			})
		}
		from, err := NewRelease(1, "a", c)
		is.NoErr(err)
		c.Rules.Routes = slices.Clone(c.Rules.Routes)
		c.Rules.Routes[routes/2].TimeoutMillis = 2
		to, err := NewRelease(2, "b", c)
		is.NoErr(err)
		is.Equal(len(MakeDelta(from, to).Changes), 1)
		return testing.AllocsPerRun(5, func() { MakeDelta(from, to) })
	}
	is.True(allocations(2000) <= 2*allocations(20))
}
