package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// feedMillis is the time between two pieces of evidence, and feedNew and feedOld the
	// answers of the versions on each of three routes in it: 30 and 300 a second in all.
	feedMillis       = 100 * clock.Millis(1)
	feedNew, feedOld = 1, 10
	// feedTargets is the number of targets of the new version.
	feedTargets = 5
)

// behavior is the rate of failures of a version and the factor of its run times at a time.
type behavior func(at clock.Millis, route int) (fails, factor float64)

// steady returns a behavior that does not change.
func steady(fails, factor float64) behavior {
	return func(clock.Millis, int) (float64, float64) { return fails, factor }
}

// feed gives a judge the answers of d and returns the time at which the new version was
// found to be faulty; 0 if it was not.
func feed(r *rand.Rand, d clock.Millis, old, newer behavior) clock.Millis {
	const begin = 1000 * clock.Second
	j := newJudge(begin)
	answer := func(row *Row, fails, factor float64) {
		if r.Float64() < fails {
			row.Failed++
			return
		}
		// Half of the work is exponentially distributed, as waits in queues are.
		row.Delays.add(clock.Millis(factor * (100 + 50*r.ExpFloat64())))
	}
	for at := clock.Millis(0); at < d; at += feedMillis {
		for route := range 3 {
			name := ident.RouteName(fmt.Sprint(route))
			var rows []Row
			row := Row{Route: name}
			for range feedOld {
				fails, factor := old(at, route)
				answer(&row, fails, factor)
			}
			rows = append(rows, row)
			for range feedNew {
				fails, factor := newer(at, route)
				row := Row{Route: name, Target: ident.TargetID(fmt.Sprint("t", r.IntN(feedTargets)))}
				answer(&row, fails, factor)
				rows = append(rows, row)
			}
			j.add(begin+at, rows)
		}
		if j.worst(begin + at).faulty() {
			return at + feedMillis
		}
	}
	return 0
}

// TestGoodVersions guards against good versions that are found to be faulty: fewer than 1
// in 1,000, also under trouble that hits both versions.
func TestGoodVersions(t *testing.T) {
	trouble := func(at clock.Millis, _ int) (float64, float64) {
		if at > 3*clock.Second && at < 5*clock.Second {
			return 0.4, 3
		}
		return 0.001, 1
	}
	for name, b := range map[string]behavior{
		"no failures": steady(0, 1), "1 in 1,000": steady(0.001, 1), "5 in 100": steady(0.05, 1),
		"15 in 100": steady(0.15, 1), "half": steady(0.5, 1), "trouble": trouble,
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			for run := range 1000 {
				if at := feed(r, 16*clock.Second, b, b); at > 0 {
					t.Fatalf("run %d: found to be faulty after %v", run, at)
				}
			}
		})
	}
}

// TestFaultyVersions guards against a fault that is found late, on average and in the
// worst of 100 runs.
func TestFaultyVersions(t *testing.T) {
	for _, c := range []struct {
		name       string
		b          behavior
		from       clock.Millis
		mean, most clock.Millis
	}{
		{"all", steady(1, 1), 0, 700, 1000},
		{"20 in 100", steady(0.2, 1), 0, 3000, 7000},
		{"5 in 100", steady(0.05, 1), 0, 16_000, 60_000},
		{"5 x slow", steady(0, 5), 0, 2500, 4000},
		{"3 x slow", steady(0, 3), 0, 3500, 6000},
		{"one route", func(_ clock.Millis, route int) (float64, float64) { return float64(route / 2), 1 }, 0, 2500, 4000},
		{"later", func(at clock.Millis, _ int) (float64, float64) {
			if at < 30*clock.Second {
				return 0, 1
			}
			return 1, 1
		}, 30 * clock.Second, 900, 1200},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(3, 4))
			var sum, most clock.Millis
			const runs = 100
			for range runs {
				at := feed(r, 120*clock.Second, steady(0.002, 1), c.b)
				is.True(at > c.from)
				sum += at - c.from
				most = max(most, at-c.from)
			}
			t.Logf("mean %.0f ms, most %.0f ms", float64(sum/runs), float64(most))
			is.True(sum/runs <= c.mean)
			is.True(most <= c.most)
		})
	}
}

// TestOneTarget guards against a version that is found to be faulty because of one of its
// targets.
func TestOneTarget(t *testing.T) {
	is := is.New(t)
	j := newJudge(0)
	for at := clock.Millis(0); at < 16*clock.Second; at += feedMillis {
		row := Row{Route: "r", Delays: Histogram{0, 0, 9}}
		j.add(at, []Row{row, {Route: "r", Target: "a", Failed: 1}, {Route: "r", Target: "b", Delays: Histogram{0, 0, 1}}})
		is.True(!j.worst(at).faulty())
	}
	f := j.worst(16 * clock.Second)
	is.True(f.OneTarget && !f.suspect())
	is.True(f.Score >= faultyScore)
}

// TestWithoutBaseline guards against trouble that is attributed to the new version while
// the old one gets no requests, and against a finding that is lost then.
func TestWithoutBaseline(t *testing.T) {
	is := is.New(t)
	bad := []Row{{Route: "r", Target: "a", Failed: 1}, {Route: "r", Target: "b", Failed: 1}}
	for _, found := range []bool{false, true} {
		j := newJudge(0)
		j.add(0, []Row{{Route: "r", Failed: 1, Delays: Histogram{0, 0, 200}}})
		for range 20 {
			if found {
				j.add(500, bad)
			}
		}
		is.Equal(j.worst(900).faulty(), found)
		for at := 6 * clock.Second; at < 8*clock.Second; at += feedMillis {
			j.add(at, bad)
		}
		is.Equal(j.worst(8*clock.Second).faulty(), found)
	}
}
