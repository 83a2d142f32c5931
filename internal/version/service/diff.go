package service

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff says in one line each what changed from before to after, either of which may be nil.
func Diff(before, after *Service) []string {
	if before == nil {
		before = &Service{}
	}
	if after == nil {
		after = &Service{}
	}
	var lines []string
	lines = changed(lines, "name", before.Name, after.Name)
	lines = changed(lines, "group", before.Group, after.Group)
	for _, name := range names(before, after) {
		lines = append(lines, diffRequest(before, after, name)...)
	}
	return lines
}

func names(before, after *Service) []RequestName {
	all := slices.Collect(maps.Keys(before.Requests))
	all = slices.AppendSeq(all, maps.Keys(after.Requests))
	slices.Sort(all)
	return slices.Compact(all)
}

func diffRequest(before, after *Service, name RequestName) []string {
	was, had := before.Requests[name]
	is, has := after.Requests[name]
	label := fmt.Sprintf("request %q", name)
	if !had {
		return []string{fmt.Sprintf("%s: added, %s", label, is)}
	}
	if !has {
		return []string{fmt.Sprintf("%s: removed, was %s", label, was)}
	}
	var lines []string
	lines = changed(lines, label+" kind", was.Kind, is.Kind)
	lines = changed(lines, label+" max-age", was.age(), is.age())
	lines = changed(lines, label+" non-idempotent", was.NonIdempotent, is.NonIdempotent)
	return changed(lines, label+" weight", was.Weight, is.Weight)
}

func changed[T comparable](lines []string, label string, was, is T) []string {
	if was == is {
		return lines
	}
	return append(lines, fmt.Sprintf("%s: %s -> %s", label, shown(was), shown(is)))
}

func shown(v any) string {
	text := fmt.Sprint(v)
	if text == "" {
		return "none"
	}
	return text
}

func (r Request) age() string {
	if r.MaxAge == 0 {
		return ""
	}
	return fmt.Sprintf("%dms", r.MaxAge)
}

// String writes the request's settings on one line.
func (r Request) String() string {
	parts := []string{string(r.Kind)}
	if r.MaxAge != 0 {
		parts = append(parts, "max-age "+r.age())
	}
	if r.NonIdempotent {
		parts = append(parts, "non-idempotent")
	}
	parts = append(parts, fmt.Sprintf("weight %d", r.Weight))
	return strings.Join(parts, ", ")
}
