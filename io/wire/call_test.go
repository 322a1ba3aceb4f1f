package wire

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/result"
)

// fuzzLimit bounds the messages that the fuzz targets decode.
const fuzzLimit = 1 << 16

// sampleRequest is a valid request.
func sampleRequest() *Request {
	return &Request{
		ID: "id", Gate: 3, Target: "target", Attempt: 1, Route: "order", RemainingMillis: 100,
		Method: "POST", URI: []byte("/order?a=\xff"), Headers: Headers("X:\xff\n"), Body: []byte("body"),
	}
}

// seedCalls adds valid, invalid and truncated calls and answers to the corpus.
func seedCalls(f *testing.F) {
	for _, m := range []any{
		Call{Request: sampleRequest()},
		Call{Void: &Void{ID: "id", Gate: 3}},
		Call{},
		Answer{Response: &Response{Verdict: result.Ran, Status: 200, Body: []byte("x")}},
		Answer{Response: &Response{Verdict: result.Ran}},
		Answer{Response: &Response{Verdict: result.NotRun, Status: 200}},
		Answer{Voided: &Voided{Verdict: result.NotRun, Reason: "r"}},
	} {
		body, err := Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
		f.Add(body[:len(body)/2])
	}
}

// FuzzDecodeCall guards against a panic, an accepted call that could split an HTTP
// request (a line break or space in a method, URI or header), a result that shares
// memory with its input, and a call that changes when it is encoded again.
func FuzzDecodeCall(f *testing.F) {
	seedCalls(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		input := bytes.Clone(body)
		c, err := DecodeCall(input, fuzzLimit)
		if err != nil {
			return
		}
		first, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		clear(input)
		if second, _ := Encode(c); !bytes.Equal(first, second) {
			t.Fatal("call shares memory with its input")
		}
		again, err := DecodeCall(first, fuzzLimit)
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := Encode(again); !bytes.Equal(first, second) {
			t.Fatal("call changes when it is encoded again")
		}
		if r := c.Request; r != nil {
			if bytes.ContainsAny(r.URI, " \r\n") || bytes.ContainsAny([]byte(r.Method), " \r\n") || r.ID == "" {
				t.Fatalf("request line can be split: %q %q", r.Method, r.URI)
			}
			for name, value := range r.Headers.All() {
				if bytes.ContainsAny(value, "\r\n") || bytes.ContainsAny(name, ": \r\n") {
					t.Fatalf("header can be split: %q %q", name, value)
				}
			}
		}
	})
}

// FuzzDecodeAnswer guards against a panic, a status with a verdict other than Ran or a
// Ran verdict without a status, and a result that shares memory with its input.
func FuzzDecodeAnswer(f *testing.F) {
	seedCalls(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		input := bytes.Clone(body)
		a, err := DecodeAnswer(input, fuzzLimit)
		if err != nil {
			return
		}
		first, err := Encode(a)
		if err != nil {
			t.Fatal(err)
		}
		clear(input)
		if second, _ := Encode(a); !bytes.Equal(first, second) {
			t.Fatal("answer shares memory with its input")
		}
		if r := a.Response; r != nil && (r.Verdict == result.Ran) != (r.Status > 0) {
			t.Fatalf("verdict %v with status %d", r.Verdict, r.Status)
		}
	})
}

// TestCallBounds guards against accepting a call that has both messages or none, has
// a field out of bounds, or could split an HTTP request.
func TestCallBounds(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(c *Call){
		func(c *Call) { c.Request = nil },
		func(c *Call) { c.Void = &Void{ID: "id"} },
		func(c *Call) { c.Request.ID = "" },
		func(c *Call) { c.Request.Attempt = 0 },
		func(c *Call) { c.Request.Class = 3 },
		func(c *Call) { c.Request.RemainingMillis = -1 },
		func(c *Call) { c.Request.Method = "GET /x" },
		func(c *Call) { c.Request.URI = []byte("/a b") },
		func(c *Call) { c.Request.URI = []byte("http://x/") },
		func(c *Call) { c.Request.Headers = Headers("X y:z\n") },
		func(c *Call) { c.Request.Headers = Headers("X:a\r\n") },
		func(c *Call) { c.Request.Headers = Headers("X:a\n\n") },
		func(c *Call) { c.Request.Headers = Headers("X:a") },
		func(c *Call) { c.Request.Headers.Append([]byte("X y"), nil) },
		func(c *Call) { c.Request.Headers.Append([]byte("X"), []byte("a\nY:b")) },
		func(c *Call) { c.Request.Headers = slices.Repeat(c.Request.Headers, MaxCallHeaders+1) },
		func(c *Call) { c.Request.Body = make([]byte, fuzzLimit) },
	} {
		c := Call{Request: sampleRequest()}
		body, err := Encode(c)
		is.NoErr(err)
		_, err = DecodeCall(body, fuzzLimit)
		is.NoErr(err)
		change(&c)
		body, err = Encode(c)
		is.NoErr(err)
		_, err = DecodeCall(body, fuzzLimit)
		is.True(err != nil)
	}
}
