package link

import (
	"crypto/sha256"
	"io"
	"maps"
	"slices"
)

// Values are the session values that a caller has set. The zero value holds none.
type Values struct {
	byName map[string]string
	// key is the same for equal values: a digest of them, so that it takes no memory in proportion to them.
	key string
	// size is the length of all names and values.
	size int
}

// Len returns the number of names with a value.
func (v *Values) Len() int { return len(v.byName) }

// Set sets the value of a name.
func (v *Values) Set(name, value string) {
	if v.byName == nil {
		v.byName = make(map[string]string)
	}
	v.byName[name] = value
	v.size = 0
	h := sha256.New()
	for _, n := range slices.Sorted(maps.Keys(v.byName)) {
		for _, text := range []string{n, "\x00", v.byName[n], "\x00"} {
			_, _ = io.WriteString(h, text) // a hash does not fail
			v.size += len(text)
		}
	}
	v.key = string(h.Sum(nil))
}

// commands returns the commands that turn the values in force on a connection into v. The second result is true if they
// include a Reset, which also drops the prepared statements.
func (v *Values) commands(current *Values) ([]Command, bool) {
	if v.key == current.key {
		return nil, false
	}
	var list []Command
	reset := false
	for n := range current.byName {
		if _, ok := v.byName[n]; !ok {
			reset = true
		}
	}
	if reset {
		list = append(list, Command{Kind: Reset})
	}
	for _, n := range slices.Sorted(maps.Keys(v.byName)) {
		if old, ok := current.byName[n]; reset || !ok || old != v.byName[n] {
			list = append(list, Command{Kind: Set, Name: n, Text: v.byName[n]})
		}
	}
	return list, reset
}

func (v *Values) clone() Values {
	return Values{byName: maps.Clone(v.byName), key: v.key, size: v.size}
}
