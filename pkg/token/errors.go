package token

import "errors"

// Errors that Decode and NewKeys return; test for them with errors.Is.
var (
	// ErrDamaged means that the text is not a token, as its alphabet, length or fields are wrong.
	ErrDamaged = errors.New("token damaged")
	// ErrVersion means that the text has another version of the format.
	ErrVersion = errors.New("token version unknown")
	// ErrForged means that none of the keys has signed the text.
	ErrForged = errors.New("token forged")
	// ErrKeyTooShort means that a key has fewer than MinKeyBytes bytes.
	ErrKeyTooShort = errors.New("token key too short")
)
