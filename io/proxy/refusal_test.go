package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/report"
	"hickoryrail/core/result"
)

// turnTarget is a target whose answer depends on the connection and on the turn of the
// request there, both counted from 0.
type turnTarget struct {
	address string

	mu sync.Mutex
	// turns holds the connection and the turn of each request, as "connection/turn".
	turns []string
}

// thenClose, at the end of an answer, closes the connection.
const thenClose = "(close)"

// newTurnTarget starts a target that writes answer for each request, with the request's
// id in place of %s.
func newTurnTarget(t *testing.T, answer func(connection, turn int) string) *turnTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &turnTarget{address: l.Addr().String()}
	go func() {
		for connection := 0; ; connection++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, connection, answer)
		}
	}()
	return s
}

// serve answers the requests of one connection.
func (s *turnTarget) serve(c net.Conn, connection int, answer func(connection, turn int) string) {
	defer c.Close()
	b := bufio.NewReader(c)
	for turn := 0; ; turn++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.turns = append(s.turns, fmt.Sprintf("%d/%d", connection, turn))
		s.mu.Unlock()
		text, closes := strings.CutSuffix(answer(connection, turn), thenClose)
		if _, err := c.Write([]byte(strings.ReplaceAll(text, "%s", r.Header.Get("Call")))); err != nil || closes {
			return
		}
	}
}

// seen returns the turns so far.
func (s *turnTarget) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.turns)
}

// gateway returns a gateway in front of the target.
func (s *turnTarget) gateway(t *testing.T) *Gateway {
	t.Helper()
	g := &Gateway{Self: "node", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	if err := g.Open(); err != nil {
		t.Fatal(err)
	}
	if err := g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}); err != nil {
		t.Fatal(err)
	}
	return g
}

// answerOK is a target's whole answer to the request.
const answerOK = "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok"

// TestRefusalOfEarlierRequest guards against a refusal that a target writes once more on
// a kept connection and that is believed for the request which runs there: its caller
// would be told that it can be sent again.
func TestRefusalOfEarlierRequest(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Other", "400 Bad"} {
		for name, c := range map[string]struct {
			fields  string
			verdict result.Verdict
			reason  string
		}{
			"no id":            {"", result.MayHaveRun, reasonUnidentified},
			"empty id":         {"Call: \r\n", result.MayHaveRun, reasonUnidentified},
			"blank id":         {"Call:  \t\r\n", result.MayHaveRun, reasonUnidentified},
			"own and earlier":  {"Call: %s\r\nCall: c-1\r\n", result.MayHaveRun, reasonUnidentified},
			"earlier and own":  {"Call: c-1\r\nCall: %s\r\n", result.MayHaveRun, reasonUnidentified},
			"own id twice":     {"Call: %s\r\nCall: %s\r\n", result.MayHaveRun, reasonUnidentified},
			"own id in a list": {"Call: %s, c-1\r\n", result.MayHaveRun, reasonTargetLost},
			"part of own id":   {"Call: c\r\n", result.MayHaveRun, reasonTargetLost},
			"earlier id":       {"Call: c-1\r\n", result.MayHaveRun, reasonTargetLost},
			"own id":           {"Call: %s\r\n", result.NotRun, reasonUnexecuted},
		} {
			t.Run(status+"/"+name, func(t *testing.T) {
				is := is.New(t)
				refusal := "HTTP/1.1 " + status + "\r\nUnrun: 1\r\n" + c.fields + "Content-Length: 0\r\n\r\n"
				s := newTurnTarget(t, func(connection, turn int) string {
					switch {
					case connection > 0 || turn != 1:
						return answerOK
					case c.reason == reasonTargetLost:
						return refusal + thenClose // the request runs, and its answer is lost
					}
					return refusal
				})
				g := s.gateway(t)
				is.Equal(g.Forward(context.Background(), customRequest(1, false)).Verdict, result.Ran)
				resp := g.Forward(context.Background(), customRequest(2, false))
				is.Equal(resp.Verdict, c.verdict)
				is.Equal(resp.Reason, c.reason)
				is.Equal(g.Forward(context.Background(), customRequest(3, false)).Verdict, result.Ran)
				want := []string{"0/0", "0/1", "1/0"} // the connection of an unidentified answer is closed
				if c.verdict == result.NotRun {
					want[2] = "0/2"
				}
				is.Equal(s.seen(), want)
			})
		}
	}
}

// TestRefusalBeforeAnswer guards against a repeated refusal of an earlier request that
// hides the answer to the request which runs.
func TestRefusalBeforeAnswer(t *testing.T) {
	is := is.New(t)
	s := newTurnTarget(t, func(connection, turn int) string {
		if connection == 0 && turn == 1 {
			return "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: c-1\r\nContent-Length: 0\r\n\r\n" + answerOK
		}
		return answerOK
	})
	g := s.gateway(t)
	for n := 1; n < 4; n++ {
		resp := g.Forward(context.Background(), customRequest(n, false))
		is.Equal(resp.Verdict, result.Ran)
		is.Equal(string(resp.Body), "ok")
	}
	is.Equal(s.seen(), []string{"0/0", "0/1", "1/0"})
}

