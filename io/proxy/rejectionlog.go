package proxy

import (
	"hickoryrail/core/clock"
	"hickoryrail/io/logs"
)

const (
	// maxRejectionLines bounds the log lines per second about requests that are rejected
	// because of their team. A team far beyond its cap would otherwise take up the lines of
	// all other decisions, of which a node writes a bounded number.
	maxRejectionLines = 20
	// reasonOmitted is the reason of the line that reports omitted lines.
	reasonOmitted = "lines about rejected requests were left out"
)

// rejectionLog bounds the log lines about rejected requests. The zero value has written
// none.
type rejectionLog struct {
	// lines is the number of lines in the current second, which is second, and omitted the
	// number of lines that were left out since the last one.
	second         int64
	lines, omitted int
}

// allow reports whether a line may be written now. If so, it returns the number of lines
// that were left out since the last one.
func (l *rejectionLog) allow(now clock.Millis) (omitted int, ok bool) {
	if second := int64(now / clock.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines == maxRejectionLines {
		l.omitted++
		return 0, false
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// recordRejection writes the line about a request that was rejected because of its team,
// unless too many were written in this second.
func (in *Ingress) recordRejection(d logs.Decision) {
	in.mu.Lock()
	omitted, ok := in.rejections.allow(d.At)
	in.mu.Unlock()
	if !ok {
		return
	}
	if omitted > 0 {
		in.Log.Record(logs.Decision{At: d.At, Kind: logs.Omitted, Node: in.Self, Count: omitted, Reason: reasonOmitted})
	}
	in.Log.Record(d)
}
