package proxy

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
	"hickoryrail/io/wire"
)

// expectNoAnswer checks that an answer of the target is not passed on: neither by its gate,
// nor by an ingress, whose caller gets 502 with nothing of the target in it.
func expectNoAnswer(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	s := newScriptedTarget(t, answer, true)
	resp, _ := s.forward(t, false)
	is.Equal(resp.Verdict, result.MayHaveRun)
	is.Equal(resp.Status, 0)
	is.Equal(len(resp.Headers), 0)
	is.Equal(len(resp.Body), 0)

	g := &Gateway{Self: "ingress", Incarnation: gateIncarnation, Clock: clock.NewSystem(), Dialect: customDialect()}
	is.NoErr(g.Open())
	is.NoErr(g.Announce(Announcement{Target: "t-1", Address: s.address, Slots: 2, Connections: 9}))
	in := newCustomIngress(t, newFleet(t, 4), g)
	got, body, err := send(http.DefaultClient, in, "/order/x", "cartons=3", "Call", "c-9")
	is.NoErr(err)
	is.Equal(got.StatusCode, http.StatusBadGateway)
	is.Equal(got.Header.Get("Stamp"), "")
	is.Equal(body, resp.Reason+"\n")
}

// TestInvalidStatus guards against an answer whose status HTTP does not define and that is
// passed on, as a success or under that status, or is taken for an interim answer.
func TestInvalidStatus(t *testing.T) {
	const fields = "\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok"
	const final = "HTTP/1.1 200 OK" + fields
	for name, answer := range map[string]string{
		"zero":               "HTTP/1.1 000 None" + fields,
		"zero, no phrase":    "HTTP/1.1 000" + fields,
		"zero, HTTP/1.0":     "HTTP/1.0 000 None" + fields,
		"zero, chunks":       "HTTP/1.1 000 None\r\nStamp: s\r\nCall: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"zero, until close":  "HTTP/1.1 000 None\r\nStamp: s\r\nCall: %s\r\n\r\nok",
		"zero after interim": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 None" + fields,
		"one":                "HTTP/1.1 001 None" + fields,
		"below interim":      "HTTP/1.1 099 None\r\nCall: %s\r\n\r\n" + final,
		"zero before final":  "HTTP/1.1 000 None\r\nCall: earlier\r\nContent-Length: 0\r\n\r\n" + final,
		"above failures":     "HTTP/1.1 600 None" + fields,
		"largest":            "HTTP/1.1 999 None" + fields,
		"two digits":         "HTTP/1.1 20 OK" + fields,
		"four digits":        "HTTP/1.1 2000 OK" + fields,
		"sign":               "HTTP/1.1 +20 OK" + fields,
		"letters":            "HTTP/1.1 2OO OK" + fields,
		"missing":            "HTTP/1.1 " + fields,
	} {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}

// TestInvalidFieldName guards against an answer with a field name that holds a blank or a
// control character and that is passed on: with that line, without the lines behind it, or
// with a body whose length is mistaken because of it.
func TestInvalidFieldName(t *testing.T) {
	const blanks = " \t"
	for c := range 256 {
		if c >= ' ' && c != 0x7f && !strings.ContainsRune(blanks, rune(c)) {
			continue
		}
		b := string([]byte{byte(c)})
		for place, name := range map[string]string{
			"first": b + "X-Other", "middle": "X-" + b + "Other", "last": "X-Other" + b, "twice": "X-Other" + b + b, "alone": b,
		} {
			t.Run(fmt.Sprintf("%q %s", b, place), func(t *testing.T) {
				expectNoAnswer(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\n"+name+": 1\r\nContent-Length: 2\r\n\r\nok")
			})
		}
		for place, length := range map[string]string{
			"length first": b + "Content-Length", "length middle": "Content" + b + "Length", "length last": "Content-Length" + b,
		} {
			t.Run(fmt.Sprintf("%q %s", b, place), func(t *testing.T) {
				expectNoAnswer(t, "HTTP/1.1 200 OK\r\nCall: %s\r\n"+length+": 2\r\nStamp: s\r\n\r\nok and more")
			})
		}
	}
}

// TestInvalidHead guards against the same in the other lines of a head, and in heads that
// are not the one of the final answer to the request.
func TestInvalidHead(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok"
	for name, answer := range map[string]string{
		"first line":         "HTTP/1.1 200 OK\r\n Stamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"chunks":             "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"failure":            "HTTP/1.1 500 No\r\nStamp: s\r\nCall: %s\r\nX Other: 1\r\nContent-Length: 2\r\n\r\nno",
		"refusal":            "HTTP/1.1 503 Busy\r\nUnrun: 1\r\nCall: %s\r\nX Other: 1\r\nContent-Length: 0\r\n\r\n",
		"interim":            "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n" + final,
		"other request":      "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: earlier\r\nContent-Length : 0\r\n\r\n" + final,
		"empty name":         "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
		"no colon":           "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nX-Other\r\nContent-Length: 2\r\n\r\nok",
		"folded value":       "HTTP/1.1 200 OK\r\nStamp: s\r\n more\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"folded field":       "HTTP/1.1 200 OK\r\nStamp: s\r\n\tX-Other: 1\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"line feeds":         "HTTP/1.1 200 OK\nStamp: s\nCall: %s\nContent-Length: 2\n\nok",
		"one line feed":      "HTTP/1.1 200 OK\r\nStamp: s\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"empty line of feed": "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\n\nContent-Length: 2\r\n\r\nok",
		"control in phrase":  "HTTP/1.1 200 O\x00K\r\nStamp: s\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"control in value":   "HTTP/1.1 200 OK\r\nStamp: s\x00\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
		"delete in value":    "HTTP/1.1 200 OK\r\nStamp: s\x7f\r\nCall: %s\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}

// TestInvalidVersion guards against an answer of a version in which its body has another end
// than in HTTP/1.1, so that the caller gets the delimiters of its chunks as its body.
func TestInvalidVersion(t *testing.T) {
	const fields = " 200 OK\r\nStamp: s\r\nCall: %s\r\n"
	const inChunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for name, answer := range map[string]string{
		"chunks in HTTP/1.0":            "HTTP/1.0" + fields + inChunks,
		"chunks and length in HTTP/1.0": "HTTP/1.0" + fields + "Content-Length: 2\r\n" + inChunks,
		"lower case in HTTP/1.0":        "HTTP/1.0" + fields + strings.ToLower(inChunks),
		"chunks in HTTP/1.2":            "HTTP/1.2" + fields + inChunks,
		"chunks in HTTP/2.0":            "HTTP/2.0" + fields + inChunks,
		"HTTP/0.9":                      "HTTP/0.9" + fields + "Content-Length: 2\r\n\r\nok",
		"HTTP/2.0":                      "HTTP/2.0" + fields + "Content-Length: 2\r\n\r\nok",
		"two digits":                    "HTTP/1.10" + fields + "Content-Length: 2\r\n\r\nok",
		"lower case":                    "http/1.1" + fields + "Content-Length: 2\r\n\r\nok",
		"none":                          "HTTP/" + fields + "Content-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) { expectNoAnswer(t, answer) })
	}
}

// TestUnsignedByConnection guards against a success that the caller gets without the target's
// signature, because the answer lists the signature's field among those of the connection.
func TestUnsignedByConnection(t *testing.T) {
	for _, list := range []string{"Stamp", "stamp", "keep-alive, Stamp", "Stamp\r\nConnection: keep-alive"} {
		t.Run(list, func(t *testing.T) {
			expectNoAnswer(t, "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nConnection: "+list+"\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// TestTrailerIsNotPassedOn guards against a field behind the chunks of an answer, malformed or
// not, that is passed on as one of its head or changes the body.
func TestTrailerIsNotPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nStamp: s\r\nCall: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, line := range []string{"X-Other: 1", "X Other: 1", "X-Other : 1", "X\x01: 1", "\nX: 1", " X: 1", ": 1", "X", "Stamp: 2", "Content-Length: 1"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			resp, _ := newScriptedTarget(t, head+line+"\r\n\r\n", true).forward(t, false)
			if resp.Verdict == result.MayHaveRun {
				is.Equal(resp.Headers, nil)
				return // refused
			}
			is.Equal(resp.Verdict, result.Ran)
			is.Equal(string(resp.Body), "ok")
			is.Equal(resp.Headers.Get("X-Other"), nil)
			is.Equal(resp.Headers.Get("X Other"), nil)
			is.Equal(string(resp.Headers.Get("Stamp")), "s")
		})
	}
}

// TestInvalidAnswerOfGate guards against an answer with an invalid status or field that an
// ingress gets from a gate of another build and passes on.
func TestInvalidAnswerOfGate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t))
	in := newIngress(t, f)
	for _, c := range []struct {
		status  int
		headers wire.Headers
	}{
		{0, nil},
		{99, nil},
		{http.StatusContinue, nil},
		{199, nil},
		{600, nil},
		{999, nil},
		{1000, nil},
		{http.StatusOK, wire.Headers("X Other:1\n")},
		{http.StatusOK, wire.Headers("\tX:1\n")},
		{http.StatusOK, wire.Headers("X:1\x00\n")},
		{http.StatusOK, wire.Headers("\n")},
	} {
		answer := encode(wire.Answer{Response: &wire.Response{Verdict: result.Ran, Status: c.status, Headers: c.headers, Body: []byte("ok")}})
		f.intercept = func(context.Context, *Gateway, []byte) ([]byte, error) { return answer, nil }
		f.interceptFresh = f.intercept // the gate answers a void with the kept answer
		resp, body, err := send(http.DefaultClient, in, "/order/x", "cartons=3")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(headerVerdict), result.MayHaveRun.String())
		is.Equal(body, reasonMalformed+"\n")
	}
}
