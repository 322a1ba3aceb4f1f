package view

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
)

func init() {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
}

// drawRelease returns a valid release with some of five services.
func drawRelease(t *rapid.T) model.Release {
	var c model.Configuration
	for i := range 5 {
		if rapid.Bool().Draw(t, "service") || i == 0 {
			c.Inventory.Services = append(c.Inventory.Services, model.Service{
				Name: ident.ServiceName(fmt.Sprint("s", i)), Slots: 1, Connections: 1,
			})
		}
	}
	prefixes := []string{"/", "/a", "/a/b", "/ab", "/a/", "/b/c"}
	for i, p := range prefixes {
		if !rapid.Bool().Draw(t, "route") {
			continue
		}
		s := rapid.SampledFrom(c.Inventory.Services).Draw(t, "of")
		c.Rules.Routes = append(c.Rules.Routes, model.Route{
			Name: ident.RouteName(fmt.Sprint("r", i)), PathPrefix: p, Service: s.Name, TimeoutMillis: 1, MaxAttempts: 1,
		})
	}
	r, err := model.NewRelease(1, "e", c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// drawRecords returns records of nodes whose targets belong to services in the release
// or to others.
func drawRecords(t *rapid.T) []member.Record {
	records := make([]member.Record, rapid.IntRange(0, 12).Draw(t, "members"))
	for i := range records {
		records[i] = member.Record{
			Node: ident.NodeID(fmt.Sprint("n", i)), Target: ident.TargetID(fmt.Sprint("t", i)),
			Service:     ident.ServiceName(fmt.Sprint("s", rapid.IntRange(0, 7).Draw(t, "service"))),
			State:       member.State(rapid.IntRange(0, 3).Draw(t, "state")),
			TargetState: member.TargetState(rapid.IntRange(0, 4).Draw(t, "target")),
		}
	}
	return records
}

// TestViewMatchesReleaseAndRecords guards against a route to a service that is missing in
// the view, a target under the wrong service, a target that accepts no requests, and a
// missing target.
func TestViewMatchesReleaseAndRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		release, records := drawRelease(t), drawRecords(t)
		v := Build(release, records)
		for _, r := range release.Configuration.Rules.Routes {
			if _, ok := v.Service(r.Service); !ok {
				t.Fatalf("route %s names service %s, which is not in the view", r.Name, r.Service)
			}
		}
		want := make(map[ident.TargetID]ident.ServiceName)
		for _, m := range records {
			if _, ok := v.Service(m.Service); ok && m.Routable() {
				want[m.Target] = m.Service
			}
		}
		for i := range 8 {
			name := ident.ServiceName(fmt.Sprint("s", i))
			for _, target := range v.Targets(name) {
				if want[target.ID] != name {
					t.Fatalf("target %s is listed under service %s", target.ID, name)
				}
				delete(want, target.ID)
			}
		}
		if len(want) > 0 {
			t.Fatalf("targets %v are missing", want)
		}
	})
}

// TestLongestPrefixWins guards against choosing another route than the one with the
// longest prefix that ends at the end of a segment.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		release := drawRelease(t)
		v := Build(release, nil)
		path := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "ab", ""}), 0, 3).Draw(t, "path"), "/")
		var want model.Route
		for _, r := range release.Configuration.Rules.Routes {
			matches := path == r.PathPrefix || strings.HasPrefix(path, strings.TrimSuffix(r.PathPrefix, "/")+"/")
			if matches && len(r.PathPrefix) > len(want.PathPrefix) {
				want = r
			}
		}
		got, ok := v.Route("", path)
		if ok != (want.Name != "") || got.Name != want.Name {
			t.Fatalf("path %s matched route %q, want %q", path, got.Name, want.Name)
		}
	})
}
