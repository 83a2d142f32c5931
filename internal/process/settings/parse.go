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

// Problem is one fault of a settings file.
type Problem struct {
	File    string
	Line    int // 0 where the fault has no line
	Section string
	Key     string
	Message string
}

// Error writes the fault with its place on one line.
func (p *Problem) Error() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	where := "[" + p.Section + "]"
	if p.Key != "" {
		where += " " + p.Key
	}
	return fmt.Sprintf("%s: %s: %s", place, where, p.Message)
}

// Load reads and checks the file; the error is a *Problem unless the file cannot be read.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(file, text)
}

// Parse checks text; file only names it in errors.
func Parse(file string, text []byte) (*Settings, error) {
	set := &Settings{}
	src, err := parseInto(file, text, set)
	if err != nil {
		return nil, err
	}
	return set, src.whole(set)
}

// ParseInto checks text and fills the sections of the struct that dst points to, by their tags; file only names it in errors.
func ParseInto(file string, text []byte, dst any) error {
	_, err := parseInto(file, text, dst)
	return err
}

func parseInto(file string, text []byte, dst any) (*source, error) {
	src, err := index(file, text)
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
		if err := src.section(f, name, v.Field(i)); err != nil {
			return nil, err
		}
	}
	return src, src.unknown(v)
}

func (s *source) section(f *ini.File, name string, v reflect.Value) error {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := field.Tag.Get("ini")
		text, given := s.value(f, name, key)
		if !given {
			text = field.Tag.Get("default")
		}
		if text == "" && field.Tag.Get("need") != "" {
			return s.problem(name, key, "is missing")
		}
		if text == "" {
			continue
		}
		if err := set(v.Field(i), field.Tag, text); err != nil {
			return s.problem(name, key, err.Error())
		}
	}
	return nil
}

func set(v reflect.Value, tag reflect.StructTag, text string) error {
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
	d, err := millis(text)
	if err != nil {
		return err
	}
	low, _ := millis(tag.Get("min"))
	high, _ := millis(tag.Get("max"))
	if d < low || d > high {
		return fmt.Errorf("got %s, want %s to %s", text, tag.Get("min"), tag.Get("max"))
	}
	v.SetInt(int64(d))
	return nil
}

func millis(text string) (clock.Millis, error) {
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
	low, _ := strconv.Atoi(tag.Get("min"))
	high, _ := strconv.Atoi(tag.Get("max"))
	if n < low || n > high {
		return fmt.Errorf("got %d, want %d to %d", n, low, high)
	}
	v.SetInt(int64(n))
	return nil
}

func setAddresses(v reflect.Value, text string) error {
	var all []string
	for part := range strings.SplitSeq(text, ",") {
		a := strings.TrimSpace(part)
		if err := checkAddress(a); err != nil {
			return err
		}
		for _, b := range all {
			if a == b {
				return fmt.Errorf("address %s is given twice", a)
			}
		}
		all = append(all, a)
	}
	v.Set(reflect.ValueOf(all))
	return nil
}

func checkText(tag reflect.StructTag, text string) error {
	if choices := tag.Get("oneof"); choices != "" {
		for c := range strings.SplitSeq(choices, " ") {
			if c == text {
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

func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("got %q, want address:port", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("got host %q, want an IP number", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("got port %q, want 0 to 65535", port)
	}
	return nil
}
