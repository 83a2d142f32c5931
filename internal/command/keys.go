package command

import (
	"crypto/rand"
	"fmt"
	"os"

	"github.com/cactusfork/cactusfork/pkg/token"
)

// keySize is the length of a token key drawn at start, in bytes.
const keySize = 32

// loadTokenKeys reads the present and the previous key; without a file it draws one, which no other daemon knows.
func loadTokenKeys(current, previous string) (*token.Keys, error) {
	if current == "" {
		key := make([]byte, keySize)
		if _, err := rand.Read(key); err != nil {
			return nil, fmt.Errorf("draw token key: %w", err)
		}
		return token.NewKeys(key)
	}
	var keys [][]byte
	for _, file := range []string{current, previous} {
		if file == "" {
			continue
		}
		key, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read token key: %w", err)
		}
		keys = append(keys, key)
	}
	k, err := token.NewKeys(keys[0], keys[1:]...)
	if err != nil {
		return nil, fmt.Errorf("token key file %s: %w", current, err)
	}
	return k, nil
}
