// Command standin runs a stand-in for one component of the platform, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
	"github.com/bergamotway/bergamotway/internal/standin/hostlist"
	"github.com/bergamotway/bergamotway/internal/standin/keyvalue"
	"github.com/bergamotway/bergamotway/internal/standin/modelengine"
	"github.com/bergamotway/bergamotway/internal/standin/plain"
	"github.com/bergamotway/bergamotway/internal/standin/storehost"
	"github.com/bergamotway/bergamotway/internal/standin/weights"
)

// maxBodyBytes bounds the request body of a stand-in.
const maxBodyBytes = 64 << 20

func main() {
	cmd := &cli.Command{
		Name:  "standin",
		Usage: "play one of the things that the platform gives; POST /faults switches its faults",
		Commands: []*cli.Command{
			keyValueCommand(), hostListCommand(), weightStoreCommand(),
			storeHostCommand(), engineCommand(), serviceCommand(),
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// standinCommand returns a command that serves the handler of a stand-in at --listen, with faults that are set by
// POST /faults.
func standinCommand(name, usage string, flags []cli.Flag, newHandler func(cmd *cli.Command, inj *fault.Injector) fasthttp.RequestHandler) *cli.Command {
	flags = append(flags, &cli.StringFlag{Name: "listen", Usage: "the ip:port to listen at", Required: true})
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: flags,
		Action: func(_ context.Context, cmd *cli.Command) error {
			inj := &fault.Injector{}
			return serve(cmd.String("listen"), inj.Wrap(newHandler(cmd, inj)))
		},
	}
}

// serve serves handler at address until the first SIGTERM or SIGINT.
func serve(address string, handler fasthttp.RequestHandler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	sv := &fasthttp.Server{Handler: handler, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = sv.Shutdown()
	}()
	return sv.Serve(ln)
}

func keyValueCommand() *cli.Command {
	return standinCommand("key-value", "the key-value service", nil,
		func(*cli.Command, *fault.Injector) fasthttp.RequestHandler {
			return keyvalue.New(clock.System()).Handle
		})
}

func hostListCommand() *cli.Command {
	flags := []cli.Flag{&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "the lag of the list"}}
	return standinCommand("host-list", "the list of live and leaving hosts", flags,
		func(cmd *cli.Command, _ *fault.Injector) fasthttp.RequestHandler {
			return hostlist.New(clock.System(), cmd.Duration("lag")).Handle
		})
}

func weightStoreCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.DurationFlag{Name: "load-time", Value: 2 * time.Second, Usage: "the time of one load"},
		&cli.IntFlag{Name: "limit", Value: 2, Usage: "how many loads at once take the plain time"},
	}
	return standinCommand("weight-store", "the weight store", flags,
		func(cmd *cli.Command, _ *fault.Injector) fasthttp.RequestHandler {
			return weights.New(clock.System(), cmd.Duration("load-time"), cmd.Int("limit")).Handle
		})
}

func storeHostCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.IntFlag{Name: "capacity", Value: 10000, Usage: "how many pieces fit"},
		&cli.FloatFlag{Name: "link-rate", Value: 1e10, Usage: "the speed of the link, in bytes/s"},
		&cli.FloatFlag{Name: "piece-bytes", Value: 4e8, Usage: "the size of a piece on the link, in bytes"},
	}
	return standinCommand("store-host", "a store host", flags,
		func(cmd *cli.Command, inj *fault.Injector) fasthttp.RequestHandler {
			return storehost.New(storehost.Options{
				Clock:              clock.System(),
				Capacity:           cmd.Int("capacity"),
				LinkBytesPerSecond: cmd.Float("link-rate"),
				PieceBytes:         cmd.Float("piece-bytes"),
			}, inj).Handle
		})
}

func engineCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "version", Value: "v1", Usage: "the weight version to begin with"},
		&cli.FloatFlag{Name: "prefill-rate", Value: 80000, Usage: "the speed of reading, in tokens/s"},
		&cli.DurationFlag{Name: "token-time", Value: time.Millisecond, Usage: "the time between two tokens"},
		&cli.IntFlag{Name: "memory-pieces", Value: 100, Usage: "how many pieces of KV cache fit"},
		&cli.DurationFlag{Name: "cold-time", Usage: "the length of a cold start"},
		&cli.IntFlag{Name: "cold-limit", Value: 2, Usage: "the most runs that a cold start bears"},
		&cli.DurationFlag{Name: "report-lag", Usage: "the age of load reports"},
		&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
		&cli.StringFlag{Name: "weight-store", Usage: "the ip:port of the weight store"},
	}
	return standinCommand("engine", "a model engine", flags,
		func(cmd *cli.Command, inj *fault.Injector) fasthttp.RequestHandler {
			return modelengine.New(modelengine.Options{
				Clock:              clock.System(),
				WeightVersion:      cmd.String("version"),
				PrefillRate:        cmd.Float("prefill-rate"),
				TokenInterval:      cmd.Duration("token-time"),
				CachePieces:        cmd.Int("memory-pieces"),
				ColdStartDuration:  cmd.Duration("cold-time"),
				ColdStartMaxRuns:   cmd.Int("cold-limit"),
				ReportLag:          cmd.Duration("report-lag"),
				ChecksFencing:      cmd.Bool("checks-fencing"),
				WeightStoreAddress: cmd.String("weight-store"),
			}, inj).Handle
		})
}

func serviceCommand() *cli.Command {
	return standinCommand("service", "a plain service that records each run", nil,
		func(*cli.Command, *fault.Injector) fasthttp.RequestHandler {
			return plain.New().Handle
		})
}
