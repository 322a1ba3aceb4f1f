package bench

import (
	"math"
	"strconv"

	"hickoryrail/core/clock"
	"hickoryrail/core/grant"
	"hickoryrail/core/ident"
)

const (
	// capHeadroom is the cap of a team in multiples of its usual rate, and
	// capBurstSeconds its burst in seconds of the cap.
	capHeadroom     = 1.6
	capBurstSeconds = 1
	// capSkew is the exponent of the Zipf distribution of the rates of the teams.
	capSkew = 1.2
	// capBindMillis is the time after a lowered cap until it is binding: a release must be
	// in force after 2.5 s, and a window later all requests count against it.
	capBindMillis = 7500 * clock.Millis(1)
)

// capConfig holds the bounds of the platform.
var capConfig = grant.Config{WindowMillis: 5 * clock.Second, Overage: 0.1, Slack: 20}

// capTeam is a team with its traffic and what became of it.
type capTeam struct {
	name   ident.TeamName
	usual  float64
	limits grant.Limits
	// held holds the caps that the nodes know.
	held []grant.Limits
	// factor multiplies the usual rate.
	factor float64
	// home is the node that receives all requests; below 0, all nodes do.
	home int
	// loosest is the largest cap that may still count, until loosestUntil.
	loosest      grant.Limits
	loosestUntil clock.Millis

	// ideal is a token bucket of the cap at time idealAt, which admits all requests for
	// which it has a token, and idealPassed their number.
	ideal       float64
	idealAt     clock.Millis
	idealPassed int
	// admitted holds the times at which the requests that were admitted in the last
	// window were sent.
	admitted []clock.Millis
	// worst is the largest number of requests in a window relative to the bound.
	worst float64
	// requests, passed and safe count all requests, the admitted ones, and those of them
	// by the safe part.
	requests, passed, safe int
	// waits is the sum of the delays of decisions, and longest the longest one.
	waits, longest clock.Millis
}

// newCapTeams creates teams with a Zipf distribution that together send perSecond requests.
func (s *capSim) newCapTeams(count int, perSecond float64, oneNode bool) {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -capSkew)
	}
	for i := range count {
		usual := perSecond * math.Pow(float64(i+1), -capSkew) / sum
		t := &capTeam{name: ident.TeamName("team-" + string(rune('a'+i%26)) + "-" + strconv.Itoa(i)), usual: usual, factor: 1, home: -1, held: make([]grant.Limits, len(s.nodes))}
		t.limits = grant.Limits{Rate: usual * capHeadroom, Burst: usual * capHeadroom * capBurstSeconds}
		t.loosest, t.ideal, t.idealAt = t.limits, t.limits.Burst, s.now
		if oneNode {
			t.home = s.random.IntN(len(s.nodes))
		}
		s.teams = append(s.teams, t)
	}
	for _, n := range s.nodes {
		s.tellTeams(n)
	}
	for _, t := range s.teams {
		s.next(t)
	}
}

// next schedules the next request of a team.
func (s *capSim) next(t *capTeam) {
	s.at(s.exponential(t.usual*t.factor), func() {
		node := t.home
		if node < 0 {
			node = s.random.IntN(len(s.nodes))
		}
		s.arrive(t, node)
		s.next(t)
	})
}

// setCap changes the cap of a team; each node learns of it within spread.
func (s *capSim) setCap(t *capTeam, factor float64, spread clock.Millis) {
	s.version++
	t.advance(s.now)
	next := grant.Limits{Rate: t.limits.Rate * factor, Burst: t.limits.Burst * factor}
	if next.Rate < t.loosest.Rate {
		t.loosestUntil = s.now + capBindMillis
	} else {
		t.loosest = next
	}
	t.limits = next
	t.ideal = min(t.ideal, next.Burst)
	for _, n := range s.nodes {
		run := n.run
		s.at(spread*clock.Millis(s.random.Float64()), func() { s.when(n, run, func() { s.tellTeams(n) }) })
	}
}

// advance adds the tokens of the ideal bucket up to now.
func (t *capTeam) advance(now clock.Millis) {
	t.ideal = min(t.ideal+t.limits.Rate*float64((now-t.idealAt)/clock.Second), t.limits.Burst)
	t.idealAt = now
	if t.loosestUntil > 0 && now >= t.loosestUntil {
		t.loosest, t.loosestUntil = t.limits, 0
	}
}

// decided counts a request.
func (t *capTeam) decided(q *capRequest, d grant.Decision, now clock.Millis) {
	t.advance(now)
	t.requests++
	t.waits += now - q.at
	t.longest = max(t.longest, now-q.at)
	if t.ideal >= 1 {
		t.ideal--
		t.idealPassed++
	}
	if d.Outcome == grant.Refused {
		return
	}
	t.passed++
	if d.Outcome == grant.AdmittedSafe {
		t.safe++
	}
	t.count(q.at)
}

// count adds an admitted request, which was sent at the given time, and checks the window
// that ends there.
func (t *capTeam) count(at clock.Millis) {
	i := len(t.admitted)
	t.admitted = append(t.admitted, at)
	for ; i > 0 && t.admitted[i-1] > at; i-- {
		t.admitted[i-1], t.admitted[i] = t.admitted[i], t.admitted[i-1]
	}
	last := t.admitted[len(t.admitted)-1]
	drop := 0
	for drop < len(t.admitted) && t.admitted[drop] <= last-capConfig.WindowMillis {
		drop++
	}
	t.admitted = t.admitted[drop:]
	seconds := float64(capConfig.WindowMillis / clock.Second)
	bound := (t.loosest.Rate*seconds+t.loosest.Burst)*(1+capConfig.Overage) + capConfig.Slack
	t.worst = max(t.worst, float64(len(t.admitted))/bound)
}
