package canary

import (
	"math"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
)

const (
	// windowMillis is the length of the windows of evidence. The versions are compared
	// within a window, so that trouble which hits both is not attributed to the new one.
	windowMillis = 1 * clock.Second
	// baseWindows is the number of windows that give the rates of the old version.
	baseWindows = 3
	// oddsRatio is the factor by which the odds of a bad answer of a faulty version exceed
	// those of the old one. The test is most sensitive at this ratio and finds larger ones
	// sooner.
	oddsRatio = 8
	// minFailureRate and minSlowRate are the least assumed rates of the old version, since
	// a short time without a bad answer does not show that there are none.
	minFailureRate = 0.005
	minSlowRate    = 0.05
	// maxBaseRate bounds the assumed rate of the old version: above it, the answers do not
	// tell the versions apart.
	maxBaseRate = 0.8
	// faultyScore is the score from which on a version is faulty. The mean number of
	// answers of a good version until a score of h is at least exp(h) (Lorden 1971): with
	// some ten scores and up to 10,000 answers in a rollout, fewer than 1 in 1,000 good
	// versions reach it.
	faultyScore = 16
	// suspectScore is the score from which on the share does not grow.
	suspectScore = faultyScore / 2
	// localScore is the exponent of the probability from which on a node stops by itself:
	// below one in a million.
	localScore = 14
	// minBase is the number of answers of the old version on a route from which on they
	// give its own rates; with fewer, those of all routes apply.
	minBase = 20
	// minAllBase is the number of answers of the old version on all routes from which on the
	// versions are compared: without them nothing shows that the new one is worse.
	minAllBase = 5
	// minBaseShare is the least number of answers of the old version for each one of the new
	// version in the open window: in the last step, the old version has none that show
	// whether trouble hits both.
	minBaseShare = 0.04
	// slowBuckets is the distance in buckets from the median of the old version from which
	// on an answer is slow: a factor of 2 to 2.8. Cold targets and noise stay below it.
	slowBuckets = 3
	// minOthers is the number of answers of the targets other than the worst one that are
	// needed to tell a faulty version from a faulty target.
	minOthers = 8
	// maxRoutes and maxTargets bound the routes and targets that a judge tells apart.
	maxRoutes, maxTargets = 64, 1024
)

type (
	// judge decides from evidence whether a new version is faulty. It sums up the log
	// likelihood ratio of the sequential probability ratio test (Wald 1945) for each answer
	// of the new version, with the rates of the old version in the same time as the null
	// hypothesis, and starts again from 0 when the sum becomes negative (the cumulative sum
	// test of Page 1954), so that a fault that begins late is found as soon as an early one.
	judge struct {
		// windowEnd is the end of the open window.
		windowEnd clock.Millis
		routes    map[ident.RouteName]*routeEvidence
		// all holds the sum over all routes. Delays differ by route, so that only its
		// failures are tested.
		all *routeEvidence
		// answers and good count the answers of the new version.
		answers, good float64
	}

	// routeEvidence is the evidence of one route.
	routeEvidence struct {
		// base holds the answers of the old version in the last windows, the open one
		// first.
		base [baseWindows]counts
		// open holds the answers of the new version in the open window by target, and
		// byTarget those of the whole rollout.
		open     map[ident.TargetID]*counts
		byTarget map[ident.TargetID]*tally
		// failures and slowness are the sums over the closed windows.
		failures, slowness float64
	}

	// counts counts answers.
	counts struct {
		failed float64
		delays Histogram
	}

	// tally counts the answers of one target that are bad and those that are not.
	tally struct {
		bad, good float64
	}

	// finding is the result of the test that shows most for a fault.
	finding struct {
		// Score is the sum of the log likelihood ratios.
		Score float64
		Route ident.RouteName
		// Slow reports that slow answers were counted in addition to failures.
		Slow bool
		// Attributed reports that not only one target gave the bad answers, and OneTarget
		// that only one did; neither is set while there are too few answers to tell.
		Attributed, OneTarget bool
		// Bad and Answers are those of the new version over the rollout, and BaseRate is
		// the assumed rate of the old version.
		Bad, Answers, BaseRate float64
	}
)

