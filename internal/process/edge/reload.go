package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// reloadOnSignal reads the settings file again on every SIGHUP until ctx ends.
func (d *Daemon) reloadOnSignal(ctx context.Context, file string) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	defer signal.Stop(c)
	for {
		select {
		case <-c:
			d.reload(file)
		case <-ctx.Done():
			return
		}
	}
}

// reload reads and checks the settings file. A running daemon keeps its listeners and its store, so changed addresses take effect at the next start.
func (d *Daemon) reload(file string) {
	set, err := LoadSettings(file)
	if err != nil {
		d.warn("reading settings again failed", err)
		return
	}
	d.log.Info("settings file read again, running daemon unchanged", zap.Any("settings", set))
}
