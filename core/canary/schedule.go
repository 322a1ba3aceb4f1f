package canary

import "hickoryrail/core/clock"

const (
	// minMarginMillis and marginShare are the time before the deadline in which the outcome
	// is written: a write that needs a second attempt takes about 2 s. A third of a short
	// rollout is the most.
	minMarginMillis = 2 * clock.Second
	marginShare     = 0.1
	maxMarginShare  = 1.0 / 3
	// trialShare is the part of Config.Share that the new version gets in the first step.
	// The other part is for the last steps.
	trialShare = 0.4
	// fullScheduleMillis is the duration from which on the last steps have their full
	// length; they are shorter in shorter rollouts.
	fullScheduleMillis = 10 * clock.Second
	// minScale is the least part of their length that the last steps have. Less does not
	// show how the new version behaves.
	minScale = 0.25
)

// Steps of a rollout.
const (
	// stepTrial sends the new version a part of Config.Share.
	stepTrial = iota
	stepQuarter
	stepHalf
	// stepMost leaves the old version enough requests for a comparison.
	stepMost
	// stepAll sends all requests to the new version; the old targets end theirs.
	stepAll
)

// shares holds the share of the new version in the steps after the first one, and lengths
// their least duration. Until stepMost, the new version gets the requests of 0.9 s: those of
// 0.45 s in a trial of 11 s at 0.4 of a tenth, and of 0.45 s in the next two steps. A tenth
// of 16 s is 1.6 s.
var (
	shares  = [...]float64{stepQuarter: 0.2, stepHalf: 0.5, stepMost: 0.9, stepAll: 1}
	lengths = [...]clock.Millis{stepQuarter: 700, stepHalf: 600, stepMost: 1000, stepAll: 400}
)

// margin returns the time before the deadline at which the outcome is to be written.
func margin(duration clock.Millis) clock.Millis {
	return min(max(minMarginMillis, duration*marginShare), duration*maxMarginShare)
}

// growth returns the duration of the last steps.
func growth(duration clock.Millis) clock.Millis {
	var sum clock.Millis
	for _, l := range lengths {
		sum += l
	}
	return sum * min(1, (duration-margin(duration))/fullScheduleMillis)
}

// scaleOf returns the part of their length that the last steps have if left is the time
// for them.
func scaleOf(left clock.Millis) float64 {
	var sum clock.Millis
	for _, l := range lengths {
		sum += l
	}
	return min(1, float64(left/sum))
}
