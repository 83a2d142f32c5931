package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/control"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/internal/version/service"
	"github.com/cactusfork/cactusfork/pkg/event"
)

// MaxListedKeys is the largest number of keys listed in one event of the time line.
const MaxListedKeys = 16

// Decoder decodes published objects for the control loop. It decodes each version of an object once.
type Decoder struct {
	log      *zap.Logger
	versions map[platform.Key]platform.Version
	services map[platform.Key]*service.Service
	groups   map[platform.Key]group.Record
}

// NewDecoder returns a decoder without objects. It logs the objects that it fails to decode to log.
func NewDecoder(log *zap.Logger) *Decoder {
	return &Decoder{
		log:      log,
		versions: make(map[platform.Key]platform.Version),
		services: make(map[platform.Key]*service.Service),
		groups:   make(map[platform.Key]group.Record),
	}
}

// followObjects passes each new snapshot of the published objects to the control loop until ctx ends. The daemon is ready after the
// first one.
func (d *Daemon) followObjects(ctx context.Context) {
	dec := NewDecoder(d.deps.Log)
	for {
		changed := d.holder.Changed()
		snap := d.holder.Snapshot()
		if snap.Version() > 0 {
			decoded := dec.DecodeNew(snap)
			d.loop.Publish(ctx, dec.Published(snap))
			d.event(event.Event{Kind: event.Configured, Detail: describe(decoded)})
			d.ready.Store(true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// DecodeNew decodes the objects of snap that are new or have a new version, and returns them. Objects that it fails to decode are
// logged and left out; the last decoded version stays.
func (d *Decoder) DecodeNew(snap *config.Snapshot) []platform.Object {
	var decoded []platform.Object
	for _, o := range append(snap.List(config.Services), snap.List(config.Groups)...) {
		if d.versions[o.Key] == o.Version {
			continue
		}
		if err := d.decode(&o); err != nil {
			d.log.Warn("published object rejected", zap.String("key", string(o.Key)), zap.Error(err))
			continue
		}
		d.versions[o.Key] = o.Version
		decoded = append(decoded, o)
	}
	return decoded
}

func (d *Decoder) decode(o *platform.Object) error {
	if _, ok := cutPrefix(o.Key, config.Services); ok {
		s, err := service.Decode(o.Value)
		if err != nil {
			return fmt.Errorf("decode service: %w", err)
		}
		s.Version = service.Version(o.Version)
		d.services[o.Key] = s
		return nil
	}
	var rec group.Record
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		return fmt.Errorf("decode group: %w", err)
	}
	d.groups[o.Key] = rec
	return nil
}

// Published returns the decoded objects that snap still contains.
func (d *Decoder) Published(snap *config.Snapshot) *control.PublishedObjects {
	p := &control.PublishedObjects{
		Services: make(map[service.Name]*service.Service),
		Groups:   make(map[group.ID]control.VersionedRecord),
	}
	for _, o := range snap.List(config.Services) {
		if s := d.services[o.Key]; s != nil {
			p.Services[s.Name] = s
		}
	}
	for _, o := range snap.List(config.Groups) {
		if rec, ok := d.groups[o.Key]; ok {
			p.Groups[rec.ID] = control.VersionedRecord{Record: rec, Version: d.versions[o.Key]}
		}
	}
	return p
}

// describe formats objects as key@version. It lists the first MaxListedKeys objects and counts the others.
func describe(decoded []platform.Object) string {
	var b strings.Builder
	for i, o := range decoded {
		if i == MaxListedKeys {
			fmt.Fprintf(&b, " and %d more", len(decoded)-MaxListedKeys)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s@%d", o.Key, o.Version)
	}
	return b.String()
}

// cutPrefix returns key without prefix, and whether key starts with prefix.
func cutPrefix(key, prefix platform.Key) (string, bool) {
	return strings.CutPrefix(string(key), string(prefix))
}

// validate returns an error for an object that this daemon cannot put into force.
func validate(o platform.Object) error {
	if name, ok := cutPrefix(o.Key, config.Services); ok {
		s, err := service.Decode(o.Value)
		if err != nil {
			return fmt.Errorf("decode service: %w", err)
		}
		if string(s.Name) != name {
			return fmt.Errorf("service %s under the key of %s", s.Name, name)
		}
		return nil
	}
	var rec group.Record
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		return fmt.Errorf("decode group: %w", err)
	}
	if name, _ := cutPrefix(o.Key, config.Groups); string(rec.ID) != name {
		return fmt.Errorf("group %.64q under the key of %s", rec.ID, name)
	}
	if n := len(rec.Targets); n == 0 || n > maxGroupTargets {
		return fmt.Errorf("group of %d targets, want 1 to %d", n, maxGroupTargets)
	}
	for i := range rec.Targets {
		if err := validateTarget(&rec.Targets[i]); err != nil {
			return fmt.Errorf("target %.64q: %w", rec.Targets[i].ID, err)
		}
	}
	return nil
}

// maxTargetSize bounds the slots and the connections of a target. Larger numbers are no sizes of a target.
const maxTargetSize = 1 << 16

// validateTarget returns an error for a target that cannot be used.
func validateTarget(t *group.Target) error {
	if t.Slots < 0 || t.Slots > maxTargetSize || t.Connections < 0 || t.Connections > maxTargetSize {
		return fmt.Errorf("%d slots and %d connections, want 0 to %d", t.Slots, t.Connections, maxTargetSize)
	}
	if t.Address == "" {
		return nil
	}
	_, port, err := net.SplitHostPort(t.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address %.64q: want a port from 1 to 65535", t.Address)
	}
	return nil
}
