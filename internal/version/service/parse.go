package service

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/cactusfork/cactusfork/internal/version/group"
)

// MaxFileBytes is the maximum size of a service file, in bytes.
const MaxFileBytes = 64 << 10

const serviceSection = "service"

// serviceFields holds the values of the section [service] as strings.
type serviceFields struct {
	Name  string `ini:"name"`
	Group string `ini:"group"`
}

// requestFields holds the values of a section [request "name"] as strings.
type requestFields struct {
	Kind          string `ini:"kind"`
	MaxAge        string `ini:"max-age"`
	NonIdempotent string `ini:"non-idempotent" default:"false"`
	Weight        string `ini:"weight" default:"1"`
}

// Parse parses and validates a service file; file is the name shown in errors.
// The error is of type Problems and lists every problem of the file.
func Parse(file string, data []byte) (*Service, error) {
	if len(data) > MaxFileBytes {
		return nil, Problems{{File: file, Message: fmt.Sprintf("%d bytes long, at most %d allowed", len(data), MaxFileBytes)}}
	}
	idx := newFileIndex(file, string(data))
	f, err := loadINI(idx)
	if err != nil {
		return nil, Problems{{File: file, Message: err.Error()}}
	}
	s := parseSections(idx, f)
	if len(idx.problems) > 0 {
		sort.SliceStable(idx.problems, func(i, j int) bool { return idx.problems[i].Line < idx.problems[j].Line })
		return nil, idx.problems
	}
	return s, nil
}

func loadINI(idx *fileIndex) (*ini.File, error) {
	opts := ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: true,
		KeyValueDelimiters:  "=",
		// Request names contain dots, which must not make one section inherit from another.
		ChildSectionDelimiter: "\x00",
	}
	f, err := ini.LoadSources(opts, []byte(strings.Join(idx.validLines, "\n")))
	if err != nil {
		return nil, fmt.Errorf("not an ini file: %w", err)
	}
	return f, nil
}

func parseSections(idx *fileIndex, f *ini.File) *Service {
	s := &Service{Requests: map[RequestName]Request{}}
	for _, section := range idx.sections {
		if section == serviceSection {
			parseService(idx, f, s)
			continue
		}
		if name, ok := requestName(section); ok {
			parseRequest(idx, f, s, section, name)
			continue
		}
		idx.reportAt(section, "", "unknown section, want [service] or [request \"name\"]")
	}
	if !slices.Contains(idx.sections, serviceSection) {
		idx.report(0, serviceSection, "", "section is missing")
	}
	return s
}

func requestName(section string) (RequestName, bool) {
	name, ok := strings.CutPrefix(section, `request "`)
	if !ok {
		return "", false
	}
	name, ok = strings.CutSuffix(name, `"`)
	return RequestName(name), ok
}

func parseService(idx *fileIndex, f *ini.File, s *Service) {
	var fields serviceFields
	mapSection(idx, f, serviceSection, &fields)
	if err := checkName(fields.Name); err != nil {
		idx.reportAt(serviceSection, "name", err.Error())
	}
	if err := checkName(fields.Group); err != nil {
		idx.reportAt(serviceSection, "group", err.Error())
	}
	s.Name = Name(fields.Name)
	s.Group = group.ID(fields.Group)
}

func parseRequest(idx *fileIndex, f *ini.File, s *Service, section string, name RequestName) {
	var fields requestFields
	mapSection(idx, f, section, &fields)
	r, problems := fields.toRequest(name)
	for _, p := range problems {
		idx.reportAt(section, p.key, p.message)
	}
	s.Requests[name] = r
}

// mapSection maps a section to the tagged struct that dst points to, with the defaults of its tags, and reports unknown keys.
func mapSection(idx *fileIndex, f *ini.File, section string, dst any) {
	keys := setDefaults(dst)
	for _, key := range f.Section(section).KeyStrings() {
		if !slices.Contains(keys, key) {
			idx.reportAt(section, key, "unknown key, want one of "+strings.Join(keys, ", "))
		}
	}
	if err := f.Section(section).MapTo(dst); err != nil {
		idx.reportAt(section, "", err.Error())
	}
}

// setDefaults sets the fields of dst to their defaults and returns the keys of their tags.
func setDefaults(dst any) []string {
	v := reflect.ValueOf(dst).Elem()
	var keys []string
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		keys = append(keys, tag.Get("ini"))
		v.Field(i).SetString(tag.Get("default"))
	}
	return keys
}
