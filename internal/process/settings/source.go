package settings

import (
	"net"
	"reflect"
	"strings"

	"gopkg.in/ini.v1"
)

// entry is a key of the file with its place.
type entry struct {
	section string
	key     string
	line    int
}

// source knows on which line each key of a file stands.
type source struct {
	file     string
	entries  []entry
	sections []entry
}

// index finds the places of sections and keys, and refuses doubled ones.
func index(file string, text []byte) (*source, error) {
	s := &source{file: file}
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSuffix(line[1:], "]")
			e := entry{section: section, line: i + 1}
			if s.has(s.sections, e) {
				return nil, &Problem{File: file, Line: i + 1, Section: section, Message: "section is given twice"}
			}
			s.sections = append(s.sections, e)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &Problem{File: file, Line: i + 1, Section: section, Message: "want key = value"}
		}
		e := entry{section: section, key: strings.TrimSpace(key), line: i + 1}
		if s.has(s.entries, e) {
			return nil, &Problem{File: file, Line: i + 1, Section: section, Key: e.key, Message: "key is given twice"}
		}
		s.entries = append(s.entries, e)
	}
	return s, nil
}

func (s *source) has(all []entry, e entry) bool {
	for _, o := range all {
		if o.section == e.section && o.key == e.key {
			return true
		}
	}
	return false
}

func (s *source) value(f *ini.File, section, key string) (string, bool) {
	if !s.has(s.entries, entry{section: section, key: key}) {
		return "", false
	}
	return f.Section(section).Key(key).String(), true
}

func (s *source) problem(section, key, message string) error {
	p := &Problem{File: s.file, Section: section, Key: key, Message: message}
	for _, e := range s.entries {
		if e.section == section && e.key == key {
			p.Line = e.line
		}
	}
	return p
}

// unknown refuses keys and sections that no field of v takes.
func (s *source) unknown(v reflect.Value) error {
	known := make(map[string]map[string]bool)
	for i := range v.NumField() {
		keys := make(map[string]bool)
		t := v.Field(i).Type()
		for j := range t.NumField() {
			keys[t.Field(j).Tag.Get("ini")] = true
		}
		known[strings.ToLower(v.Type().Field(i).Name)] = keys
	}
	for _, e := range s.sections {
		if known[e.section] == nil {
			return &Problem{File: s.file, Line: e.line, Section: e.section, Message: "unknown section"}
		}
	}
	for _, e := range s.entries {
		if !known[e.section][e.key] {
			return s.problem(e.section, e.key, "unknown key")
		}
	}
	return nil
}

// whole checks what several keys must agree on.
func (s *source) whole(set *Settings) error {
	seen := make(map[string]string)
	addresses := []struct{ key, address string }{
		{"caller-address", set.Daemon.CallerAddress},
		{"peer-address", set.Daemon.PeerAddress},
		{"admin-address", set.Daemon.AdminAddress},
	}
	for _, a := range addresses {
		if _, port, _ := net.SplitHostPort(a.address); port == "0" {
			continue
		}
		if other := seen[a.address]; other != "" {
			return s.problem("daemon", a.key, "address "+a.address+" is given to "+other+" too")
		}
		seen[a.address] = a.key
	}
	if (set.Callers.Certificate == "") != (set.Callers.PrivateKey == "") {
		return s.problem("callers", "certificate-file", "certificate-file and private-key-file go together")
	}
	if set.Callers.RequireTLS && set.Callers.Certificate == "" {
		return s.problem("callers", "require-tls", "needs certificate-file and private-key-file")
	}
	if set.Callers.Authenticated && set.Callers.Passwords == "" {
		return s.problem("callers", "authenticate", "needs passwords-file; set authenticate = false to take callers without a password")
	}
	return nil
}
