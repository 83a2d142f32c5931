package entry

import (
	"crypto/tls"

	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

type tlsConfig = *tls.Config

// Access says who may connect; empty fields let everyone in without encryption.
type Access struct {
	Allowed     func(caller.User, service.Name) bool
	Credentials func(caller.User) (scram.StoredCredentials, error)
	CallerTLS   func() *tls.Config
	RequireTLS  bool
	PeerTLS     *tls.Config
	AdminTLS    *tls.Config
	// Alter changes the seams of the caller server; tests break promises by it.
	Alter func(*caller.Seams)
}
