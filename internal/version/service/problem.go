package service

import (
	"fmt"
	"strings"
)

// Problem is one fault of a service file, told on one line.
type Problem struct {
	File    string
	Line    int // from 1; 0 when the fault has no line
	Section string
	Key     string
	Message string
}

// Error writes file, line, section, key and message on one line.
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

// Problems are all faults of a service file, in the order of its lines.
type Problems []Problem

// Error writes one line for each fault.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}
