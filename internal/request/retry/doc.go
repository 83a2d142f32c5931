// Package retry decides whether a failed request is retried, refused or reported as of unknown outcome.
package retry
