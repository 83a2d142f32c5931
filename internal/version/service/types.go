package service

import (
	"github.com/cactusfork/cactusfork/internal/version/group"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// Name is the name of a service; callers send it as the database name.
type Name string

// RequestName is the name of one kind of request of a service, for example quote.create.
type RequestName string

// Version is the platform's version number of a published service file; it never decreases.
type Version uint64

// Kind is whether a request reads or writes.
type Kind string

// The kinds of requests.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Request holds the settings of one request in a service file.
type Request struct {
	Name          RequestName  `json:"name"`
	Kind          Kind         `json:"kind"`
	MaxAge        clock.Millis `json:"max-age-ms"` // maximum age of the data read; 0 if not set
	NonIdempotent bool         `json:"non-idempotent"`
	Weight        int          `json:"weight"`
}

// Service is the content of a validated service file.
type Service struct {
	Name     Name                    `json:"name"`
	Group    group.ID                `json:"group"`
	Requests map[RequestName]Request `json:"requests"`
	Version  Version                 `json:"version"`
}

// Unnamed returns the settings of a request whose name is unknown: a non-idempotent write with weight 1.
func Unnamed(name RequestName) Request {
	return Request{Name: name, Kind: Write, NonIdempotent: true, Weight: 1}
}

// Request returns the settings of the request with that name, or Unnamed if the file has none.
func (s *Service) Request(name RequestName) Request {
	if r, ok := s.Requests[name]; ok {
		return r
	}
	return Unnamed(name)
}
