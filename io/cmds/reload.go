package cmds

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"

	"github.com/apex/log"
	"github.com/sourcegraph/conc"

	"hickoryrail/io/conf"
)

// reloads reads the settings file again on each SIGHUP and logs what it found. A
// node binds its addresses and names once, so changes take effect at its next
// start. The returned function ends it.
func reloads(ctx context.Context, path string, s conf.Settings, logger *log.Logger) func() {
	ctx, cancel := context.WithCancel(ctx)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				s = reload(path, s, logger)
			}
		}
	})
	return func() {
		cancel()
		wg.Wait()
		signal.Stop(hangups)
	}
}

// reload reads the file once and returns the settings that were read last.
func reload(path string, s conf.Settings, logger *log.Logger) conf.Settings {
	next, err := conf.Load(path)
	switch {
	case err != nil:
		logger.WithError(err).Error("settings file refused; the node goes on with its settings")
		return s
	case reflect.DeepEqual(next, s):
		logger.Info("settings file read again; nothing changed")
	default:
		logger.Warn("settings file changed; the changes take effect at the next start")
	}
	return next
}
