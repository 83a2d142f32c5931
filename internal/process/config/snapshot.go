package config

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusfork/cactusfork/internal/process/peer"
	"github.com/cactusfork/cactusfork/internal/process/platform"
)

// Snapshot is an immutable set of the published objects in force at one time.
type Snapshot struct {
	objects map[platform.Key]platform.Object
	digest  peer.Digest
	version platform.Version
}

// newSnapshot returns a snapshot that owns objects; the caller must not modify the map afterwards.
func newSnapshot(objects map[platform.Key]platform.Object) *Snapshot {
	s := &Snapshot{objects: objects}
	s.digest.Held = make([]peer.KeyVersion, 0, len(objects))
	for _, o := range objects {
		s.digest.Held = append(s.digest.Held, peer.KeyVersion{Key: o.Key, Version: o.Version})
		s.digest.Hash ^= hashObject(o)
		s.version = max(s.version, o.Version)
	}
	slices.SortFunc(s.digest.Held, func(a, b peer.KeyVersion) int { return cmp.Compare(a.Key, b.Key) })
	return s
}

// hashObject returns a hash of the key and the version of o.
func hashObject(o platform.Object) uint64 {
	var buf [64]byte
	b := append(buf[:0], o.Key...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, uint64(o.Version)))
}

// deleted reports whether o is a tombstone, which has an empty value.
func deleted(o platform.Object) bool { return len(o.Value) == 0 }

// Get returns the object in force for key. It returns false if there is none or it was deleted.
func (s *Snapshot) Get(key platform.Key) (platform.Object, bool) {
	o, ok := s.objects[key]
	return o, ok && !deleted(o)
}

// List returns the objects in force whose key starts with prefix, sorted by key.
func (s *Snapshot) List(prefix platform.Key) []platform.Object {
	var out []platform.Object
	for _, h := range s.digest.Held {
		o := s.objects[h.Key]
		if strings.HasPrefix(string(h.Key), string(prefix)) && !deleted(o) {
			out = append(out, o)
		}
	}
	return out
}

// Version returns the highest version of any object, tombstones included, or 0 if there are no objects.
func (s *Snapshot) Version() platform.Version { return s.version }

// Digest returns the keys and versions of all objects, tombstones included, and a hash over them. The caller must not modify its slice.
func (s *Snapshot) Digest() peer.Digest { return s.digest }

// newer returns the objects, tombstones included, that are missing in held or have an older version there.
func (s *Snapshot) newer(held []peer.KeyVersion) []platform.Object {
	versions := make(map[platform.Key]platform.Version, len(held))
	for _, h := range held {
		versions[h.Key] = h.Version
	}
	var out []platform.Object
	for _, h := range s.digest.Held {
		if h.Version > versions[h.Key] {
			out = append(out, s.objects[h.Key])
		}
	}
	return out
}

// with returns a copy of the snapshot in which objects replace their older versions.
func (s *Snapshot) with(objects []platform.Object) *Snapshot {
	all := maps.Clone(s.objects)
	for _, o := range objects {
		all[o.Key] = o
	}
	return newSnapshot(all)
}
