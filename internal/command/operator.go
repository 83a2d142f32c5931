package command

import (
	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/access"
	"github.com/cactusfork/cactusfork/internal/process/fleet"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// operatorFlags returns the flags for the operator's certificate, which admin addresses outside loopback require.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "certificate-file", Usage: "`FILE` with the operator's certificate, for admin addresses that are not on loopback"},
		&cli.StringFlag{Name: "private-key-file", Usage: "`FILE` with the private key of the certificate"},
		&cli.StringFlag{Name: "authority-file", Usage: "`FILE` with the authority that issued the daemons' certificates"},
	}
}

// newAdminClient returns a client for admin addresses, with the certificate that the flags name, if any; its error is an *inputError.
func newAdminClient(c *cli.Command) (*fleet.AdminClient, error) {
	f := access.TLSFiles{
		Certificate: c.String("certificate-file"),
		PrivateKey:  c.String("private-key-file"),
		Authority:   c.String("authority-file"),
	}
	if !f.IsSet() {
		return fleet.NewAdminClient(nil), nil
	}
	tlsConfig, err := access.MutualTLS(f, clock.System(), func(error) {})
	if err != nil {
		return nil, &inputError{err: err}
	}
	return fleet.NewAdminClient(tlsConfig), nil
}
