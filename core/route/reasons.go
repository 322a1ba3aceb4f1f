package route

// Reasons returns the reasons of all choices.
func Reasons() []string {
	return []string{
		ReasonOnly, ReasonScore, ReasonExpected, ReasonDomain, ReasonSlowStart, ReasonStale, ReasonNoTargets, ReasonExhausted,
	}
}
