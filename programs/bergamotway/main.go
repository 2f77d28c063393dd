// Command bergamotway is the daemon of an entry host.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/host"
	"github.com/bergamotway/bergamotway/internal/logs"
	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/settings"
	"github.com/bergamotway/bergamotway/internal/telemetry"
	"github.com/bergamotway/bergamotway/platform"
)

const (
	version = "0.1.0"

	exitFailure  = 1
	exitSettings = 2
	exitCut      = 3

	// settingsVariable names the settings file on the platform.
	settingsVariable = "BERGAMOTWAY_SETTINGS"
	// settingsEvery is the pause between looks at the settings file, which may change without a signal.
	settingsEvery = 2 * time.Second
	// flushLimit bounds writing the last log lines.
	flushLimit = 200 * time.Millisecond
)

func main() {
	cmd := &cli.Command{
		Name:  "bergamotway",
		Usage: "serve prompts that return after long gaps",
		Commands: []*cli.Command{
			{
				Name:   "serve",
				Usage:  "serve until the first SIGTERM, then finish every request; a second one cuts",
				Flags:  []cli.Flag{settingsFlag()},
				Action: serve,
			},
			{
				Name:   "gateway",
				Usage:  "serve the routes of the platform's operators until SIGTERM, then finish every request",
				Action: serveGateway,
			},
			{
				Name:   "check-settings",
				Usage:  "print every fault of a settings file",
				Flags:  []cli.Flag{settingsFlag()},
				Action: checkSettings,
			},
			{
				Name:   "check-gateway-settings",
				Usage:  "print every fault of a gateway's settings file",
				Flags:  []cli.Flag{settingsFlag()},
				Action: checkGatewaySettings,
			},
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(_ context.Context, cmd *cli.Command) error {
					_, err := fmt.Fprintln(cmd.Root().Writer, version)
					return err
				},
			},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the settings file, JSON with comments", Required: true}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if _, err := host.LoadSettings(cmd.String("settings")); err != nil {
		return err
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, "ok")
	return err
}

func checkGatewaySettings(_ context.Context, cmd *cli.Command) error {
	_, unknown, err := node.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	for _, name := range unknown {
		if _, err := fmt.Fprintln(cmd.Root().Writer, "ignored:", name); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(cmd.Root().Writer, "ok")
	return err
}

func serve(_ context.Context, cmd *cli.Command) error {
	st, err := host.LoadSettings(cmd.String("settings"))
	if err != nil {
		return err
	}
	ho, err := host.New(st, logs.New(os.Stderr, st.LogLevel))
	if err != nil {
		return err
	}
	stop, cut := stopContexts()
	return ho.Run(stop, cut)
}

// serveGateway runs a host on the platform. The platform names the settings file in the environment.
func serveGateway(_ context.Context, _ *cli.Command) error {
	st, unknown, err := node.LoadSettings(os.Getenv(settingsVariable))
	if err != nil {
		return err
	}
	queue := logs.NewQueue(os.Stdout)
	defer queue.Close(flushLimit)
	lg := logs.New(queue, st.LogLevel)
	logs.Bound(lg, clock.System())
	if len(unknown) > 0 {
		lg.WithField("names", unknown).Warn("Unknown settings are ignored.")
	}
	meter, err := telemetry.New()
	if err != nil {
		return err
	}
	engines := platform.NewEngines()
	no, err := node.New(st, node.World{
		Store: platform.NewStore(st.Store, nil), Decoder: platform.Decoder{}, Codec: platform.Codec{},
		Caches: engines, Engines: engines, Meter: meter,
	}, lg)
	if err != nil {
		return err
	}
	stop, _ := stopContexts()
	go reload(stop, no, lg)
	return no.Run(stop)
}

// reload puts changed settings in force, at SIGHUP or when the file has changed.
func reload(ctx context.Context, no *node.Node, lg logrus.FieldLogger) {
	path := os.Getenv(settingsVariable)
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	// The file was read a moment ago; one that cannot be read is told apart below.
	last, _ := os.ReadFile(path)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hups:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) && !signalled {
			continue
		}
		st, _, loadErr := node.LoadSettings(path)
		if err != nil || loadErr != nil {
			if signalled || !bytes.Equal(data, last) {
				lg.WithError(loadErr).Error("Settings are not valid; those before stay in force.")
			}
			last = data
			continue
		}
		last = data
		no.Reload(st)
	}
}

// stopContexts returns a context that the first signal ends, and one that the second signal ends.
func stopContexts() (stop, cut context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	cut, cancelCut := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelCut()
	}()
	return stop, cut
}

func exitCode(err error) int {
	var (
		faults settings.Faults
		file   *settings.FileError
		cutErr *host.CutError
	)
	switch {
	case errors.As(err, &faults), errors.As(err, &file):
		return exitSettings
	case errors.As(err, &cutErr):
		return exitCut
	default:
		return exitFailure
	}
}
