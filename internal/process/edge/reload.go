package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// reloadOnSignal reads the settings file anew on every SIGHUP until ctx ends.
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

// reload checks the settings file; what it says of addresses holds from the next start on, since a running daemon keeps its listeners and its store.
func (d *Daemon) reload(file string) {
	set, err := LoadSettings(file)
	if err != nil {
		d.warn("reload settings", err)
		return
	}
	d.log.Info("settings read again", zap.Any("settings", set))
}
