package wire

import (
	"testing"

	"hickoryrail/core/clock"
	"hickoryrail/core/grant"
)

// BenchmarkGrant measures the coding of a Request for three teams and of its Reply, each
// once at the sender and once at the receiver, and the size of both.
func BenchmarkGrant(b *testing.B) {
	request := grant.Message{Kind: grant.Request, Run: 1 << 62, Sequence: 1000, Version: 40}
	reply := grant.Message{Kind: grant.Reply, Run: 1 << 62, Sequence: 1000}
	for range 3 {
		request.Asks = append(request.Asks, grant.Ask{Team: "team-north", RequestsPerSecond: 860, BurstRequests: 860, Held: 2, Waiting: 1, Arrived: 9, Used: 8, Demand: 8.71})
		reply.Grants = append(reply.Grants, grant.Grant{Team: "team-north", Tokens: 8, HoldMillis: clock.Millis(100.5)})
	}
	size := 0
	for b.Loop() {
		size = 0
		for _, m := range []*grant.Message{&request, &reply} {
			body, err := EncodeControl(Control{Grant: m})
			if err != nil {
				b.Fatal(err)
			}
			size += len(body)
			if _, err := DecodeControl(body); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
