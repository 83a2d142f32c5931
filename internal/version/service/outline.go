package service

import (
	"fmt"
	"strings"
)

// outline is where each section and key of a file stands, and the lines that are sound.
// The ini library tells neither lines nor doubled keys.
type outline struct {
	file     string
	sections []string
	lines    map[place]int
	dropped  map[place]bool // keys whose value is reported already
	sound    []string
	problems Problems
}

// place is a section, or a key within one.
type place struct{ section, key string }

const plainValue = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-+"

func newOutline(file, text string) *outline {
	o := &outline{file: file, lines: map[place]int{}, dropped: map[place]bool{}}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		section = o.take(section, strings.TrimSpace(line), i+1)
	}
	return o
}

// take notes one line and returns the section that the next one is in.
func (o *outline) take(section, line string, n int) string {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		return o.takeSection(section, line, n)
	default:
		o.takeKey(section, line, n)
	}
	return section
}

func (o *outline) takeSection(last, line string, n int) string {
	name, ok := strings.CutSuffix(line[1:], "]")
	if !ok {
		o.report(n, "", "", fmt.Sprintf("section %s does not end with ]", quote(line)))
		return last
	}
	if !o.place(place{section: name}, n, "section") {
		return name
	}
	o.sections = append(o.sections, name)
	o.sound = append(o.sound, "["+name+"]")
	return name
}

func (o *outline) takeKey(section, line string, n int) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		o.report(n, section, "", fmt.Sprintf("%s is no section, key = value or comment", quote(line)))
		return
	}
	if section == "" {
		o.report(n, "", key, "stands before the first section")
		return
	}
	if i := strings.IndexAny(value, "#;"); i >= 0 {
		value = value[:i]
	}
	value = strings.TrimSpace(value)
	if !o.place(place{section, key}, n, "key") {
		return
	}
	if bad := strings.Trim(value, plainValue); bad != "" {
		o.dropped[place{section, key}] = true
		o.report(n, section, key, fmt.Sprintf("value %s has characters other than letters, digits and . _ - +", quote(value)))
		return
	}
	o.sound = append(o.sound, key+" = "+value)
}

// place notes where p stands and reports a second one.
func (o *outline) place(p place, n int, what string) bool {
	if first, doubled := o.lines[p]; doubled {
		o.report(n, p.section, p.key, fmt.Sprintf("%s given twice, first on line %d", what, first))
		return false
	}
	o.lines[p] = n
	return true
}

func (o *outline) report(n int, section, key, message string) {
	o.problems = append(o.problems, Problem{File: o.file, Line: n, Section: section, Key: key, Message: message})
}

// reportAt reports at the line of the key, or else of its section.
func (o *outline) reportAt(section, key, message string) {
	if o.dropped[place{section, key}] {
		return
	}
	n, ok := o.lines[place{section, key}]
	if !ok {
		n = o.lines[place{section: section}]
	}
	o.report(n, section, key, message)
}

// quote shortens text from the file, so that a problem stays one short line.
func quote(text string) string {
	const most = 60
	if len(text) > most {
		return fmt.Sprintf("%q...", text[:most])
	}
	return fmt.Sprintf("%q", text)
}
