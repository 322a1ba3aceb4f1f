package bench

import (
	"fmt"

	"hickoryrail/core/clock"
)

const (
	// balanceSeed fixes arrivals, works, speeds and choices.
	balanceSeed = 4051
	// BalanceMillis is the virtual time of one run for published figures.
	BalanceMillis = 52 * clock.Second
	// balanceSlots and balanceConnections are those of each target.
	balanceSlots       = 18
	balanceConnections = 420
	// paceMillis is the time for which a target keeps its pace; slowShare of the times
	// work takes slowPace times as long.
	paceMillis = 600 * clock.Millis(1)
	slowShare  = 0.15
	slowPace   = 2.5
	// waveMillis is the period and waveShare the height of the wave of demand, which is
	// shifted between the failure domains.
	waveMillis = 13 * clock.Second
	waveShare  = 0.55
	// burstMillis is the length of a burst, which comes every burstEvery and multiplies
	// demand by burstFactor.
	burstMillis = 2 * clock.Second
	burstEvery  = 9 * clock.Second
	burstFactor = 1.5
	// balanceLimited is the limit in requests per second of a target that names one.
	balanceLimited = 10.0
	// callerRetryMillis is the time after which a refused caller retries once.
	callerRetryMillis = 100 * clock.Millis(1)
)

// Faults of a run, as named in the table.
const (
	balanceNoFault = "none"
	// balanceFalse are false figures: every tenth target states a random pace, and its
	// gate is always idle according to its reports.
	balanceFalse = "false figures"
	// balanceCold are cold targets: every tenth one joins after a third of the run, and is
	// slow at first.
	balanceCold = "cold targets join"
	// balanceHang are targets that answer nothing in the second third of the run.
	balanceHang = "targets hang"
	// balanceLimit are targets that name a limit in the second third of the run, a third
	// to a half of what they got before.
	balanceLimit = "targets name a limit"
	// balanceRestart is a restart of all nodes in the middle of the run.
	balanceRestart = "all nodes restart"
	// balanceNoPace are targets that state no pace.
	balanceNoPace = "no pace stated"
)

type (
	// balanceRoute is the demand for one service.
	balanceRoute struct {
		targets int
		// perSecond is the mean rate of calls.
		perSecond           float64
		work, goal, timeout clock.Millis
		// answerKB is the mean size of an answer.
		answerKB float64
	}

	// balanceFleet is a deployment. Each node has a target, and callers use all nodes.
	balanceFleet struct {
		name    string
		domains int
		// hop is the one-way delay between two nodes.
		hop    clock.Millis
		routes []balanceRoute
		large  bool
	}

	// balanceResult holds the outcomes of a run.
	balanceResult struct {
		calls, inGoal, late, refused, lost int
		// attempts and refusals are those at gates; far counts the answers of other failure
		// domains, farKB their size, and probes the messages that only ask for the load.
		attempts, refusals, far, answers, probes int
		farKB                                    float64
		delays                                   []float64
	}
)

// balanceFleets are the two deployments of section 1 of docs/busy-fleets.md, and the
// first of them at the size of 790 nodes.
var balanceFleets = []balanceFleet{
	{"donations, 78 nodes", 3, 3.4, donations(1), false},
	{"clinics, 61 nodes", 4, 0.9, []balanceRoute{
		{27, 910, 290, 800, 6000, 2}, {24, 494, 380, 1000, 6000, 2}, {6, 115, 230, 2000, 6000, 90}, {4, 336, 120, 500, 3000, 2},
	}, false},
	{"donations, 790 nodes", 3, 3.4, donations(790.0 / 78), true},
}

// donations returns the routes of the donations, scaled.
func donations(scale float64) []balanceRoute {
	out := []balanceRoute{
		{37, 847, 320, 1000, 4000, 2}, {29, 403, 420, 1500, 6000, 2}, {12, 363, 230, 800, 3000, 2},
	}
	for i := range out {
		out[i].targets = int(float64(out[i].targets)*scale + 0.5)
		out[i].perSecond *= scale
	}
	return out
}

// Balance compares policies of load balancing in virtual time, with the same arrivals,
// works and paces for all of them. A large fleet is simulated for half of the time.
func Balance(duration clock.Millis, policies, faults []string, fleets []balanceFleet) *Table {
	t := NewTable(fmt.Sprintf("load balancing, %s virtual, seed %d", duration, balanceSeed),
		"deployment", "demand", "fault", "policy", "calls", "in goal %", "late %", "refused %", "lost %", "p50 ms", "p99 ms",
		"attempts per call", "far answers %", "far KB per call", "probes per call")
	for _, f := range fleets {
		for _, fault := range faults {
			for _, demand := range balanceDemands(f, fault) {
				for _, policy := range policies {
					length := duration
					if f.large {
						length /= 2
					}
					r := newBalanceSimulation(f, policy, fault, demand, length)
					r.runAll()
					r.addRow(t)
				}
			}
		}
	}
	return t
}

// balanceDemands returns the factors of the demand that are compared. A large fleet takes
// ten times as long to simulate, and is not simulated with faults.
func balanceDemands(f balanceFleet, fault string) []float64 {
	switch {
	case fault == balanceNoFault:
		return []float64{1, 1.5}
	case f.large:
		return nil
	}
	return []float64{1}
}

// addRow adds the row of a run to the table.
func (r *balanceSimulation) addRow(t *Table) {
	o := &r.result
	share := func(n int) float64 { return 100 * float64(n) / float64(max(o.calls, 1)) }
	t.Add(r.fleet.name, r.demand, r.fault, r.policy, o.calls, share(o.inGoal), share(o.late), share(o.refused), share(o.lost),
		quantile(o.delays, 0.5), quantile(o.delays, 0.99),
		float64(o.attempts)/float64(o.calls), 100*float64(o.far)/float64(max(o.answers, 1)),
		o.farKB/float64(o.calls), float64(o.probes)/float64(o.calls))
}
