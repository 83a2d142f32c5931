package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Problem is an error in a settings file.
type Problem struct {
	File    string
	Line    int // 1 is the first line; 0 if the line is not known, as for a missing key
	Section string
	Key     string // empty if the problem is not about one key
	Message string
}

// Error formats the problem on one line as "file:line: [section] key: message".
func (p *Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	name := "[" + p.Section + "]"
	if p.Key != "" {
		name += " " + p.Key
	}
	return fmt.Sprintf("%s: %s: %s", location, name, p.Message)
}

// Load reads and validates the file; the error is a *Problem unless the file cannot be read.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse parses and validates text; file is its name in errors, which are of type *Problem.
func Parse(file string, text []byte) (*Settings, error) {
	cfg := &Settings{}
	index, err := parseInto(file, text, cfg)
	if err != nil {
		return nil, err
	}
	return cfg, index.validate(cfg)
}

// ParseInto parses text into the struct that dst points to; file is its name in errors, which are of type *Problem.
//
// Each field of the struct is a section, whose name is the field's name in lower case. Each field of a section is a key
// with the tags ini (name of the key), need (set if the key is required), default, min, max, oneof (allowed values) and
// kind (address, url or file). A field of type []string is a list of addresses. ParseInto checks each key on its own.
func ParseInto(file string, text []byte, dst any) error {
	_, err := parseInto(file, text, dst)
	return err
}

func parseInto(file string, text []byte, dst any) (*lineIndex, error) {
	index, err := newLineIndex(file, text)
	if err != nil {
		return nil, err
	}
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: false}, text)
	if err != nil {
		return nil, &Problem{File: file, Section: "file", Message: err.Error()}
	}
	v := reflect.ValueOf(dst).Elem()
	for i := range v.NumField() {
		name := strings.ToLower(v.Type().Field(i).Name)
		if err := index.setSection(f, name, v.Field(i)); err != nil {
			return nil, err
		}
	}
	return index, index.rejectUnknown(v)
}

func (x *lineIndex) setSection(f *ini.File, section string, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		text, found := x.value(f, section, key)
		if !found {
			text = field.Tag.Get("default")
		}
		if text == "" && field.Tag.Get("need") != "" {
			return x.problem(section, key, "is missing")
		}
		if text == "" {
			continue
		}
		if err := setField(v.Field(i), field.Tag, text); err != nil {
			return x.problem(section, key, err.Error())
		}
	}
	return nil
}

func setField(v reflect.Value, tag reflect.StructTag, text string) error {
	switch v.Interface().(type) {
	case clock.Millis:
		return setMillis(v, tag, text)
	case int:
		return setInt(v, tag, text)
	case bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("got %q, want true or false", text)
		}
		v.SetBool(b)
		return nil
	case []string:
		return setAddresses(v, text)
	}
	if err := checkText(tag, text); err != nil {
		return err
	}
	v.SetString(text)
	return nil
}

func setMillis(v reflect.Value, tag reflect.StructTag, text string) error {
	d, err := parseMillis(text)
	if err != nil {
		return err
	}
	minimum, _ := parseMillis(tag.Get("min"))
	maximum, _ := parseMillis(tag.Get("max"))
	if d < minimum || d > maximum {
		return fmt.Errorf("got %s, want %s to %s", text, tag.Get("min"), tag.Get("max"))
	}
	v.SetInt(int64(d))
	return nil
}

func parseMillis(text string) (clock.Millis, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("got %q, want a number with a unit: ms, s, m or h", text)
	}
	return clock.FromDuration(d), nil
}

func setInt(v reflect.Value, tag reflect.StructTag, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("got %q, want a whole number", text)
	}
	minimum, _ := strconv.Atoi(tag.Get("min"))
	maximum, _ := strconv.Atoi(tag.Get("max"))
	if n < minimum || n > maximum {
		return fmt.Errorf("got %d, want %d to %d", n, minimum, maximum)
	}
	v.SetInt(int64(n))
	return nil
}

func setAddresses(v reflect.Value, text string) error {
	var addresses []string
	for item := range strings.SplitSeq(text, ",") {
		address := strings.TrimSpace(item)
		if err := checkAddress(address); err != nil {
			return err
		}
		for _, other := range addresses {
			if address == other {
				return fmt.Errorf("duplicate address %s", address)
			}
		}
		addresses = append(addresses, address)
	}
	v.Set(reflect.ValueOf(addresses))
	return nil
}

func checkText(tag reflect.StructTag, text string) error {
	if choices := tag.Get("oneof"); choices != "" {
		for choice := range strings.SplitSeq(choices, " ") {
			if choice == text {
				return nil
			}
		}
		return fmt.Errorf("got %q, want one of %s", text, choices)
	}
	switch tag.Get("kind") {
	case "address":
		return checkAddress(text)
	case "url":
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fmt.Errorf("got %q, want http://address:port or https://address:port", text)
		}
	case "file":
		if _, err := os.Stat(text); err != nil {
			return fmt.Errorf("file %s cannot be read", text)
		}
	}
	return nil
}

// checkAddress requires an IP address instead of a host name, and a port from 0 to 65535.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("got %q, want address:port", address)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("got host %q, want an IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("got port %q, want 0 to 65535", port)
	}
	return nil
}
