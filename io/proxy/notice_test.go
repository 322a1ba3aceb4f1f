package proxy

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/admit"
	"hickoryrail/core/clock"
	"hickoryrail/core/option"
	"hickoryrail/core/report"
	"hickoryrail/core/result"
	"hickoryrail/io/wire"
)

// noticeDialect returns customDialect with the header Limit.
func noticeDialect() Dialect {
	d := customDialect()
	d.Notice = func(header func(string) []byte) report.Notice {
		v, err := strconv.ParseFloat(string(header("Limit")), 64)
		if err != nil {
			return report.Notice{}
		}
		return report.Notice{Limit: option.Some(v)}
	}
	return d
}

// TestGateKeepsStatedLimit guards against a gate that ignores the limit that its target
// states in an answer, and against calls that wait for the limit and are never started.
func TestGateKeepsStatedLimit(t *testing.T) {
	is := is.New(t)
	const limit, calls = 20, 10
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nLimit: 20\r\nContent-Length: 2\r\n\r\nok", false)
	g := &Gateway{Self: "node", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: noticeDialect(), QueueLength: 64}
	is.NoErr(g.Open())
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = g.Run(ctx) }()
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 9, Connections: 9}))
	is.Equal(g.Forward(ctx, customRequest(0, true)).Verdict, result.Ran)
	is.Equal(g.limitPerSecond(), float64(limit))
	began := time.Now()
	answers := make(chan *wire.Response, calls)
	for i := range calls {
		go func() {
			r := customRequest(1+i, true)
			r.ID = "waits-" + r.ID
			answers <- g.Forward(ctx, r)
		}()
	}
	for range calls {
		r := <-answers
		is.Equal(fmt.Sprint(r.Verdict, r.Reason), fmt.Sprint(result.Ran, ""))
	}
	is.True(time.Since(began) >= (calls-1)*time.Second/limit)

	is.NoErr(g.Announce(Announcement{Target: "t-2", Address: s.address, Slots: 9, Connections: 9}))
	is.Equal(g.limitPerSecond(), float64(noLimit)) // another target
}

// TestGateKeepsStatedPace guards against a gate that ignores the pace that its target
// states in an answer, or that keeps it for another target.
func TestGateKeepsStatedPace(t *testing.T) {
	is := is.New(t)
	s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok", false)
	figure := 1.0
	d := customDialect()
	d.Notice = func(func(string) []byte) report.Notice {
		return report.Notice{Load: option.Some(report.TargetLoad{Slots: 9, Pace: option.Some(figure)})}
	}
	now := clock.NewManual(1000)
	g := &Gateway{Self: "node", Incarnation: gateIncarnation, Clock: now, Dialect: d, Order: admit.ByGoal}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 9, Connections: 9}))
	is.Equal(g.Forward(context.Background(), customRequest(0, true)).Verdict, result.Ran)
	is.Equal(g.pace(), 1.0)
	figure = 2.5
	is.Equal(g.Forward(context.Background(), customRequest(1, true)).Verdict, result.Ran)
	is.True(g.pace() > 2.4 && g.pace() < 2.6)
	is.NoErr(g.Announce(Announcement{Target: "t-2", Address: s.address, Slots: 9, Connections: 9}))
	is.Equal(g.pace(), 1.0)
}
