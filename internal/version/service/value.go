package service

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrValue means that a stored value is not a valid service.
var ErrValue = errors.New("not a service")

// Encode returns the value of s as stored on the platform.
func Encode(s *Service) ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode service: %w", err)
	}
	return data, nil
}

// Decode parses a stored value and validates it as Parse does a file; errors wrap ErrValue.
func Decode(data []byte) (*Service, error) {
	var s Service
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrValue, err)
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrValue, err)
	}
	if s.Requests == nil {
		s.Requests = map[RequestName]Request{}
	}
	return &s, nil
}

func (s *Service) check() error {
	if err := checkName(string(s.Name)); err != nil {
		return fmt.Errorf("name %w", err)
	}
	if err := checkName(string(s.Group)); err != nil {
		return fmt.Errorf("group %w", err)
	}
	for name, r := range s.Requests {
		if err := r.check(name); err != nil {
			return fmt.Errorf("request %s: %w", quote(string(name)), err)
		}
	}
	return nil
}

func (r Request) check(name RequestName) error {
	if r.Name != name {
		return fmt.Errorf("is named %s inside", quote(string(r.Name)))
	}
	if problems := r.problems(); len(problems) > 0 {
		return fmt.Errorf("%s %s", problems[0].key, problems[0].message)
	}
	if err := checkWeight(r.Weight); err != nil {
		return fmt.Errorf("weight %w", err)
	}
	if r.MaxAge == 0 {
		return nil
	}
	if err := checkAge(r.MaxAge); err != nil {
		return fmt.Errorf("max-age %w", err)
	}
	return nil
}
