package service

import (
	"fmt"
	"strings"
)

// Problem is one problem of a service file; its message fits on one line.
type Problem struct {
	File    string
	Line    int // from 1; 0 if the problem has no line
	Section string
	Key     string
	Message string
}

// Error returns file, line, section, key and message on one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems holds all problems of a service file, in the order of its lines.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
