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

// Draft is a validated service that is to be published, with the published version that it is based on.
type Draft struct {
	Service *service.Service
	// From is the version that the operator edited, or 0 if none was published.
	From platform.Version
	// base is the service published as version From. It is nil if none was published or if that version is unknown.
	base *service.Service
}

// Result is the outcome of a successful Publish.
type Result struct {
	Key     platform.Key
	Version platform.Version
	// Unchanged is true if the same service was already published and nothing was written.
	Unchanged bool
	// Changes lists the changes, one per line, in the format of service.Diff.
	Changes []string
}

// Conflict is the error if another version than the edited one is published. Nothing has been written.
type Conflict struct {
	Key platform.Key
	// Edited is the version that the draft is based on, Published the version that is published now.
	Edited    platform.Version
	Published platform.Version
	// Changes lists the differences from Against to the published version, one per line.
	Changes []string
	// Against names the text that the published version is compared with: the edited version, or the operator's file if that version
	// is unknown.
	Against string
}

// Error returns a message of several lines: the versions, the changes, and how to resolve the conflict.
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

// KeyOf returns the key of a service on the platform.
func KeyOf(name service.Name) platform.Key { return config.Services + platform.Key(name) }

// Prepare returns a draft of svc that is based on the version published now. Its errors come from the store.
func Prepare(ctx context.Context, store *platform.Store, svc *service.Service) (*Draft, error) {
	o, err := get(ctx, store, svc.Name)
	if err != nil {
		return nil, err
	}
	return &Draft{Service: svc, From: o.Version, base: decodeService(o)}, nil
}

// EditedFrom sets the version that the operator edited, in place of the version that Prepare read.
func (d *Draft) EditedFrom(v platform.Version) {
	if v != d.From {
		d.base = nil
	}
	d.From = v
}

// Publish writes the service to the platform if the version that d is based on is still published.
//
// It returns a *Conflict if another version is published, and platform.ErrUnavailable if the outcome is unknown.
func (d *Draft) Publish(ctx context.Context, store *platform.Store) (*Result, error) {
	key := KeyOf(d.Service.Name)
	changes := service.Diff(d.base, d.Service)
	if d.base != nil && len(changes) == 0 {
		return d.confirmUnchanged(ctx, store)
	}
	value, err := service.Encode(d.Service)
	if err != nil {
		return nil, err
	}
	v, err := platform.PutWithReadBack(ctx, store, key, value, d.From)
	if errors.Is(err, platform.ErrConflict) {
		return nil, d.conflict(ctx, store)
	}
	if err != nil {
		return nil, fmt.Errorf("publish %s: %w", key, err)
	}
	return &Result{Key: key, Version: v, Changes: changes}, nil
}

// confirmUnchanged returns the result for a draft without changes, or a *Conflict if the version read is no longer published.
func (d *Draft) confirmUnchanged(ctx context.Context, store *platform.Store) (*Result, error) {
	o, err := get(ctx, store, d.Service.Name)
	if err != nil {
		return nil, err
	}
	if o.Version != d.From {
		return nil, d.newConflict(o)
	}
	return &Result{Key: o.Key, Version: o.Version, Unchanged: true}, nil
}

// conflict reads the published version and returns the *Conflict with it.
func (d *Draft) conflict(ctx context.Context, store *platform.Store) error {
	o, err := get(ctx, store, d.Service.Name)
	if err != nil {
		return fmt.Errorf("%s was changed by someone else, read what changed: %w", KeyOf(d.Service.Name), err)
	}
	return d.newConflict(o)
}

// newConflict returns the *Conflict with the published object o.
func (d *Draft) newConflict(o platform.Object) error {
	c := &Conflict{Key: KeyOf(d.Service.Name), Edited: d.From, Published: o.Version}
	before := d.base
	c.Against = fmt.Sprintf("version %d", d.From)
	if before == nil && d.From != 0 {
		before = d.Service
		c.Against = "your file"
	}
	c.Changes = service.Diff(before, decodeService(o))
	return c
}

// get returns the published object of a service, or an object of version 0 if there is none.
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

// decodeService returns the service in o, or nil if o contains no valid service.
func decodeService(o platform.Object) *service.Service {
	s, err := service.Decode(o.Value)
	if err != nil {
		return nil
	}
	return s
}
