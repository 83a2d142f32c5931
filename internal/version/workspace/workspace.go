package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

const (
	// MaxKeyBytes is the size of the longest usable key. A key arrives in one field of a message of at most 1 MiB, and usual keys
	// have tens of bytes.
	MaxKeyBytes = 4096
	// fingerprintBytes is how much of a digest a log line shows: enough to find a key's lines, too little to test guesses against.
	fingerprintBytes = 4
)

// ID is the name of a workspace.
type ID string

// Limit bounds the operations of a workspace over all daemons.
type Limit struct {
	// PerSecond is the sustained rate, in operations per second.
	PerSecond float64
	// Burst is how many operations may be run at once beyond that rate.
	Burst float64
}

// Workspace is one workspace of a configuration.
type Workspace struct {
	ID    ID
	Limit Limit
	// Limited is false for a workspace without a limit.
	Limited bool
	// Version is the version of the configuration that names the limit.
	Version uint64
}

// Digest stands for a key. Daemons keep digests in place of keys, and look up digests, so that the time of a look-up says nothing
// about the bytes of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Fingerprint returns the part of the digest that log lines show.
func (d Digest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String returns the digest as text.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the digest that String has written.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	if hex.DecodedLen(len(text)) != len(d) {
		return d, fmt.Errorf("digest of %d characters: %w", len(text), ErrKey)
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return d, fmt.Errorf("%w: %w", ErrKey, err)
	}
	return d, nil
}

// UsableKey reports whether callers can send the text as a key.
func UsableKey(text string) bool { return len(text) <= MaxKeyBytes && isWord(text) }

// Directory holds the workspaces of one configuration and their keys. A nil directory holds none.
type Directory struct {
	byKey map[Digest]*Workspace
	byID  map[ID]*Workspace
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{byKey: make(map[Digest]*Workspace), byID: make(map[ID]*Workspace)}
}

// Errors of Add, to be checked with errors.Is. The keys that they do not concern are usable.
var (
	// ErrName means that a workspace has an unusable name, or one that another workspace has already.
	ErrName = errors.New("name of a workspace cannot be used")
	// ErrKey means that a key is empty, too long or not one word.
	ErrKey = errors.New("key of a workspace cannot be used")
	// ErrSharedKey means that two workspaces have the same key. Neither gets it, as either might be meant.
	ErrSharedKey = errors.New("two workspaces have the same key")
)

// Add adds a workspace and its keys, and returns the errors of what it leaves out.
func (d *Directory) Add(w *Workspace, keys []string) []error {
	if err := d.addWorkspace(w); err != nil {
		return []error{err}
	}
	var errs []error
	for _, key := range keys {
		if !UsableKey(key) {
			errs = append(errs, fmt.Errorf("workspace %s, key of %d bytes: %w", w.ID, len(key), ErrKey))
			continue
		}
		if err := d.addDigest(w, DigestOf(key)); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// AddDigests is Add with the digests of the keys.
func (d *Directory) AddDigests(w *Workspace, digests []Digest) []error {
	if err := d.addWorkspace(w); err != nil {
		return []error{err}
	}
	var errs []error
	for _, digest := range digests {
		if err := d.addDigest(w, digest); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

func (d *Directory) addWorkspace(w *Workspace) error {
	if !isWord(string(w.ID)) || d.byID[w.ID] != nil {
		return fmt.Errorf("workspace %.64q: %w", w.ID, ErrName)
	}
	d.byID[w.ID] = w
	return nil
}

func (d *Directory) addDigest(w *Workspace, digest Digest) error {
	other, exists := d.byKey[digest]
	switch {
	case !exists:
		d.byKey[digest] = w
	case other != w:
		// The nil entry keeps later workspaces from getting the key.
		d.byKey[digest] = nil
		return fmt.Errorf("workspace %s, key %s: %w", w.ID, digest.Fingerprint(), ErrSharedKey)
	}
	return nil
}

// isWord reports whether the text can be one field of a message.
func isWord(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) })
}

// Find returns the workspace that holds the key, or nil.
func (d *Directory) Find(digest Digest) *Workspace {
	if d == nil {
		return nil
	}
	return d.byKey[digest]
}

// Get returns the workspace with the ID, or nil.
func (d *Directory) Get(id ID) *Workspace {
	if d == nil {
		return nil
	}
	return d.byID[id]
}

// All returns the workspaces by ID. The caller must not change the map.
func (d *Directory) All() map[ID]*Workspace {
	if d == nil {
		return nil
	}
	return d.byID
}

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.All()) }

// Keys returns the number of keys.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return len(d.byKey)
}