// TestHealthAnswerOnKeptConnection guards against the answer to a health check, which has
// no id of a request, that is passed on as the answer to a request.
func TestHealthAnswerOnKeptConnection(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 503 Draining\r\nInstance-Id: t-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 Busy\r\nInstance-Id: t-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nInstance-Id: t-1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nInstance-Id: t-1\r\nContent-Length: 0\r\n\r\n",
	} {
		is := is.New(t)
		s := newTurnTarget(t, func(connection, turn int) string {
			if connection == 0 && turn == 1 {
				return answer
			}
			return answerOK
		})
		g := s.gateway(t)
		is.Equal(g.Forward(context.Background(), customRequest(1, false)).Verdict, result.Ran)
		is.Equal(g.Forward(context.Background(), customRequest(2, false)).Verdict, result.MayHaveRun) // answer
		is.Equal(g.Forward(context.Background(), customRequest(3, false)).Verdict, result.Ran)
		is.Equal(s.seen(), []string{"0/0", "0/1", "1/0"})
	}
}

// TestAnswerWithoutIDOnKeptConnection guards against a late second answer to an earlier
// request that names no request and is passed on as the answer to the present one. On a
// new connection there is no earlier request.
func TestAnswerWithoutIDOnKeptConnection(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Error", "404 Missing"} {
		is := is.New(t)
		withoutID := "HTTP/1.1 " + status + "\r\nStamp: s\r\nContent-Length: 3\r\n\r\nold"
		s := newTurnTarget(t, func(connection, turn int) string {
			if connection == 0 && turn == 1 || connection == 1 && turn == 0 {
				return withoutID
			}
			return answerOK
		})
		g := s.gateway(t)
		is.Equal(g.Forward(context.Background(), customRequest(1, false)).Verdict, result.Ran)
		resp := g.Forward(context.Background(), customRequest(2, false))
		is.Equal(resp.Verdict, result.MayHaveRun)
		is.Equal(resp.Reason, reasonUnidentified)
		is.Equal(g.Forward(context.Background(), customRequest(3, false)).Verdict, result.Ran)
		is.Equal(s.seen(), []string{"0/0", "0/1", "1/0"})
	}
}

// TestRefusalOfEarlierAttempt guards against the refusal of an earlier attempt, written
// once more, that is believed for a later attempt of the same request: both attempts
// have the request's id.
func TestRefusalOfEarlierAttempt(t *testing.T) {
	is := is.New(t)
	refusal := "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: %s\r\nContent-Length: 0\r\n\r\n"
	s := newTurnTarget(t, func(connection, _ int) string {
		if connection == 0 {
			return refusal
		}
		return answerOK
	})
	g := s.gateway(t)
	for n, want := range []result.Verdict{result.NotRun, result.NotRun, result.Ran} {
		r := customRequest(7, false)
		r.ID = ident.RequestID(fmt.Sprintf("7-%d", n))
		if n == 1 {
			r = customRequest(8, false) // another request may use the connection again
		}
		is.Equal(g.Forward(context.Background(), r).Verdict, want)
	}
	is.Equal(s.seen(), []string{"0/0", "0/1", "1/0"})
}

// TestConnectionOfManyRefusals guards against a connection that is replaced after each
// refusal, and against one whose refused ids are not all remembered.
func TestConnectionOfManyRefusals(t *testing.T) {
	is := is.New(t)
	s := newTurnTarget(t, func(int, int) string {
		return "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: %s\r\nContent-Length: 0\r\n\r\n"
	})
	g := s.gateway(t)
	for n := range 2 * maxRefused {
		is.Equal(g.Forward(context.Background(), customRequest(n, false)).Verdict, result.NotRun)
	}
	seen := s.seen()
	is.Equal(seen[maxRefused-1], fmt.Sprintf("0/%d", maxRefused-1))
	is.Equal(seen[maxRefused], "1/0")
	is.Equal(seen[2*maxRefused-1], fmt.Sprintf("1/%d", maxRefused-1))
}

// TestRequestWithoutID guards against a refusal that is believed although no id tells
// that it belongs to the request and the connection carried earlier ones.
func TestRequestWithoutID(t *testing.T) {
	is := is.New(t)
	s := newTurnTarget(t, func(int, int) string {
		return "HTTP/1.1 400 Bad\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"
	})
	g := s.gateway(t)
	for n, want := range []result.Verdict{result.NotRun, result.MayHaveRun, result.NotRun} {
		r := customRequest(n, false)
		r.Headers = nil
		is.Equal(g.Forward(context.Background(), r).Verdict, want)
	}
	is.Equal(s.seen(), []string{"0/0", "0/1", "1/0"})
}

// TestNoticeOfEarlierAnswer guards against a target that is drained because of what a
// refusal without an id states.
func TestNoticeOfEarlierAnswer(t *testing.T) {
	is := is.New(t)
	s := newTurnTarget(t, func(_, turn int) string {
		if turn == 1 {
			return "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return answerOK
	})
	g := s.gateway(t)
	g.Dialect.Notice = func(header func(string) []byte) report.Notice {
		return report.Notice{Leaving: len(header("Leaving")) > 0}
	}
	g.OnLeaving = func(ident.TargetID) { t.Error("the target is taken for a leaving one") }
	for n := 1; n < 3; n++ {
		g.Forward(context.Background(), customRequest(n, false))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	is.True(!g.leaving)
}
