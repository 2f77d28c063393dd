// Command bergamotway is the gateway daemon. It runs on each entry host.
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

	exitFailure            = 1
	exitInvalidSettings    = 2
	exitIncompleteShutdown = 3

	// settingsEnv is the environment variable in which the platform passes the path of the settings file.
	settingsEnv = "BERGAMOTWAY_SETTINGS"
	// settingsPollInterval is the interval at which the settings file is checked for changes made without a SIGHUP.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout bounds the time to write queued log lines before the process exits.
	logFlushTimeout = 200 * time.Millisecond
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
	stop, abort := shutdownContexts()
	return ho.Run(stop, abort)
}

// serveGateway runs a host on the platform, with the settings file that the environment variable settingsEnv names.
// Only the first signal has an effect: Run of the node bounds the graceful shutdown by itself.
func serveGateway(_ context.Context, _ *cli.Command) error {
	st, unknown, err := node.LoadSettings(os.Getenv(settingsEnv))
	if err != nil {
		return err
	}
	logQueue := logs.NewQueue(os.Stdout)
	defer logQueue.Close(logFlushTimeout)
	lg := logs.New(logQueue, st.LogLevel)
	logs.LimitRate(lg, clock.System())
	if len(unknown) > 0 {
		lg.WithField("names", unknown).Warn("Ignoring unknown settings.")
	}
	meter, err := telemetry.New()
	if err != nil {
		return err
	}
	engines := platform.NewEngineClient()
	no, err := node.New(st, node.Dependencies{
		Store: platform.NewMetadataStore(st.Store, nil), Decoder: platform.Decoder{}, Codec: platform.Codec{}, Starts: platform.StartCodec{}, Rollouts: platform.RolloutEncoder{},
		Caches: engines, Engines: engines, Meter: meter,
	}, lg)
	if err != nil {
		return err
	}
	stop, _ := shutdownContexts()
	go watchSettings(stop, no, lg)
	return no.Run(stop)
}

// watchSettings reloads the settings on SIGHUP and when the content of the file has changed, until ctx ends. It keeps
// the current settings if the file cannot be read or is invalid.
func watchSettings(ctx context.Context, no *node.Node, lg logrus.FieldLogger) {
	path := os.Getenv(settingsEnv)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The error is ignored: the settings have just been loaded from this file, and the loop handles read errors.
	lastData, _ := os.ReadFile(path)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, lastData) && !signalled {
			continue
		}
		st, _, loadErr := node.LoadSettings(path)
		if err != nil || loadErr != nil {
			if signalled || !bytes.Equal(data, lastData) {
				lg.WithError(loadErr).Error("Invalid settings; keeping the previous settings.")
			}
			lastData = data
			continue
		}
		lastData = data
		no.Reload(st)
	}
}

// shutdownContexts returns two contexts: the first SIGTERM or SIGINT cancels stop, which starts a graceful
// shutdown, and the second one cancels abort, which ends the requests that still run.
func shutdownContexts() (stop, abort context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancelStop()
		<-signals
		cancelAbort()
	}()
	return stop, abort
}

func exitCode(err error) int {
	var (
		faults      settings.Faults
		fileErr     *settings.FileError
		shutdownErr *host.IncompleteShutdownError
	)
	switch {
	case errors.As(err, &faults), errors.As(err, &fileErr):
		return exitInvalidSettings
	case errors.As(err, &shutdownErr):
		return exitIncompleteShutdown
	default:
		return exitFailure
	}
}
