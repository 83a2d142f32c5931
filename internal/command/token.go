package command

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/pkg/token"
)

func newToken(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:     "token",
		Usage:    "inspect session tokens",
		Commands: []*cli.Command{newTokenInspect(stdout)},
	}
}

func newTokenInspect(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "inspect",
		Usage:     "verify a token and show its content",
		ArgsUsage: "TOKEN",
		Description: "Shows group, term and position only if a given key signed the token.\n\n" +
			"Example: cactusfork token inspect --key-file token.key AQAAAAAAAAAB...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "key-file", Required: true, Usage: "`FILE` with the key that daemons sign with"},
			&cli.StringFlag{Name: "previous-key-file", Usage: "`FILE` with the key that daemons signed with before"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return &inputError{err: errors.New("name exactly one token")}
			}
			keys, err := loadTokenKeys(c.String("key-file"), c.String("previous-key-file"))
			if err != nil {
				return &inputError{err: err}
			}
			return inspect(keys, c.Args().First(), stdout)
		},
	}
}

func inspect(keys *token.Keys, text string, w io.Writer) error {
	t, err := keys.Decode(text)
	switch {
	case errors.Is(err, token.ErrForged):
		return fmt.Errorf("token not valid: no given key signed this token; give the key file of the daemons that issued it: %w", err)
	case errors.Is(err, token.ErrVersion):
		return fmt.Errorf("token not verified: this build does not know the format: %w", err)
	case err != nil:
		return fmt.Errorf("token not verified: the token is damaged or incomplete; copy all of it: %w", err)
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("decode token: %w", err)
	}
	_, err = fmt.Fprintf(w, "check     holds\nversion   %d\ngroup     %s\nterm      %d\nposition  %d\n",
		raw[0], t.Group, t.Point.Term, t.Point.Position)
	return err
}
