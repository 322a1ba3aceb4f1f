package cmds

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryrail/io/conf"
)

// TestRepeatedTermination guards against a node that ends at once, and so loses the
// requests in flight, if SIGTERM is sent again while it stops.
func TestRepeatedTermination(t *testing.T) {
	is := is.New(t)
	self, err := os.FindProcess(os.Getpid())
	is.NoErr(err)
	finished := false
	node := func(ctx context.Context, _ conf.Settings, _ io.Writer) error {
		for range 2 {
			is.NoErr(self.Signal(syscall.SIGTERM))
			<-ctx.Done()
			time.Sleep(50 * time.Millisecond) // the signal is handled meanwhile
		}
		finished = true
		return nil
	}
	path := filepath.Join(t.TempDir(), "node.toml")
	is.NoErr(os.WriteFile(path, []byte("Node = \"a\"\nFailureDomain = \"d\"\nRegion = \"r\"\nPlatformURL = \"http://127.0.0.1:1\"\n"), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(Main([]string{"node", "-config", path}, &stdout, &stderr, Backends{Node: node}), 0)
	is.True(finished)
}
