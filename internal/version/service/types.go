package service

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Name names a service; callers give it as the database.
type Name string

// RequestName names one kind of request of a service, for example quote.create.
type RequestName string

// Version numbers the published states of a service file, as the platform does; it only rises.
type Version uint64

// Kind tells reads from writes.
type Kind string

// The kinds of request.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Request is what a service file says of one kind of request.
type Request struct {
	Name          RequestName  `json:"name"`
	Kind          Kind         `json:"kind"`
	MaxAge        clock.Millis `json:"max-age-ms"` // 0 when the read states no age
	NonIdempotent bool         `json:"non-idempotent"`
	Weight        int          `json:"weight"`
}

// Service is a checked service file.
type Service struct {
	Name     Name                    `json:"name"`
	Group    group.ID                `json:"group"`
	Requests map[RequestName]Request `json:"requests"`
	Version  Version                 `json:"version"`
}

// Unnamed is how a request without a known name is treated: a non-idempotent write.
func Unnamed(name RequestName) Request {
	return Request{Name: name, Kind: Write, NonIdempotent: true, Weight: 1}
}

// Request returns what the file says of name, or Unnamed.
func (s *Service) Request(name RequestName) Request {
	if r, ok := s.Requests[name]; ok {
		return r
	}
	return Unnamed(name)
}
