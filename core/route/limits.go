package route

import (
	"hickoryrail/core/clock"
	"hickoryrail/core/option"
)

// MaxSubset bounds the targets of one service that a picker considers.
const MaxSubset = 16

// Limits are the settings of a Picker; a zero field means the default.
type Limits struct {
	// Subset is the number of targets per service, at most MaxSubset.
	Subset int
	// EjectAfter is the number of consecutive failures that ejects a target.
	EjectAfter int
	// EjectMillis is the duration of the first ejection; it doubles with each one.
	EjectMillis clock.Millis
	// EjectMaxMillis bounds the duration of an ejection.
	EjectMaxMillis clock.Millis
	// SlowStartMillis is the time in which a new target's share of the traffic
	// grows to its full value.
	SlowStartMillis clock.Millis
	// ReportMillis is the age at which a load report has weight 0.5.
	ReportMillis clock.Millis
	// IdleMillis is the time without calls after which the measured delay and
	// failure rate have weight 0.5.
	IdleMillis clock.Millis
	// StaleMillis is the time without calls after which a target gets one
	// whatever its score.
	StaleMillis clock.Millis
	// DomainFactor multiplies the score of a target in another failure domain.
	DomainFactor float64
	// RegionFactor multiplies the score of a target in another region.
	RegionFactor float64
	// LocalPair adds two candidates of this node's failure domain to the two
	// random ones.
	LocalPair bool
	// Balance determines which services are balanced by expected time.
	Balance BalanceMode
}

// DefaultLimits returns the defaults of all fields of Limits.
func DefaultLimits() Limits {
	return Limits{
		Subset: MaxSubset, EjectAfter: 3, EjectMillis: clock.Second, EjectMaxMillis: clock.Minute,
		SlowStartMillis: 10 * clock.Second, ReportMillis: clock.Second, IdleMillis: 5 * clock.Second,
		StaleMillis:  20 * clock.Second,
		DomainFactor: 1.25, RegionFactor: 2,
	}
}

// orDefaults replaces zero fields by their defaults and bounds Subset.
func (l Limits) orDefaults() Limits {
	d := DefaultLimits()
	option.SetDefault(&l.Subset, d.Subset)
	option.SetDefault(&l.EjectAfter, d.EjectAfter)
	option.SetDefault(&l.EjectMillis, d.EjectMillis)
	option.SetDefault(&l.EjectMaxMillis, d.EjectMaxMillis)
	option.SetDefault(&l.SlowStartMillis, d.SlowStartMillis)
	option.SetDefault(&l.ReportMillis, d.ReportMillis)
	option.SetDefault(&l.IdleMillis, d.IdleMillis)
	option.SetDefault(&l.StaleMillis, d.StaleMillis)
	option.SetDefault(&l.DomainFactor, d.DomainFactor)
	option.SetDefault(&l.RegionFactor, d.RegionFactor)
	l.Subset = min(l.Subset, MaxSubset)
	return l
}
