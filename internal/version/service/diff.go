package service

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns the differences between before and after, one line each; either may be nil.
func Diff(before, after *Service) []string {
	if before == nil {
		before = &Service{}
	}
	if after == nil {
		after = &Service{}
	}
	var lines []string
	lines = appendChange(lines, "name", before.Name, after.Name)
	lines = appendChange(lines, "group", before.Group, after.Group)
	for _, name := range requestNames(before, after) {
		lines = append(lines, diffRequest(before, after, name)...)
	}
	return lines
}

func requestNames(before, after *Service) []RequestName {
	all := slices.Collect(maps.Keys(before.Requests))
	all = slices.AppendSeq(all, maps.Keys(after.Requests))
	slices.Sort(all)
	return slices.Compact(all)
}

func diffRequest(before, after *Service, name RequestName) []string {
	old, inBefore := before.Requests[name]
	current, inAfter := after.Requests[name]
	label := fmt.Sprintf("request %q", name)
	if !inBefore {
		return []string{fmt.Sprintf("%s: added, %s", label, current)}
	}
	if !inAfter {
		return []string{fmt.Sprintf("%s: removed, was %s", label, old)}
	}
	var lines []string
	lines = appendChange(lines, label+" kind", old.Kind, current.Kind)
	lines = appendChange(lines, label+" max-age", old.maxAgeText(), current.maxAgeText())
	lines = appendChange(lines, label+" non-idempotent", old.NonIdempotent, current.NonIdempotent)
	return appendChange(lines, label+" weight", old.Weight, current.Weight)
}

func appendChange[T comparable](lines []string, label string, before, after T) []string {
	if before == after {
		return lines
	}
	return append(lines, fmt.Sprintf("%s: %s -> %s", label, displayValue(before), displayValue(after)))
}

func displayValue(v any) string {
	text := fmt.Sprint(v)
	if text == "" {
		return "none"
	}
	return text
}

func (r Request) maxAgeText() string {
	if r.MaxAge == 0 {
		return ""
	}
	return fmt.Sprintf("%dms", r.MaxAge)
}

// String returns the request's settings on one line.
func (r Request) String() string {
	parts := []string{string(r.Kind)}
	if r.MaxAge != 0 {
		parts = append(parts, "max-age "+r.maxAgeText())
	}
	if r.NonIdempotent {
		parts = append(parts, "non-idempotent")
	}
	parts = append(parts, fmt.Sprintf("weight %d", r.Weight))
	return strings.Join(parts, ", ")
}
