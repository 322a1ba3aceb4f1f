package bench

import (
	"fmt"

	"hickoryrail/core/canary"
	"hickoryrail/core/clock"
	"hickoryrail/io/trial"
)

const (
	// RolloutRuns is the number of rollouts of a faulty version of one row for published
	// figures. Fleets of more than rolloutScaled nodes have proportionally fewer.
	RolloutRuns = 20
	// RolloutGoodRuns is the same for a good version.
	RolloutGoodRuns = 1000
	// rolloutMillis is the duration of a rollout, and rolloutWorkMillis the time of a
	// request of the fastest of the three routes; the others take twice and three times
	// as long.
	rolloutMillis     = 16 * clock.Second
	rolloutWorkMillis = 100 * clock.Millis(1)
	// rolloutPerNode is the rate of requests per node.
	rolloutPerNode = 8
	// rolloutScaled is the size of fleet above which there are fewer runs, and rolloutLeast
	// the number of these.
	rolloutScaled = 16
	rolloutLeast  = 5
)

// rolloutCase is a version that is rolled out.
type rolloutCase struct {
	name  string
	good  bool
	apply func(o *trial.Options)
}

// rolloutCases lists the versions.
var rolloutCases = []rolloutCase{
	{"good", true, func(*trial.Options) {}},
	{"good, 15 in 100 of all answers fail", true, func(o *trial.Options) {
		o.Trouble = func(clock.Millis) (float64, float64) { return 0.15, 1 }
	}},
	{"good, all fail half and take 3 times as long for 2 s", true, func(o *trial.Options) {
		o.Trouble = func(since clock.Millis) (float64, float64) {
			if since > 4*clock.Second && since < 6*clock.Second {
				return 0.5, 3
			}
			return 0, 1
		}
	}},
	{"fails 100 in 100", false, fails(1)},
	{"fails 20 in 100", false, fails(0.2)},
	{"fails 5 in 100", false, fails(0.05)},
	{"takes 3 times as long", false, func(o *trial.Options) { o.NewFactor = 3 }},
	{"takes 5 times as long", false, func(o *trial.Options) { o.NewFactor = 5 }},
	{"fails 50 in 100 with more than 2 calls at a target", false, func(o *trial.Options) {
		o.NewFails = func(_, calls int, _ clock.Millis) float64 {
			if calls > 2 {
				return 0.5
			}
			return 0
		}
	}},
}

// fails returns a change to a version that fails at a rate.
func fails(p float64) func(o *trial.Options) {
	return func(o *trial.Options) { o.NewFails = func(int, int, clock.Millis) float64 { return p } }
}

// Rollouts measures rollouts in virtual time: the requests and bad answers of the new
// version until the end, the time to the end, and the share of versions for which the
// outcome was wrong. Published figures use RolloutRuns and RolloutGoodRuns with 16, 73, 300
// and 790 nodes.
func Rollouts(runs, goodRuns int, sizes ...int) *Table {
	t := NewTable(fmt.Sprintf("rollouts in %.0f s, %d requests/s per node, targets of each version at 45 in 100 of the nodes, cold for 3 s, work varying by 15 in 100, seeds from 0",
		float64(rolloutMillis/clock.Second), rolloutPerNode),
		"nodes", "new version", "runs", "completed", "rolled back", "bad answers mean", "max", "end s mean", "max",
		"new version's requests to the end, in 100 of all until the deadline, mean", "max", "messages per node and s, busiest node")
	for _, n := range sizes {
		for _, c := range rolloutCases {
			count := runs
			if c.good {
				count = goodRuns
			}
			if n > rolloutScaled {
				count = max(count*rolloutScaled/n/2, min(count, rolloutLeast))
			}
			addRollouts(t, n, count, c)
		}
	}
	return t
}

// addRollouts adds the row of one version.
func addRollouts(t *Table, nodes, runs int, c rolloutCase) {
	var completed, rolledBack, maxBad int
	var bad, end, maxEnd, share, maxShare, busiest float64
	for seed := range runs {
		o := trial.Options{
			Seed: uint64(seed), Nodes: nodes, OldTargets: nodes * 45 / 100, NewTargets: nodes * 45 / 100,
			PerSecond: float64(rolloutPerNode * nodes), WorkMillis: rolloutWorkMillis,
			Config: canary.Config{Share: 0.1, Slack: 50, RollbackMillis: 5 * clock.Second},
		}
		c.apply(&o)
		f := trial.NewFleet(o)
		f.Run(clock.Second)
		f.Order(trial.New, rolloutMillis)
		f.Run(rolloutMillis)
		switch f.Store.Status().Phase {
		case canary.Completed:
			completed++
		case canary.RolledBack:
			rolledBack++
		}
		r := f.Result
		bad += float64(r.EndBad)
		maxBad = max(maxBad, r.EndBad)
		took := float64((r.EndAt - f.Ordered) / clock.Second)
		end, maxEnd = end+took, max(maxEnd, took)
		exposed := 100 * float64(r.EndNew) / max(float64(r.Old+r.New), 1)
		share, maxShare = share+exposed, max(maxShare, exposed)
		busiest = max(busiest, float64(r.MaxMessages)/max(took, 1))
	}
	n := float64(runs)
	t.Add(nodes, c.name, runs, completed, rolledBack, bad/n, maxBad, end/n, maxEnd, share/n, maxShare, busiest)
}
