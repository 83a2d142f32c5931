package service

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/clock"
)

const (
	// MinWeight is the least weight of a request.
	MinWeight = 1
	// MaxWeight is the greatest weight of a request.
	MaxWeight = 100
	// MaxMaxAge is the greatest max-age of a read, in milliseconds.
	MaxMaxAge = 3600 * clock.Second
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,62}$`)
	agePattern  = regexp.MustCompile(`^([0-9]{1,9})(ms|s|m)$`)
)

// fault is what is wrong with one key of a request.
type fault struct{ key, message string }

func checkName(name string) error {
	if name == "" {
		return errors.New("is missing")
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%s is not 1 to 63 of a-z 0-9 . _ - from a letter on", quote(name))
	}
	return nil
}

// request converts b and returns every fault.
func (b *body) request(name RequestName) (Request, []fault) {
	r := Request{Name: name, Kind: Kind(b.Kind)}
	var faults []fault
	note := func(key string, err error) {
		if err != nil {
			faults = append(faults, fault{key, err.Error()})
		}
	}
	var err error
	if b.MaxAge != "" {
		r.MaxAge, err = parseAge(b.MaxAge)
		note("max-age", err)
	}
	r.NonIdempotent, err = parseBool(b.NonIdempotent)
	note("non-idempotent", err)
	r.Weight, err = parseWeight(b.Weight)
	note("weight", err)
	return r, append(faults, r.faults()...)
}

// faults checks what the values of one request mean together.
func (r Request) faults() []fault {
	var faults []fault
	if err := checkName(string(r.Name)); err != nil {
		faults = append(faults, fault{"", "request name " + err.Error()})
	}
	switch r.Kind {
	case Read, Write:
	case "":
		faults = append(faults, fault{"kind", "is missing, want read or write"})
	default:
		faults = append(faults, fault{"kind", fmt.Sprintf("%s is no kind, want read or write", quote(string(r.Kind)))})
	}
	if r.Kind == Write && r.MaxAge != 0 {
		faults = append(faults, fault{"max-age", "a write has no max-age, only a read has"})
	}
	if r.Kind == Read && r.NonIdempotent {
		faults = append(faults, fault{"non-idempotent", "a read is always idempotent"})
	}
	return faults
}

func parseAge(text string) (clock.Millis, error) {
	m := agePattern.FindStringSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("%s is no age, want a whole number with a unit: ms, s or m", quote(text))
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is no age: %w", quote(text), err)
	}
	age := clock.Millis(n) * unit(m[2])
	if err := checkAge(age); err != nil {
		return 0, err
	}
	return age, nil
}

func unit(name string) clock.Millis {
	switch name {
	case "m":
		return 60 * clock.Second
	case "s":
		return clock.Second
	default:
		return 1
	}
}

func checkAge(age clock.Millis) error {
	if age < 1 || age > MaxMaxAge {
		return fmt.Errorf("%dms is out of 1ms to %dm", age, MaxMaxAge/unit("m"))
	}
	return nil
}

func parseBool(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fmt.Errorf("%s is neither true nor false", quote(text))
	}
}

func parseWeight(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || strings.HasPrefix(text, "+") {
		return 0, fmt.Errorf("%s is no whole number", quote(text))
	}
	return n, checkWeight(n)
}

func checkWeight(n int) error {
	if n < MinWeight || n > MaxWeight {
		return fmt.Errorf("%d is out of %d to %d", n, MinWeight, MaxWeight)
	}
	return nil
}
