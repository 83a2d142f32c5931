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
	// MinWeight is the minimum weight of a request.
	MinWeight = 1
	// MaxWeight is the maximum weight of a request.
	MaxWeight = 100
	// MaxMaxAge is the maximum max-age of a read, in milliseconds.
	MaxMaxAge = 3600 * clock.Second
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9._-]{0,62}$`)
	agePattern  = regexp.MustCompile(`^([0-9]{1,9})(ms|s|m)$`)
)

// keyProblem is a problem with one key of a request section; key is empty if it concerns the whole section.
type keyProblem struct{ key, message string }

func checkName(name string) error {
	if name == "" {
		return errors.New("is missing")
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%s is not 1 to 63 of a-z 0-9 . _ - from a letter on", quote(name))
	}
	return nil
}

// toRequest converts the section to a Request and returns every problem found.
func (b *requestFields) toRequest(name RequestName) (Request, []keyProblem) {
	r := Request{Name: name, Kind: Kind(b.Kind)}
	var problems []keyProblem
	add := func(key string, err error) {
		if err != nil {
			problems = append(problems, keyProblem{key, err.Error()})
		}
	}
	var err error
	if b.MaxAge != "" {
		r.MaxAge, err = parseAge(b.MaxAge)
		add("max-age", err)
	}
	r.NonIdempotent, err = parseBool(b.NonIdempotent)
	add("non-idempotent", err)
	r.Weight, err = parseWeight(b.Weight)
	add("weight", err)
	return r, append(problems, r.problems()...)
}

// problems returns the problems of the name and kind, and of keys that the kind does not allow.
func (r Request) problems() []keyProblem {
	var problems []keyProblem
	if err := checkName(string(r.Name)); err != nil {
		problems = append(problems, keyProblem{"", "request name " + err.Error()})
	}
	switch r.Kind {
	case Read, Write:
	case "":
		problems = append(problems, keyProblem{"kind", "is missing, want read or write"})
	default:
		problems = append(problems, keyProblem{"kind", fmt.Sprintf("%s is no kind, want read or write", quote(string(r.Kind)))})
	}
	if r.Kind == Write && r.MaxAge != 0 {
		problems = append(problems, keyProblem{"max-age", "a write has no max-age, only a read has"})
	}
	if r.Kind == Read && r.NonIdempotent {
		problems = append(problems, keyProblem{"non-idempotent", "a read is always idempotent"})
	}
	return problems
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
	age := clock.Millis(n) * unitMillis(m[2])
	if err := checkAge(age); err != nil {
		return 0, err
	}
	return age, nil
}

func unitMillis(name string) clock.Millis {
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
		return fmt.Errorf("%dms is out of 1ms to %dm", age, MaxMaxAge/unitMillis("m"))
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
