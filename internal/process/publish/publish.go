package publish

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/cactusfork/cactusfork/internal/process/config"
	"github.com/cactusfork/cactusfork/internal/process/platform"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

// Draft is a checked service with what the platform held when it was read.
type Draft struct {
	Service *service.Service
	// From is the version that the operator edited; 0 when there was none.
	From platform.Version
	// read is what the platform held at that version; nil when there was none or it is not known.
	read *service.Service
}

// Result says what became of a draft.
type Result struct {
	Key     platform.Key
	Version platform.Version
	// Unchanged is true when the platform held the same already and nothing was written.
	Unchanged bool
	// Changes are one line each, as service.Diff writes them.
	Changes []string
}

// Conflict tells that another version than the one edited is published; nothing was overwritten.
type Conflict struct {
	Key platform.Key
	// Edited is the version the draft was made from, Published the one that stands.
	Edited    platform.Version
	Published platform.Version
	// Changes are what the published version changed, one line each.
	Changes []string
	// Against is what Changes are told against.
	Against string
}

// Error writes the versions and then one line for each change.
func (c *Conflict) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s was changed by someone else: version %d is published, you edited version %d; nothing was overwritten", c.Key, c.Published, c.Edited)
	fmt.Fprintf(&b, "\n  version %d against %s:", c.Published, c.Against)
	for _, line := range c.Changes {
		b.WriteString("\n    " + line)
	}
	if len(c.Changes) == 0 {
		b.WriteString("\n    no difference")
	}
	b.WriteString("\n  merge these changes into your file and publish it with --if-version ")
	fmt.Fprintf(&b, "%d", c.Published)
	return b.String()
}

// KeyOf returns the platform's key of a service.
func KeyOf(name service.Name) platform.Key { return config.Services + platform.Key(name) }

// Prepare reads what the platform holds of svc; it fails with an error of the store.
func Prepare(ctx context.Context, store *platform.Store, svc *service.Service) (*Draft, error) {
	o, err := get(ctx, store, svc.Name)
	if err != nil {
		return nil, err
	}
	return &Draft{Service: svc, From: o.Version, read: decoded(o)}, nil
}

// EditedFrom states from which version the operator made the draft, in place of the version read.
func (d *Draft) EditedFrom(v platform.Version) {
	if v != d.From {
		d.read = nil
	}
	d.From = v
}

// Publish updates the platform if it still holds the version that d was made from.
//
// It fails with a *Conflict, or with platform.ErrUnavailable when the outcome is unknown.
func (d *Draft) Publish(ctx context.Context, store *platform.Store) (*Result, error) {
	key := KeyOf(d.Service.Name)
	changes := service.Diff(d.read, d.Service)
	if d.read != nil && len(changes) == 0 {
		return d.unchanged(ctx, store)
	}
	value, err := service.Encode(d.Service)
	if err != nil {
		return nil, err
	}
	v, err := platform.PutSettled(ctx, store, key, value, d.From)
	if errors.Is(err, platform.ErrConflict) {
		return nil, d.conflict(ctx, store)
	}
	if err != nil {
		return nil, fmt.Errorf("publish %s: %w", key, err)
	}
	return &Result{Key: key, Version: v, Changes: changes}, nil
}

// unchanged makes sure that what was read still stands.
func (d *Draft) unchanged(ctx context.Context, store *platform.Store) (*Result, error) {
	o, err := get(ctx, store, d.Service.Name)
	if err != nil {
		return nil, err
	}
	if o.Version != d.From {
		return nil, d.against(o)
	}
	return &Result{Key: o.Key, Version: o.Version, Unchanged: true}, nil
}

func (d *Draft) conflict(ctx context.Context, store *platform.Store) error {
	o, err := get(ctx, store, d.Service.Name)
	if err != nil {
		return fmt.Errorf("%s was changed by someone else, read what changed: %w", KeyOf(d.Service.Name), err)
	}
	return d.against(o)
}

func (d *Draft) against(o platform.Object) error {
	c := &Conflict{Key: KeyOf(d.Service.Name), Edited: d.From, Published: o.Version}
	before := d.read
	c.Against = fmt.Sprintf("version %d", d.From)
	if before == nil && d.From != 0 {
		before = d.Service
		c.Against = "your file"
	}
	c.Changes = service.Diff(before, decoded(o))
	return c
}

// get returns the object of a service, one of version 0 when there is none.
func get(ctx context.Context, store *platform.Store, name service.Name) (platform.Object, error) {
	key := KeyOf(name)
	o, err := store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Key: key}, nil
	}
	if err != nil {
		return o, fmt.Errorf("read %s: %w", key, err)
	}
	return o, nil
}

// decoded returns the service that o holds, nil when it holds none.
func decoded(o platform.Object) *service.Service {
	s, err := service.Decode(o.Value)
	if err != nil {
		return nil
	}
	return s
}
