package entry

import (
	"context"
	"encoding/json"
	"strings"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// follow puts each state of the published objects into force until ctx ends.
func (d *Daemon) follow(ctx context.Context) {
	for {
		changed := d.holder.Changed()
		snap := d.holder.Snapshot()
		if snap.Version() > 0 {
			d.loop.Publish(ctx, d.published(snap))
			d.event(event.Event{Kind: event.Configured, Detail: held(snap)})
			d.ready.Store(true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) published(snap *config.Snapshot) *control.Published {
	p := &control.Published{
		Services: make(map[service.Name]*service.Service),
		Groups:   make(map[group.ID]control.Versioned),
	}
	for _, o := range snap.List(config.Services) {
		s, err := service.Decode(o.Value)
		if err != nil {
			d.p.Log.Warn("service kept out", zap.String("key", string(o.Key)), zap.Error(err))
			continue
		}
		s.Version = service.Version(o.Version)
		p.Services[s.Name] = s
	}
	for _, o := range snap.List(config.Groups) {
		var rec group.Record
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			d.p.Log.Warn("group kept out", zap.String("key", string(o.Key)), zap.Error(err))
			continue
		}
		p.Groups[rec.ID] = control.Versioned{Record: rec, Version: o.Version}
	}
	return p
}

// held writes the versions in force as key@version, for the time line.
func held(snap *config.Snapshot) string {
	var b strings.Builder
	for i, h := range snap.Digest().Held {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(string(h.Key) + "@" + version(h.Version))
	}
	return b.String()
}

// cut returns what follows prefix in key.
func cut(key, prefix platform.Key) (string, bool) {
	return strings.CutPrefix(string(key), string(prefix))
}
