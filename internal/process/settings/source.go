package settings

import (
	"net"
	"reflect"
	"strings"

	"gopkg.in/ini.v1"
)

// location is the line of a key, or of a section header if key is empty.
type location struct {
	section string
	key     string
	line    int
}

// lineIndex holds the line numbers of the sections and keys of a file, as the INI parser does not keep them.
type lineIndex struct {
	file     string
	keys     []location
	sections []location
}

// newLineIndex scans text and rejects duplicate sections and keys.
func newLineIndex(file string, text []byte) (*lineIndex, error) {
	x := &lineIndex{file: file}
	section := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			section = strings.TrimSuffix(line[1:], "]")
			l := location{section: section, line: i + 1}
			if x.contains(x.sections, l) {
				return nil, &Problem{File: file, Line: i + 1, Section: section, Message: "duplicate section"}
			}
			x.sections = append(x.sections, l)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &Problem{File: file, Line: i + 1, Section: section, Message: "want key = value"}
		}
		l := location{section: section, key: strings.TrimSpace(key), line: i + 1}
		if x.contains(x.keys, l) {
			return nil, &Problem{File: file, Line: i + 1, Section: section, Key: l.key, Message: "duplicate key"}
		}
		x.keys = append(x.keys, l)
	}
	return x, nil
}

func (x *lineIndex) contains(locations []location, l location) bool {
	for _, o := range locations {
		if o.section == l.section && o.key == l.key {
			return true
		}
	}
	return false
}

func (x *lineIndex) value(f *ini.File, section, key string) (string, bool) {
	if !x.contains(x.keys, location{section: section, key: key}) {
		return "", false
	}
	return f.Section(section).Key(key).String(), true
}

func (x *lineIndex) problem(section, key, message string) error {
	p := &Problem{File: x.file, Section: section, Key: key, Message: message}
	for _, l := range x.keys {
		if l.section == section && l.key == key {
			p.Line = l.line
		}
	}
	return p
}

// rejectUnknown returns an error for the first section or key that has no field in v.
func (x *lineIndex) rejectUnknown(v reflect.Value) error {
	known := make(map[string]map[string]bool)
	for i := range v.NumField() {
		names := make(map[string]bool)
		t := v.Field(i).Type()
		for j := range t.NumField() {
			names[t.Field(j).Tag.Get("ini")] = true
		}
		known[strings.ToLower(v.Type().Field(i).Name)] = names
	}
	for _, l := range x.sections {
		if known[l.section] == nil {
			return &Problem{File: x.file, Line: l.line, Section: l.section, Message: "unknown section"}
		}
	}
	for _, l := range x.keys {
		if !known[l.section][l.key] {
			return x.problem(l.section, l.key, "unknown key")
		}
	}
	return nil
}

// validate checks the rules that involve more than one key.
func (x *lineIndex) validate(cfg *Settings) error {
	keyOf := make(map[string]string)
	addresses := []struct{ key, address string }{
		{"caller-address", cfg.Daemon.CallerAddress},
		{"peer-address", cfg.Daemon.PeerAddress},
		{"admin-address", cfg.Daemon.AdminAddress},
	}
	for _, a := range addresses {
		if _, port, _ := net.SplitHostPort(a.address); port == "0" {
			continue
		}
		if other := keyOf[a.address]; other != "" {
			return x.problem("daemon", a.key, "address "+a.address+" is already used by "+other)
		}
		keyOf[a.address] = a.key
	}
	if (cfg.Callers.CertificateFile == "") != (cfg.Callers.PrivateKeyFile == "") {
		return x.problem("callers", "certificate-file", "certificate-file and private-key-file must be set together")
	}
	if cfg.Callers.RequireTLS && cfg.Callers.CertificateFile == "" {
		return x.problem("callers", "require-tls", "needs certificate-file and private-key-file")
	}
	if cfg.Callers.Authenticate && cfg.Callers.PasswordsFile == "" {
		return x.problem("callers", "authenticate", "needs passwords-file; set authenticate = false to accept callers without a password")
	}
	return nil
}
