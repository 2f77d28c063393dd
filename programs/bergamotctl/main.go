// Command bergamotctl is the command line client with which operators inspect and change a fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/user"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/settings"
)

const (
	exitFailure        = 1
	exitInvalid        = 2
	exitNotFound       = 3
	exitConflict       = 4
	exitOutcomeUnknown = 5
	exitWaitTimeout    = 6
)

func main() {
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "bergamotctl",
		Usage: "see and change a bergamotway fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "key-value", Usage: "the ip:port of the platform's key-value service",
				Sources: cli.EnvVars("BERGAMOTCTL_KEY_VALUE"),
			},
			&cli.StringSliceFlag{
				Name: "hosts", Usage: "operator addresses of entry hosts, ip:port",
				Sources: cli.EnvVars("BERGAMOTCTL_HOSTS"),
			},
			&cli.StringFlag{Name: "author", Usage: "the name that a change carries", Value: defaultAuthor()},
			&cli.BoolFlag{Name: "json", Usage: "print JSON in place of a table"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until a change is in force on all named hosts"},
		},
		Commands: []*cli.Command{
			applyCommand(), showCommand(), classCommand(), teamCommand(), modelCommand(), endpointCommand(), zoneCommand(),
			hostCommand(), rolloutCommand(), providerCommand(), bookingCommand(), statusCommand(), watchCommand(),
			quarantineCommand(),
		},
	}
}

func defaultAuthor() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}

func newEditor(cmd *cli.Command) (*configuration.Editor, error) {
	address := cmd.String("key-value")
	if address == "" {
		return nil, &usageError{message: "--key-value is needed"}
	}
	store := keyvalue.NewClient(keyvalue.Options{Address: address})
	return configuration.NewEditor(store, cmd.String("author")), nil
}

func exitCode(err error) int {
	var (
		usage          *usageError
		invalid        *configuration.InvalidError
		faults         settings.Faults
		fileErr        *settings.FileError
		notFound       *notFoundError
		conflict       *configuration.ConflictError
		outcomeUnknown *configuration.OutcomeUnknownError
		waitErr        *waitTimeoutError
		unavailable    *metastore.UnavailableError
	)
	switch {
	case errors.As(err, &usage), errors.As(err, &invalid), errors.As(err, &faults), errors.As(err, &fileErr):
		return exitInvalid
	case errors.As(err, &notFound):
		return exitNotFound
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &outcomeUnknown), errors.As(err, &unavailable) && unavailable.IsUncertain():
		return exitOutcomeUnknown
	case errors.As(err, &waitErr):
		return exitWaitTimeout
	default:
		return exitFailure
	}
}
