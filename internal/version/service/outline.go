package service

import (
	"fmt"
	"strings"
)

// fileIndex holds the line of each section and key of a file, and the lines that pass the syntax check.
// It exists because the ini library reports neither line numbers nor duplicate keys.
type fileIndex struct {
	file       string
	sections   []string
	lines      map[location]int
	reported   map[location]bool // keys with a value that is already reported
	validLines []string
	problems   Problems
}

// location identifies a section, or a key within a section.
type location struct{ section, key string }

const valueChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-+"

func newFileIndex(file, text string) *fileIndex {
	idx := &fileIndex{file: file, lines: map[location]int{}, reported: map[location]bool{}}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		section = idx.addLine(section, strings.TrimSpace(line), i+1)
	}
	return idx
}

// addLine indexes one line and returns the section that the next line belongs to.
func (idx *fileIndex) addLine(section, line string, number int) string {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
	case line[0] == '[':
		return idx.addSection(section, line, number)
	default:
		idx.addKey(section, line, number)
	}
	return section
}

func (idx *fileIndex) addSection(previous, line string, n int) string {
	name, ok := strings.CutSuffix(line[1:], "]")
	if !ok {
		idx.report(n, "", "", fmt.Sprintf("section %s does not end with ]", quote(line)))
		return previous
	}
	if !idx.register(location{section: name}, n, "section") {
		return name
	}
	idx.sections = append(idx.sections, name)
	idx.validLines = append(idx.validLines, "["+name+"]")
	return name
}

func (idx *fileIndex) addKey(section, line string, n int) {
	key, value, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found || key == "" {
		idx.report(n, section, "", fmt.Sprintf("%s is no section, key = value or comment", quote(line)))
		return
	}
	if section == "" {
		idx.report(n, "", key, "stands before the first section")
		return
	}
	if i := strings.IndexAny(value, "#;"); i >= 0 {
		value = value[:i]
	}
	value = strings.TrimSpace(value)
	if !idx.register(location{section, key}, n, "key") {
		return
	}
	if invalid := strings.Trim(value, valueChars); invalid != "" {
		idx.reported[location{section, key}] = true
		idx.report(n, section, key, fmt.Sprintf("value %s has characters other than letters, digits and . _ - +", quote(value)))
		return
	}
	idx.validLines = append(idx.validLines, key+" = "+value)
}

// register stores the line of loc; it reports a duplicate and returns false if loc is already known.
func (idx *fileIndex) register(loc location, n int, kind string) bool {
	if firstLine, duplicate := idx.lines[loc]; duplicate {
		idx.report(n, loc.section, loc.key, fmt.Sprintf("%s given twice, first on line %d", kind, firstLine))
		return false
	}
	idx.lines[loc] = n
	return true
}

func (idx *fileIndex) report(line int, section, key, message string) {
	idx.problems = append(idx.problems, Problem{File: idx.file, Line: line, Section: section, Key: key, Message: message})
}

// reportAt reports a problem at the line of the key, or of its section if the key is not in the file.
// It does nothing if the value of the key is already reported.
func (idx *fileIndex) reportAt(section, key, message string) {
	if idx.reported[location{section, key}] {
		return
	}
	line, ok := idx.lines[location{section, key}]
	if !ok {
		line = idx.lines[location{section: section}]
	}
	idx.report(line, section, key, message)
}

// quote quotes text from the file and truncates it to 60 bytes, so that a problem stays one short line.
func quote(text string) string {
	const maxLen = 60
	if len(text) > maxLen {
		return fmt.Sprintf("%q...", text[:maxLen])
	}
	return fmt.Sprintf("%q", text)
}
