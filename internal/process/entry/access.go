package entry

import (
	"crypto/tls"

	"github.com/xdg-go/scram"

	"github.com/cactusfork/cactusfork/internal/connection/caller"
	"github.com/cactusfork/cactusfork/internal/version/service"
)

type tlsConfig = *tls.Config

// Access controls who may connect to the daemon. Empty fields admit everyone, without encryption.
type Access struct {
	Allowed     func(caller.User, service.Name) bool
	Credentials func(caller.User) (scram.StoredCredentials, error)
	CallerTLS   func() *tls.Config
	RequireTLS  bool
	PeerTLS     *tls.Config
	AdminTLS    *tls.Config
	// Alter modifies the dependencies of the caller server. Tests use it to break a guarantee on purpose.
	Alter func(*caller.Dependencies)
}
