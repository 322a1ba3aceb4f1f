package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"hickoryrail/io/conf"
	"hickoryrail/io/logs"
)

// logBuffer is a buffer that can be read while a logger writes to it.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// waitFor waits up to 5 s for part to occur in the text and reports whether it did.
func (l *logBuffer) waitFor(part string) bool {
	for range 500 {
		l.mu.Lock()
		found := strings.Contains(l.text.String(), part)
		l.mu.Unlock()
		if found {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestHangup guards against a node that ends at a SIGHUP, or that stops because of an
// invalid settings file.
func TestHangup(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.toml")
	base := "Node = \"a\"\nFailureDomain = \"d\"\nRegion = \"r\"\nPlatformURL = \"http://127.0.0.1:1\"\n"
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write(base)
	s, err := conf.Load(path)
	is.NoErr(err)
	out := &logBuffer{}
	stop := reloadOnHangup(context.Background(), path, s, logs.New(out, log.InfoLevel))
	defer stop()
	hangup := func(want string) {
		is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
		is.True(out.waitFor(want))
	}
	hangup("nothing changed")
	write(base + "[Limits]\nQueueLength = 7\n")
	hangup("take effect at the next start")
	write("Node = 7")
	hangup("refused")
}
