package platform

import (
	"errors"
	"strconv"
	"strings"
)

// PutResponse is the response to an update.
type PutResponse struct {
	Version Version `json:"version"`
}

// ListResponse is the response to a list or a watch.
type ListResponse struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
}

// VMsResponse is the response to a request for the VMs.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

var errInvalidETag = errors.New("not an entity tag of a version")

// ETag formats a version as an HTTP entity tag.
func ETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag parses an entity tag that ETag has formatted.
func ParseETag(tag string) (Version, error) {
	digits, opened := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !opened || !closed {
		return 0, errInvalidETag
	}
	return Version(n), nil
}
