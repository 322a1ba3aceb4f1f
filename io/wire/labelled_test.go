package wire

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/canary"
	"hickoryrail/core/ident"
	"hickoryrail/core/member"
)

// labelledMessage returns a probe with a record without a software version and one with it.
func labelledMessage() member.Message {
	return member.Message{Kind: member.Probe, Sequence: 7, Updates: []member.Update{
		{Record: member.Record{Node: "a", Incarnation: 1}},
		{Record: member.Record{Node: "b", Incarnation: 2, Software: "v2"}},
	}}
}

// TestLabelledRecords guards against software versions that are lost, or that change the
// encoding of records without one, and against a probe that builds without software
// versions drop.
func TestLabelledRecords(t *testing.T) {
	is := is.New(t)
	m := labelledMessage()
	plain, notice, ok := m.SplitLabelled()
	is.True(ok)
	is.Equal(plain.Kind, member.Probe)
	is.Equal(notice.Kind, member.Notice)
	is.Equal(len(plain.Updates), 1)
	is.Equal(len(notice.Updates), 1)
	_, _, ok = plain.SplitLabelled()
	is.True(!ok)
	for _, c := range []struct {
		m      member.Message
		header byte
	}{{m, labelledControlHeader}, {notice, labelledControlHeader}, {plain, baseControlHeader}} {
		body, err := EncodeControl(Control{Member: &c.m})
		is.NoErr(err)
		is.Equal(body[0], c.header)
		again, err := DecodeControl(body)
		is.NoErr(err)
		is.Equal(again.Member.Updates, c.m.Updates)
	}
	odd := labelledMember{Message: m, Software: []ident.SoftwareVersion{"v2"}}
	body, err := Encode(labelledControl{Member: odd})
	is.NoErr(err)
	_, err = DecodeControl(body)
	is.True(err != nil)
	m.Updates[0].Record.Software = ident.SoftwareVersion(strings.Repeat("v", maxStringBytes+1))
	_, err = EncodeControl(Control{Member: &m})
	is.True(err != nil)
}

// TestCanaryMessages guards against messages about rollouts with numbers or sizes out of
// range, which would make decisions wrong or use up memory.
func TestCanaryMessages(t *testing.T) {
	is := is.New(t)
	state := canary.State{Order: canary.Order{Service: "lookups", To: "v2", DurationMillis: 16_000, Revision: 3}, Phase: canary.Running, Share: 0.05}
	row := canary.Row{Route: "r", Target: "t", Failed: 1, Delays: canary.Histogram{0, 1}}
	good := canary.Message{
		States:   []canary.State{state},
		Evidence: []canary.Evidence{{Service: "lookups", To: "v2", New: 2, Rows: []canary.Row{row}}},
		Queries:  []ident.ServiceName{"lookups"},
	}
	body, err := EncodeControl(Control{Canary: &good})
	is.NoErr(err)
	again, err := DecodeControl(body)
	is.NoErr(err)
	is.Equal(*again.Canary, good)
	long := strings.Repeat("x", 300)
	for _, change := range []func(m *canary.Message){
		func(m *canary.Message) { m.States = make([]canary.State, 99) },
		func(m *canary.Message) { s := state; s.Share = 2; m.States = []canary.State{s} },
		func(m *canary.Message) { s := state; s.Phase = 9; m.States = []canary.State{s} },
		func(m *canary.Message) { s := state; s.AgeMillis = -1; m.States = []canary.State{s} },
		func(m *canary.Message) { s := state; s.Order.To = ""; m.States = []canary.State{s} },
		func(m *canary.Message) { s := state; s.Address = long; m.States = []canary.State{s} },
		func(m *canary.Message) {
			r := row
			r.Failed = 1 << 30
			m.Evidence = []canary.Evidence{{Service: "a", To: "b", Rows: []canary.Row{r}}}
		},
		func(m *canary.Message) {
			r := row
			r.Delays = make(canary.Histogram, 99)
			m.Evidence = []canary.Evidence{{Service: "a", To: "b", Rows: []canary.Row{r}}}
		},
		func(m *canary.Message) {
			m.Evidence = []canary.Evidence{{Service: "a", To: "b", Rows: make([]canary.Row, 999)}}
		},
		func(m *canary.Message) { m.Queries = []ident.ServiceName{""} },
		func(m *canary.Message) { m.Queries = make([]ident.ServiceName, 99) },
	} {
		m := good
		change(&m)
		_, err := EncodeControl(Control{Canary: &m})
		is.Equal(err, errContent)
	}
}
