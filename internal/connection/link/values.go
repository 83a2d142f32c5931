package link

import (
	"maps"
	"slices"
	"strings"
)

// Values are the session values that a caller has set; the zero value has none.
type Values struct {
	all map[string]string
	// mark is equal for equal values.
	mark string
}

// Len is the number of names with a value.
func (v *Values) Len() int { return len(v.all) }

// Set gives value to name.
func (v *Values) Set(name, value string) {
	if v.all == nil {
		v.all = make(map[string]string)
	}
	v.all[name] = value
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(v.all)) {
		b.WriteString(n)
		b.WriteByte(0)
		b.WriteString(v.all[n])
		b.WriteByte(0)
	}
	v.mark = b.String()
}

// commands returns what turns the values in force on a connection into v, and whether its prepared statements are forgotten by that.
func (v *Values) commands(inForce *Values) ([]Command, bool) {
	if v.mark == inForce.mark {
		return nil, false
	}
	var list []Command
	reset := false
	for n := range inForce.all {
		if _, ok := v.all[n]; !ok {
			reset = true
		}
	}
	if reset {
		list = append(list, Command{Kind: Reset})
	}
	for _, n := range slices.Sorted(maps.Keys(v.all)) {
		if old, ok := inForce.all[n]; reset || !ok || old != v.all[n] {
			list = append(list, Command{Kind: Set, Name: n, Text: v.all[n]})
		}
	}
	return list, reset
}

func (v *Values) clone() Values { return Values{all: maps.Clone(v.all), mark: v.mark} }
