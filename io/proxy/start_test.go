package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/core/view"
)

// TestCallsWaitForFirstView guards against a node that refuses calls right after its
// start because its first configuration has not arrived yet, and against calls that
// wait although the start was long ago.
func TestCallsWaitForFirstView(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t))
	in := newIngress(t, f)
	in.view.Store(nil)
	later := time.AfterFunc(100*time.Millisecond, func() { in.SetView(f.view, 1) })
	defer later.Stop()
	resp, _, err := send(http.DefaultClient, in, "/check/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	in.view.Store(nil)
	in.mu.Lock()
	in.openedAt -= startWaitMillis
	in.mu.Unlock()
	began := time.Now()
	resp, _, err = send(http.DefaultClient, in, "/check/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(began) < 100*time.Millisecond)
}

// TestCallsWaitForFirstTargets guards against a node that refuses calls right after
// its start because it knows no target yet, and against calls that wait although the
// start was long ago.
func TestCallsWaitForFirstTargets(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, newFakeTarget(t))
	in := newIngress(t, f)
	in.SetView(view.Build(f.view.Release(), nil), 1)
	later := time.AfterFunc(100*time.Millisecond, func() { in.SetView(f.view, 1) })
	defer later.Stop()
	resp, _, err := send(http.DefaultClient, in, "/check/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	in.SetView(view.Build(f.view.Release(), nil), 1)
	in.mu.Lock()
	in.openedAt -= startWaitMillis
	in.mu.Unlock()
	resp, _, err = send(http.DefaultClient, in, "/check/echo", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
}
