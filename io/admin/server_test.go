package admin

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/io/keys"
)

// TestDrain guards against a drain that interrupts a request in flight or that does
// not wait for it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := &fakeControl{entered: make(chan struct{}), release: make(chan struct{}), out: Outcome{State: Accepted}}
	directory := t.TempDir()
	_, err := keys.CreateFleet(directory, []ident.NodeID{"a1"})
	is.NoErr(err)
	identity, err := keys.LoadIdentity(directory, "a1")
	is.NoErr(err)
	o := &OperatorServer{
		Listen: "127.0.0.1:0", Certificate: identity.Certificate, Credential: ident.Sum([]byte(token)), Control: f, Source: f,
	}
	is.NoErr(o.Open())
	ran, answered := make(chan error, 1), make(chan int, 1)
	go func() { ran <- o.Run(context.Background()) }()
	go func() {
		code, _ := do(t, "POST", "https://"+o.Address()+"/edits", "Bearer "+token, editText(""))
		answered <- code
	}()
	<-f.entered
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(o.Drain(ended), context.Canceled)) // it waits for the request in flight
	is.NoErr(<-ran)
	close(f.release)
	is.Equal(<-answered, 200)
}

// TestRunEndsAtOnce guards against a server that keeps running if its context ends
// before it serves the listener.
func TestRunEndsAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		s := &TargetServer{Listen: "127.0.0.1:0", Control: &fakeControl{}}
		is.New(t).NoErr(s.Open())
		is.New(t).NoErr(s.Run(ctx))
	}
}

// FuzzDecodeEdit guards against a panic and against an accepted edit whose
// configuration is invalid.
func FuzzDecodeEdit(f *testing.F) {
	f.Add([]byte(editText("")))
	f.Add([]byte(editText(`,"DryRun":true,"Dryrun":{"a":[1,{}]}`)))
	f.Add([]byte(`{"Configuration":{"Rules":{"Routes":[{"TimeoutMillis":1e400}]}}} `))
	f.Fuzz(func(t *testing.T, body []byte) {
		e, err := decodeEdit(body)
		if err == nil && e.Configuration.Validate() != nil {
			t.Fatal("an invalid configuration was accepted")
		}
	})
}

// FuzzDecodeAnnouncement guards against a panic and against a decoded announcement
// that changes when it is encoded and decoded again.
func FuzzDecodeAnnouncement(f *testing.F) {
	f.Add([]byte(`{"Target":"t1","Service":"orders","Address":"127.0.0.1:9","InFlight":2}`))
	f.Add([]byte(`{"Target":"t1","target":"t2"}`))
	f.Add([]byte(`{"Starting":null,"InFlight":-0}[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decode[Announcement](body)
		if err != nil {
			return
		}
		again, _ := json.Marshal(a)
		if b, err := decode[Announcement](again); err != nil || a != b {
			t.Fatalf("%q is decoded as %+v, then as %+v: %v", body, a, b, err)
		}
	})
}