// faulty reports whether a finding shows that the version is faulty.
func (f finding) faulty() bool {
	return f.Score >= faultyScore && f.Attributed
}

// suspect reports whether a finding is a reason not to increase the share.
func (f finding) suspect() bool {
	return f.Score >= suspectScore && !f.OneTarget
}

// rank orders findings by what they show for a fault.
func (f finding) rank() float64 {
	if f.OneTarget {
		return f.Score - 1e9
	}
	if f.faulty() {
		return f.Score + 1e9
	}
	return f.Score
}

// newJudge returns a judge without evidence.
func newJudge(now clock.Millis) *judge {
	return &judge{windowEnd: now + windowMillis, routes: make(map[ident.RouteName]*routeEvidence), all: newRouteEvidence()}
}

// newRouteEvidence returns the evidence of a route without answers.
func newRouteEvidence() *routeEvidence {
	return &routeEvidence{open: make(map[ident.TargetID]*counts), byTarget: make(map[ident.TargetID]*tally)}
}

// add adds rows of evidence.
func (j *judge) add(now clock.Millis, rows []Row) {
	j.advance(now)
	for _, r := range rows {
		e := j.routes[r.Route]
		if e == nil {
			if len(j.routes) >= maxRoutes {
				continue
			}
			e = newRouteEvidence()
			j.routes[r.Route] = e
		}
		e.add(r)
		j.all.add(r)
		if r.Target != "" {
			j.answers += float64(r.Failed) + r.Delays.total()
			j.good += r.Delays.total()
		}
	}
}

// advance closes the windows that have ended.
func (j *judge) advance(now clock.Millis) {
	for n := 0; now >= j.windowEnd && n <= baseWindows; n++ {
		for _, e := range j.routes {
			e.close(j.all)
		}
		j.all.close(j.all)
		j.windowEnd += windowMillis
	}
	if now >= j.windowEnd {
		j.windowEnd = now + windowMillis // after a pause
	}
}

// worst returns the finding that shows most for a fault.
func (j *judge) worst(now clock.Millis) finding {
	j.advance(now)
	worst := j.all.finding(j.all, "", false)
	for name, e := range j.routes {
		for _, slow := range [...]bool{false, true} {
			if f := e.finding(j.all, name, slow); f.rank() > worst.rank() {
				worst = f
			}
		}
	}
	return worst
}

// add adds a row.
func (e *routeEvidence) add(r Row) {
	if r.Target == "" {
		e.base[0].add(r)
		return
	}
	c := e.open[r.Target]
	if c == nil {
		if len(e.byTarget) >= maxTargets {
			return
		}
		c = &counts{}
		e.open[r.Target] = c
	}
	c.add(r)
	if e.byTarget[r.Target] == nil {
		e.byTarget[r.Target] = &tally{}
	}
}

// add adds the counts of a row.
func (c *counts) add(r Row) {
	c.failed += float64(r.Failed)
	c.delays.merge(r.Delays)
}

// total returns the number of answers.
func (c *counts) total() float64 {
	return c.failed + c.delays.total()
}

// baseline returns the answers of the old version that the open window is compared with.
func (e *routeEvidence) baseline() counts {
	var sum counts
	for i := range e.base {
		sum.failed += e.base[i].failed
		sum.delays.merge(e.base[i].delays)
	}
	return sum
}

// close adds the open window to the sums and opens the next one. all is the evidence of
// all routes.
func (e *routeEvidence) close(all *routeEvidence) {
	e.failures = e.sum(all, false)
	e.slowness = e.sum(all, true)
	base := e.baseline()
	limit := base.slowFrom()
	for id, c := range e.open {
		t := e.byTarget[id]
		bad := c.failed + c.delays.from(limit)
		t.bad += bad
		t.good += c.total() - bad
	}
	clear(e.open)
	copy(e.base[1:], e.base[:])
	e.base[0] = counts{}
}

