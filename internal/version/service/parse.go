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

// MaxFileBytes is the longest service file that Parse reads, in bytes.
const MaxFileBytes = 64 << 10

const serviceSection = "service"

// head is the section [service] as it stands in the file.
type head struct {
	Name  string `ini:"name"`
	Group string `ini:"group"`
}

// body is a section [request "name"] as it stands in the file.
type body struct {
	Kind          string `ini:"kind"`
	MaxAge        string `ini:"max-age"`
	NonIdempotent string `ini:"non-idempotent" default:"false"`
	Weight        string `ini:"weight" default:"1"`
}

// Parse reads and checks the service file of that name; its error is Problems with every fault of the file.
func Parse(file string, data []byte) (*Service, error) {
	if len(data) > MaxFileBytes {
		return nil, Problems{{File: file, Message: fmt.Sprintf("%d bytes long, at most %d allowed", len(data), MaxFileBytes)}}
	}
	o := newOutline(file, string(data))
	f, err := load(o)
	if err != nil {
		return nil, Problems{{File: file, Message: err.Error()}}
	}
	s := read(o, f)
	if len(o.problems) > 0 {
		sort.SliceStable(o.problems, func(i, j int) bool { return o.problems[i].Line < o.problems[j].Line })
		return nil, o.problems
	}
	return s, nil
}

func load(o *outline) (*ini.File, error) {
	opts := ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: true,
		KeyValueDelimiters:  "=",
		// Request names have dots, which must not make one section inherit from another.
		ChildSectionDelimiter: "\x00",
	}
	f, err := ini.LoadSources(opts, []byte(strings.Join(o.sound, "\n")))
	if err != nil {
		return nil, fmt.Errorf("not an ini file: %w", err)
	}
	return f, nil
}

func read(o *outline, f *ini.File) *Service {
	s := &Service{Requests: map[RequestName]Request{}}
	for _, section := range o.sections {
		if section == serviceSection {
			readHead(o, f, s)
			continue
		}
		if name, ok := requestName(section); ok {
			readRequest(o, f, s, section, name)
			continue
		}
		o.reportAt(section, "", "unknown section, want [service] or [request \"name\"]")
	}
	if !slices.Contains(o.sections, serviceSection) {
		o.report(0, serviceSection, "", "section is missing")
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

func readHead(o *outline, f *ini.File, s *Service) {
	var h head
	fill(o, f, serviceSection, &h)
	if err := checkName(h.Name); err != nil {
		o.reportAt(serviceSection, "name", err.Error())
	}
	if err := checkName(h.Group); err != nil {
		o.reportAt(serviceSection, "group", err.Error())
	}
	s.Name = Name(h.Name)
	s.Group = group.ID(h.Group)
}

func readRequest(o *outline, f *ini.File, s *Service, section string, name RequestName) {
	var b body
	fill(o, f, section, &b)
	r, faults := b.request(name)
	for _, fault := range faults {
		o.reportAt(section, fault.key, fault.message)
	}
	s.Requests[name] = r
}

// fill maps a section to the tagged struct dst points to, with the defaults of its tags.
func fill(o *outline, f *ini.File, section string, dst any) {
	known := defaults(dst)
	for _, key := range f.Section(section).KeyStrings() {
		if !slices.Contains(known, key) {
			o.reportAt(section, key, "unknown key, want one of "+strings.Join(known, ", "))
		}
	}
	if err := f.Section(section).MapTo(dst); err != nil {
		o.reportAt(section, "", err.Error())
	}
}

// defaults sets the fields of dst to their defaults and returns the keys of their tags.
func defaults(dst any) []string {
	v := reflect.ValueOf(dst).Elem()
	var keys []string
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		keys = append(keys, tag.Get("ini"))
		v.Field(i).SetString(tag.Get("default"))
	}
	return keys
}
