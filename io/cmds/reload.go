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

// reloadOnHangup starts a goroutine that reads the settings file again on each SIGHUP and
// logs the result. A node binds its addresses and sets its names only once, so changes
// take effect at its next start. The returned function stops the goroutine.
func reloadOnHangup(ctx context.Context, path string, s conf.Settings, logger *log.Logger) func() {
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

// reload reads the file and returns its settings, or s if the file is refused.
func reload(path string, s conf.Settings, logger *log.Logger) conf.Settings {
	next, err := conf.Load(path)
	switch {
	case err != nil:
		logger.WithError(err).Error("settings file refused; the node keeps its settings")
		return s
	case reflect.DeepEqual(next, s):
		logger.Info("settings file read again; nothing changed")
	default:
		logger.Warn("settings file changed; the changes take effect at the next start")
	}
	return next
}
