package token

import "errors"

// Errors that Decode and NewKeys return, to be tested with errors.Is.
var (
	// ErrDamaged means that the text is no token: wrong alphabet, length or fields.
	ErrDamaged = errors.New("token damaged")
	// ErrVersion means that another version of the format wrote the text.
	ErrVersion = errors.New("token version unknown")
	// ErrForged means that no known key signed the text.
	ErrForged = errors.New("token forged")
	// ErrKeyTooShort means that a key has fewer than MinKeyBytes.
	ErrKeyTooShort = errors.New("token key too short")
)
