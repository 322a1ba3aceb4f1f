package cmds

import (
	"context"
	"io"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"hickoryrail/core/ident"
	"hickoryrail/io/keys"
)

func (s *fakeTarget) record(event string) error { s.events = append(s.events, event); return nil }

func (s *fakeTarget) Open() error { return s.record("open") }

func (s *fakeTarget) Address() string { return "127.0.0.1:1" }

func (s *fakeTarget) Run(ctx context.Context) error {
	<-ctx.Done()
	return s.record("stop")
}

func (s *fakeTarget) Drain(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.record("drain")
}

// TestTarget guards against a target that stops before it is drained.
func TestTarget(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s := &fakeTarget{}
	is.NoErr(runTarget(ctx, s, io.Discard))
	is.Equal(s.events, []string{"open", "drain", "stop"})
}

// TestKeys guards against keys that replace existing ones or cannot be loaded.
func TestKeys(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "keys")
	for _, c := range []struct {
		line   []string
		status int
	}{
		{[]string{"keys", "-directory", directory, "-nodes", "a1, a2"}, 0},
		{[]string{"keys", "-directory", directory, "-nodes", "a1"}, 1},
		{[]string{"keys", "-directory", directory, "-nodes", "a3", "-add"}, 0},
		{[]string{"keys", "-directory", directory, "-nodes", "a3", "-add"}, 1},
	} {
		status, _, _ := run(c.line...)
		is.Equal(status, c.status)
	}
	for _, n := range []ident.NodeID{"a1", "a2", "a3"} {
		_, err := keys.LoadIdentity(directory, n)
		is.NoErr(err)
	}
}
