package command

import (
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/cactusfork/cactusfork/pkg/token"
)

// keySize is the length of a token key that is generated at start, in bytes.
const keySize = 32

// readPassword reads the password for targets from the only line of the file; it returns "" if file is empty.
func readPassword(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read password of targets: %w", err)
	}
	password := strings.TrimRight(string(text), "\r\n")
	if password == "" || strings.ContainsAny(password, "\r\n") {
		return "", fmt.Errorf("password file %s: want one line", file)
	}
	return password, nil
}

// loadTokenKeys reads the current key and, if previous is set, the previous key.
//
// Without a file for the current key, it generates a key that no other daemon has.
func loadTokenKeys(current, previous string) (*token.Keys, error) {
	if current == "" {
		key := make([]byte, keySize)
		if _, err := rand.Read(key); err != nil {
			return nil, fmt.Errorf("generate token key: %w", err)
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
