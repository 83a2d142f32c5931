package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cactusfork/cactusfork/internal/version/service"
)

func newCheck(stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check service files without the platform",
		ArgsUsage: "FILE...",
		Description: "Prints every problem with file, line, section and key, one per line.\n\n" +
			"Example: cactusfork check precios.ini",
		Action: func(_ context.Context, c *cli.Command) error {
			return check(c.Args().Slice(), stdout, stderr)
		},
	}
}

func check(files []string, stdout, stderr io.Writer) error {
	services, err := parseServices(files, stderr)
	if err != nil {
		return err
	}
	for i, s := range services {
		if _, err := fmt.Fprintf(stdout, "%s: service %s of group %s, requests: %d\n", files[i], s.Name, s.Group, len(s.Requests)); err != nil {
			return err
		}
	}
	return nil
}

// parseServices reads all files and prints every problem to stderr; its error is an *inputError.
func parseServices(files []string, stderr io.Writer) ([]*service.Service, error) {
	if len(files) == 0 {
		return nil, &inputError{err: errors.New("name at least one service file")}
	}
	var services []*service.Service
	invalid := 0
	fileOf := make(map[service.Name]string)
	for _, file := range files {
		s, err := parseService(file)
		if err == nil && fileOf[s.Name] != "" {
			err = fmt.Errorf("%s: service %s is in %s too", file, s.Name, fileOf[s.Name])
		}
		if err != nil {
			invalid++
			_, _ = fmt.Fprintln(stderr, err)
			continue
		}
		fileOf[s.Name] = file
		services = append(services, s)
	}
	if invalid > 0 {
		return nil, &inputError{err: fmt.Errorf("%d of %d service files have problems; fix those listed above", invalid, len(files))}
	}
	return services, nil
}

func parseService(file string) (*service.Service, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read service file: %w", err)
	}
	return service.Parse(file, text)
}
