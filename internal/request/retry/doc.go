// Package retry decides whether a failed request is repeated, refused or of unknown outcome.
package retry
