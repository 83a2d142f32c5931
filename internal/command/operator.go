package command

import (
	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/process/access"
	"github.com/cactusfork/cactusfork/internal/process/fleet"
	"github.com/cactusfork/cactusfork/pkg/clock"
)

// operatorFlags name the certificate shown at admin addresses that are not on loopback.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "certificate-file", Usage: "`FILE` with the operator's certificate, for admin addresses off loopback"},
		&cli.StringFlag{Name: "private-key-file", Usage: "`FILE` with its key"},
		&cli.StringFlag{Name: "authority-file", Usage: "`FILE` with the authority of the daemons' certificates"},
	}
}

// newAsker returns an asker with the certificate that the flags name, if any; its error is a *badInput.
func newAsker(c *cli.Command) (*fleet.Asker, error) {
	f := access.TLSFiles{
		Certificate: c.String("certificate-file"),
		PrivateKey:  c.String("private-key-file"),
		Authority:   c.String("authority-file"),
	}
	if !f.IsSet() {
		return fleet.NewAsker(nil), nil
	}
	cfg, err := access.MutualTLS(f, clock.System(), func(error) {})
	if err != nil {
		return nil, &badInput{err: err}
	}
	return fleet.NewAsker(cfg), nil
}
