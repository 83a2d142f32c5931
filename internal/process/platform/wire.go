package platform

import (
	"errors"
	"strconv"
	"strings"
)

// Changed is the answer to an update.
type Changed struct {
	Version Version `json:"version"`
}

// Listing is the answer to a list or a watch.
type Listing struct {
	Objects []Object `json:"objects"`
	Version Version  `json:"version"`
}

// VMList is the answer to a question for the VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

var errNoETag = errors.New("not an entity tag")

// ETag writes a version as an entity tag.
func ETag(v Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// ParseETag reads what ETag writes.
func ParseETag(tag string) (Version, error) {
	digits, opened := strings.CutPrefix(tag, `"`)
	digits, closed := strings.CutSuffix(digits, `"`)
	n, err := strconv.ParseUint(digits, 10, 64)
	if err != nil || !opened || !closed {
		return 0, errNoETag
	}
	return Version(n), nil
}