// openTotal returns the number of answers of the new version in the open window.
func (e *routeEvidence) openTotal() float64 {
	var n float64
	for _, c := range e.open {
		n += c.total()
	}
	return n
}

// slowFrom returns the first bucket of slow answers.
func (c *counts) slowFrom() int {
	total := c.delays.total()
	if total < minBase {
		return bucketCount
	}
	i := c.delays.median() + slowBuckets
	for i < bucketCount && c.delays.from(i) > minSlowRate*total {
		i++
	}
	return i
}

// rate returns the assumed rate of bad answers of the old version: an upper bound of what
// its answers show, since the test takes it as exact.
// It is 0 if there are too few of these.
func (e *routeEvidence) rate(all *routeEvidence, slow bool) (rate float64, limit int) {
	base := e.baseline()
	limit = bucketCount
	if slow {
		limit = base.slowFrom()
	}
	if base.total() < minBase {
		base = all.baseline()
	}
	if base.total() < minAllBase || all.base[0].total() < minBaseShare*all.openTotal() {
		return 0, limit
	}
	bad, least := base.failed, float64(minFailureRate)
	if slow {
		bad, least = bad+base.delays.from(limit), minSlowRate
	}
	open := e.base[0]
	p := upperRate(bad, base.total())
	if open.total() >= minBase { // trouble that has just begun hits both versions
		p = max(p, upperRate(open.failed+open.delays.from(limit), open.total()))
	}
	return min(max(p, least), maxBaseRate), limit
}

// upperRate returns a rate two standard deviations above bad of n.
func upperRate(bad, n float64) float64 {
	if n == 0 {
		return 0
	}
	return (bad + 2*math.Sqrt(bad)) / n
}

// sum returns the sum of the log likelihood ratios with that of the open window.
func (e *routeEvidence) sum(all *routeEvidence, slow bool) float64 {
	sum := e.failures
	if slow {
		sum = e.slowness
	}
	p0, limit := e.rate(all, slow)
	if p0 == 0 {
		return sum
	}
	odds := oddsRatio * p0 / (1 - p0)
	p1 := odds / (1 + odds)
	forBad, forGood := math.Log(p1/p0), math.Log((1-p1)/(1-p0))
	for _, c := range e.open {
		bad := c.failed + c.delays.from(limit)
		sum += bad*forBad + (c.total()-bad)*forGood
	}
	return max(sum, 0)
}

// finding returns the result of one test.
func (e *routeEvidence) finding(all *routeEvidence, name ident.RouteName, slow bool) finding {
	p0, limit := e.rate(all, slow)
	f := finding{Score: e.sum(all, slow), Route: name, Slow: slow, BaseRate: p0}
	var worst, sum tally
	for id, t := range e.byTarget {
		n := *t
		if c := e.open[id]; c != nil {
			bad := c.failed + c.delays.from(limit)
			n.bad += bad
			n.good += c.total() - bad
		}
		sum.bad, sum.good = sum.bad+n.bad, sum.good+n.good
		if n.bad > worst.bad {
			worst = n
		}
	}
	f.Bad, f.Answers = sum.bad, sum.bad+sum.good
	bad, others := sum.bad-worst.bad, f.Answers-worst.bad-worst.good
	switch {
	case others < minOthers:
		f.Attributed = len(e.byTarget) < 2 || f.Score >= 2*faultyScore
	default:
		f.Attributed = bad >= 2 && bad > 2*p0*others
		f.OneTarget = !f.Attributed
	}
	return f
}

// chernoff returns the exponent of the Chernoff bound on the probability of at least bad
// of n answers being bad at a rate of p0.
func chernoff(bad, n, p0 float64) float64 {
	q := bad / n
	if q <= p0 {
		return 0
	}
	d := q * math.Log(q/p0)
	if q < 1 {
		d += (1 - q) * math.Log((1-q)/(1-p0))
	}
	return n * d
}
