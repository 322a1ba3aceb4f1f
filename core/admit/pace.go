package admit

import (
	"math"

	"hickoryrail/core/clock"
)

const (
	// paceHalfMillis is the age at which a stated pace has half of its weight. Machines
	// are slow for some 600 ms at a time, so an older figure says little.
	paceHalfMillis = 400 * clock.Millis(1)
	// paceLastsMillis is the time for which a stated pace is expected to last: half of
	// 600 ms. A longer wait would be overestimated if all of it were scaled.
	paceLastsMillis = 300 * clock.Millis(1)
	// paceSampleWeight is the weight of the newest run in the statistics of the pace.
	// Run times vary by about as much as the pace, so it takes some 100 runs to tell
	// whether a figure is true.
	paceSampleWeight = 0.01
	// pacePrior is the variance of the logarithm of the pace below which a stated pace is
	// believed without evidence.
	pacePrior = 0.01
	// falseSlope and trueSlope are the slopes of run times over the stated pace at which
	// the figure has no weight and its whole weight.
	falseSlope = 0.25
	trueSlope  = 0.75
)

// pace holds what the target states about the speed of its machine: how long work takes
// at the moment, relative to usual. Its weight follows the least-squares slope of the
// logarithms of run times over those of the pace: 1 if the figure is true, and 0 if run
// times do not depend on it. Figures count relative to their own average, so that one which
// is always the same has no effect. The zero value states nothing.
type pace struct {
	// stated is the logarithm of the latest figure, of the instant statedAt; valid if
	// known.
	stated   float64
	statedAt clock.Millis
	known    bool
	// relative is the logarithm of the pace relative to its average, weighted by age, as
	// of the last refresh; 0 if nothing is stated. current is the same, weighted by how
	// true the figures are.
	relative, current float64
	// meanPace and meanRun are the moving averages of the logarithms of the pace and of
	// the run times relative to their averages; variance and covariance are those of the
	// two.
	meanPace, meanRun    float64
	variance, covariance float64
}

// state records a figure, which is above 0, and 1 as usual.
func (p *pace) state(now clock.Millis, figure float64) {
	if !p.known {
		*p = pace{known: true, meanPace: math.Log(figure)}
	}
	p.stated, p.statedAt = math.Log(figure), now
}

// refresh updates the current factor.
func (p *pace) refresh(now clock.Millis) {
	if !p.known {
		return
	}
	r := float64(max(now-p.statedAt, 0) / paceHalfMillis)
	p.relative = (p.stated - p.meanPace) / (1 + r*r)
	p.current = p.weight() * p.relative
}

// weight returns the weight of the stated figures, from 0 to 1.
func (p *pace) weight() float64 {
	slope := (p.covariance + pacePrior) / (p.variance + pacePrior)
	return min(max((slope-falseSlope)/(trueSlope-falseSlope), 0), 1)
}

// scale returns how long work takes from now on that takes the time usual at the usual
// pace, to which the machine returns after paceLastsMillis.
func (p *pace) scale(usual clock.Millis) clock.Millis {
	if p.current == 0 {
		return usual
	}
	factor := clock.Millis(math.Exp(p.current))
	if usual*factor <= paceLastsMillis {
		return usual * factor
	}
	return usual + paceLastsMillis*(1-1/factor)
}

// normalize returns the run time of a call as it would be at the usual pace. atStart is
// the value of relative when the call started, and average is the average run time of its
// kind at the usual pace, or 0 if that is unknown. It also compares the run time with the
// pace.
func (p *pace) normalize(took clock.Millis, atStart float64, average clock.Millis) clock.Millis {
	if !p.known || took <= 0 {
		return took
	}
	atEnd := p.stated - p.meanPace
	weight := p.weight()
	if average > 0 {
		p.compare((atStart+atEnd)/2, math.Log(float64(took/average)))
	}
	return took / clock.Millis(math.Exp(weight*(atStart+atEnd)/2))
}

// compare adds the logarithms of the relative pace during a run and of its run time to
// the statistics.
func (p *pace) compare(dx, run float64) {
	dy := run - p.meanRun
	p.meanPace += paceSampleWeight * dx
	p.meanRun += paceSampleWeight * dy
	p.variance = (1 - paceSampleWeight) * (p.variance + paceSampleWeight*dx*dx)
	p.covariance = (1 - paceSampleWeight) * (p.covariance + paceSampleWeight*dx*dy)
}

// SetPace records how long work takes on the target's machine at the moment, relative to
// usual, as the target stated it in an answer that arrived at now. The expected run times
// of a ByGoal gate follow it.
func (g *Gate) SetPace(now clock.Millis, figure float64) {
	g.pace.state(now, figure)
	g.pace.refresh(now)
}

// Pace returns the factor by which the gate expects calls to run longer than usual; 1 if
// the target states nothing.
func (g *Gate) Pace() float64 {
	return math.Exp(g.pace.current)
}

// ResetPace forgets the pace, because another target takes the place of the present one.
func (g *Gate) ResetPace() {
	g.pace = pace{}
}
