package plat_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/clock"
	"hickoryrail/core/result"
	"hickoryrail/io/plat"
	"hickoryrail/io/stub"
)

// startStub starts a stub server and returns it with a client.
func startStub(t *testing.T, timeout clock.Millis) (*stub.Server, *plat.Client) {
	t.Helper()
	s := &stub.Server{Listen: "127.0.0.1:0"}
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, &plat.Client{URL: "http://" + s.Address(), TimeoutMillis: timeout}
}

// TestClientRows guards against a write that ignores its condition and against
// a revision that is used twice.
func TestClientRows(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := startStub(t, 0)

	row, err := c.ReadRow(ctx, "Key/a b/?&=")
	is.NoErr(err)
	is.Equal(row, plat.Row{Key: "Key/a b/?&="}) // absent

	first, err := c.WriteRow(ctx, "Key/a b/?&=", []byte(`{"A":1}`), 0)
	is.NoErr(err)
	_, err = c.WriteRow(ctx, "Key/a b/?&=", []byte(`{"A":2}`), 0)
	is.True(errors.Is(err, plat.ErrConflict))
	is.Equal(result.Of(err), result.NotRun)

	row, err = c.ReadRow(ctx, "Key/a b/?&=")
	is.NoErr(err)
	is.Equal(string(row.Value), `{"A":1}`)
	is.Equal(row.Revision, first.Revision)

	deleted, err := c.WriteRow(ctx, "Key/a b/?&=", nil, first.Revision)
	is.NoErr(err)
	is.Equal(deleted.Revision, plat.Row{}.Revision)
	again, err := c.WriteRow(ctx, "Key/a b/?&=", []byte(`{}`), 0)
	is.NoErr(err)
	is.True(again.Revision > first.Revision)

	_, err = c.WriteRow(ctx, "Key/c", []byte(`{}`), 0)
	is.NoErr(err)
	rows, err := c.ListRows(ctx, "Key/")
	is.NoErr(err)
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Key, "Key/a b/?&=")
	is.Equal(string(rows[0].Value), "{}")
	rows, err = c.ListRows(ctx, "None/")
	is.NoErr(err)
	is.Equal(len(rows), 0)
	is.Equal(s.Counts().RowConflicts, uint64(1))
}

// TestClientObjects guards against a missing object that is returned as an empty one.
func TestClientObjects(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := startStub(t, 0)
	_, err := c.GetObject(ctx, "Release/1")
	is.True(errors.Is(err, plat.ErrNotFound))
	body := []byte(strings.Repeat("x", 1<<20))
	is.NoErr(c.PutObject(ctx, "Release/1", body))
	got, err := c.GetObject(ctx, "Release/1")
	is.NoErr(err)
	is.Equal(got, body)
}

// TestClientVerdicts guards against a lost response that is reported as NotRun,
// and against a refused connection that is reported as MayHaveRun.
func TestClientVerdicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := startStub(t, 0)
	_, err := c.ReadRow(ctx, "Warm") // the next calls reuse this connection
	is.NoErr(err)

	s.LoseAnswers(1)
	_, err = c.WriteRow(ctx, "A", []byte("1"), 0)
	is.Equal(result.Of(err), result.MayHaveRun)
	row, err := c.ReadRow(ctx, "A")
	is.NoErr(err)
	is.Equal(string(row.Value), "1") // the write took effect

	s.LoseRequests(1)
	_, err = c.WriteRow(ctx, "B", []byte("1"), 0)
	is.Equal(result.Of(err), result.MayHaveRun)
	row, err = c.ReadRow(ctx, "B")
	is.NoErr(err)
	is.True(row.Revision == 0) // the write had no effect

	s.LoseAnswers(1)
	is.Equal(result.Of(c.PutObject(ctx, "O", []byte("1"))), result.MayHaveRun)

	s.SetDown(true)
	_, err = c.WriteRow(ctx, "A", []byte("2"), row.Revision)
	is.Equal(result.Of(err), result.NotRun)
	_, err = c.ReadRow(ctx, "A")
	is.Equal(result.Of(err), result.NotRun)
	_, err = c.ListRows(ctx, "A")
	is.Equal(result.Of(err), result.NotRun)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	refused := &plat.Client{URL: "http://" + address}
	_, err = refused.WriteRow(ctx, "A", []byte("2"), 0)
	is.Equal(result.Of(err), result.NotRun)
}

// TestClientTimeout guards against a slow write that is reported as NotRun
// although it still takes effect.
func TestClientTimeout(t *testing.T) {
	is := is.New(t)
	s, c := startStub(t, 50)
	s.SetSlow(400)
	_, err := c.WriteRow(context.Background(), "A", []byte("1"), 0)
	is.Equal(result.Of(err), result.MayHaveRun)
	_, err = c.ReadRow(context.Background(), "A")
	is.Equal(result.Of(err), result.NotRun)
}

// TestClientBrokenAnswers guards against a response that violates the protocol but is
// treated as a known outcome.
func TestClientBrokenAnswers(t *testing.T) {
	ctx := context.Background()
	handlers := map[string]http.HandlerFunc{
		"no revision":    func(http.ResponseWriter, *http.Request) {},
		"bad revision":   func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(plat.RevisionHeader, "-1") },
		"zero revision":  func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(plat.RevisionHeader, "0") },
		"internal error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"redirect": func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/row", http.StatusTemporaryRedirect)
		},
		"cut short": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(handler)
			defer server.Close()
			c := &plat.Client{URL: server.URL}
			_, err := c.WriteRow(ctx, "A", []byte("1"), 0)
			is.Equal(result.Of(err), result.MayHaveRun)
			_, err = c.ReadRow(ctx, "A")
			is.Equal(result.Of(err), result.NotRun)
		})
	}
}

// startRaw starts a server that sends answer to each request, and returns its client.
func startRaw(t *testing.T, answer string) *plat.Client {
	t.Helper()
	s := &stub.Raw{Answer: answer}
	if err := s.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return &plat.Client{URL: "http://" + s.Address()}
}

// TestClientMalformedAnswers guards against an answer with a malformed head that is treated
// as a known outcome, or whose body is cut without notice because its length was not read.
func TestClientMalformedAnswers(t *testing.T) {
	ctx := context.Background()
	for name, answer := range map[string]string{
		"status zero":        "HTTP/1.1 000 None\r\nRevision: 7\r\nContent-Length: 2\r\n\r\nok",
		"status below 100":   "HTTP/1.1 099 None\r\nRevision: 7\r\nContent-Length: 2\r\n\r\nok",
		"blank in length":    "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent Length: 9\r\n\r\nok",
		"blank after length": "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length : 9\r\n\r\nok",
		"line feed":          "HTTP/1.1 200 OK\r\nRevision: 7\r\n\nContent-Length: 9\r\n\r\nok",
		"tab in name":        "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length\t: 9\r\n\r\nok",
		"no length":          "HTTP/1.1 200 OK\r\nRevision: 7\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startRaw(t, answer)
			_, err := c.GetObject(ctx, "O")
			is.True(err != nil)
			_, err = c.ReadRow(ctx, "A")
			is.Equal(result.Of(err), result.NotRun)
			_, err = c.WriteRow(ctx, "A", []byte("1"), 0)
			is.Equal(result.Of(err), result.MayHaveRun)
			is.Equal(result.Of(c.PutObject(ctx, "O", []byte("1"))), result.MayHaveRun)
		})
	}
}
