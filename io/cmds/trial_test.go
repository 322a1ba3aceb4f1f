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

func (s *served) note(event string) error { s.events = append(s.events, event); return nil }

func (s *served) Open() error { return s.note("open") }

func (s *served) Address() string { return "127.0.0.1:1" }

func (s *served) Run(ctx context.Context) error {
	<-ctx.Done()
	return s.note("stop")
}

func (s *served) Drain(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.note("drain")
}

// TestTarget guards against a target that stops before its drain.
func TestTarget(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s := &served{}
	is.NoErr(runTarget(ctx, s, io.Discard))
	is.Equal(s.events, []string{"open", "drain", "stop"})
}

// TestKeys guards against keys that replace existing ones or do not load.
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
