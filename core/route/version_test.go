package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/member"
	"hickoryrail/core/model"
	"hickoryrail/core/view"
)

// versionView returns a view with targets of which the last few have a software version.
func versionView(old, newer int) *view.View {
	r := model.Release{Version: 1, Configuration: model.Configuration{Inventory: model.Inventory{Services: []model.Service{{Name: "s", Slots: 4}}}}}
	var records []member.Record
	for i := range old + newer {
		m := member.Record{Node: ident.NodeID(fmt.Sprintf("n%03d", i)), Service: "s", Target: ident.TargetID(fmt.Sprintf("t%03d", i)), TargetState: member.Ready}
		if i >= old {
			m.Software = "v2"
		}
		records = append(records, m)
	}
	return view.Build(r, records)
}

// TestPickVersion guards against a choice of the other version, also by a node that
// considers only some of many targets, and against choices that change without a rollout.
func TestPickVersion(t *testing.T) {
	is := is.New(t)
	p := &Picker{Self: "n", Rand: rand.New(rand.NewPCG(1, 1))}
	p.SetView(0, versionView(200, 2))
	hasOld, hasNew := p.Versions("s")
	is.True(hasOld && hasNew)
	for range 200 {
		for _, v := range []Version{OldVersion, NewVersion} {
			c, ok := p.PickVersion(0, "s", nil, v)
			is.True(ok)
			is.Equal(c.Target.Software != "", v == NewVersion)
			p.Done(0, c.Target.ID, Outcome{Delay: 5})
		}
	}
	p.SetView(1, versionView(0, 2))
	_, ok := p.PickVersion(1, "s", nil, OldVersion)
	is.True(!ok)
	p.SetView(2, versionView(20, 0))
	hasOld, hasNew = p.Versions("s")
	is.True(hasOld && !hasNew)
	_, ok = p.PickVersion(2, "s", nil, NewVersion)
	is.True(!ok)
	a, b := &Picker{Self: "n", Rand: rand.New(rand.NewPCG(1, 1))}, &Picker{Self: "n", Rand: rand.New(rand.NewPCG(1, 1))}
	a.SetView(0, versionView(20, 0))
	b.SetView(0, versionView(20, 0))
	for range 100 {
		x, _ := a.Pick(0, "s", nil)
		y, _ := b.PickVersion(0, "s", nil, OldVersion)
		is.Equal(x, y)
	}
	is.Equal(testing.AllocsPerRun(100, func() {
		c, _ := a.PickVersion(0, "s", nil, AnyVersion)
		a.Done(0, c.Target.ID, Outcome{Delay: 5})
	}), 0.0)
}
