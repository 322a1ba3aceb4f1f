package admin

import (
	"context"
	"crypto/x509"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/keys"
)

// client starts an OperatorServer on f and returns a client for it.
func client(t *testing.T, f *fakeControl) *Client {
	t.Helper()
	directory := t.TempDir()
	if _, err := keys.CreateFleet(directory, []ident.NodeID{"a1"}); err != nil {
		t.Fatal(err)
	}
	identity, err := keys.LoadIdentity(directory, "a1")
	if err != nil {
		t.Fatal(err)
	}
	o := &OperatorServer{
		Listen: "127.0.0.1:0", Certificate: identity.Certificate, Credential: ident.Sum([]byte(token)), Control: f, Source: f,
	}
	c := &Client{URL: "https://" + start(t, o), Token: token, Authority: identity.Authority}
	t.Cleanup(func() { c.once.Do(c.connect); c.client.CloseIdleConnections() })
	return c
}

// TestClientOutcomes guards against an outcome, a fault or a verdict that is changed
// between the EditControl and the client.
func TestClientOutcomes(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{}
	c := client(t, f)
	ctx := context.Background()
	e := Edit{EditID: NewEditID(), Base: 2, Operator: "ann", ReleaseMillis: 5, Configuration: configuration()}
	f.out = Outcome{EditID: e.EditID, State: Refused, Clashes: []string{"Service/orders/Slots"}}
	out, err := c.Submit(ctx, e)
	is.NoErr(err)
	is.Equal(out, f.out)
	is.Equal(f.edits[0], e)
	for _, verdict := range []result.Verdict{result.NotRun, result.MayHaveRun} {
		f.err = result.NewError(verdict, "platform is down", nil)
		_, err = c.Submit(ctx, e)
		is.Equal(result.Of(err), verdict)
	}
	e.Configuration.Inventory.Services = nil
	_, err = c.Submit(ctx, e)
	var faults model.Faults
	is.True(errors.As(err, &faults))
	is.Equal(faults[0].Field, "Route/place/Service")
	r, err := c.Configuration(ctx)
	is.NoErr(err)
	is.NoErr(r.Check())
	_, err = c.Status(ctx)
	is.NoErr(err)
	nodes, err := c.Fleet(ctx)
	is.NoErr(err)
	is.Equal(nodes[0].Held, ident.Version(7))
}

// TestClientTrust guards against a client that sends the credential to a server
// of another authority, and against a wrong credential that is accepted.
func TestClientTrust(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{out: Outcome{State: Accepted}}
	c := client(t, f)
	e := Edit{EditID: "e1", Operator: "ann", Configuration: configuration()}
	wrong := &Client{URL: c.URL, Token: "wrong", Authority: c.Authority}
	_, err := wrong.Submit(context.Background(), e)
	is.True(errors.Is(err, ErrUnauthorized))
	otherAuthority := &Client{URL: c.URL, Token: token, Authority: x509.NewCertPool()}
	_, err = otherAuthority.Submit(context.Background(), e)
	is.Equal(result.Of(err), result.NotRun)
	is.Equal(len(f.calls), 0)
}

// TestClientVerdicts guards against a lost response that is reported as NotRun.
func TestClientVerdicts(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{entered: make(chan struct{}), release: make(chan struct{})}
	c := client(t, f)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-f.entered; cancel() }()
	_, err := c.Submit(ctx, Edit{EditID: "e1", Operator: "ann", Configuration: configuration()})
	close(f.release)                            // if closed earlier, the response could arrive before the cancellation
	is.Equal(result.Of(err), result.MayHaveRun) // the EditControl already has the edit

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	closed := &Client{URL: "https://" + l.Addr().String(), Authority: c.Authority}
	_, err = closed.Submit(context.Background(), Edit{EditID: "e1", Operator: "ann", Configuration: configuration()})
	is.Equal(result.Of(err), result.NotRun)
}

// TestFailureVerdicts guards against an answer without the status of a failure, which no node
// sends, that is reported as NotRun.
func TestFailureVerdicts(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{0, 99, 199, 204, 302, 399, 500, 503, 599, 600, 999} {
		is.Equal(result.Of(failureOf(status, nil)), result.MayHaveRun)
	}
	for _, status := range []int{0, 99, 204, 600} {
		is.Equal(result.Of(failureOf(status, []byte(`{"Error":"e","Verdict":"NotRun"}`))), result.MayHaveRun)
	}
	for _, status := range []int{400, 401, 404, 413, 429} {
		is.Equal(result.Of(failureOf(status, nil)), result.NotRun)
	}
	is.Equal(result.Of(failureOf(503, []byte(`{"Error":"e","Verdict":"NotRun"}`))), result.NotRun)
}
