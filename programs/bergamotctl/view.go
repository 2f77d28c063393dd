package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/host"
)

const (
	callTimeout = 2 * time.Second
	// maxResponseBytes bounds the response of a host.
	maxResponseBytes = 8 << 20
	waitTimeout      = 30 * time.Second
	waitPollInterval = 100 * time.Millisecond
	watchInterval    = time.Second
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the configuration that the key-value service holds",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ed, err := newEditor(cmd)
			if err != nil {
				return err
			}
			sn, err := ed.Read(ctx)
			if err != nil {
				return err
			}
			if _, err = fmt.Fprintf(cmd.Root().Writer, "// revision %d by %s\n", sn.Revision(), sn.Author()); err != nil {
				return err
			}
			return printJSON(cmd, sn.Document())
		},
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print what each named host says of itself",
		Action: func(_ context.Context, cmd *cli.Command) error { return printStatus(cmd) },
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name: "watch", Usage: "print the status each second until interrupted",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			for ctx.Err() == nil {
				if err := printStatus(cmd); err != nil {
					return err
				}
				time.Sleep(watchInterval)
			}
			return nil
		},
	}
}

func bookingCommand() *cli.Command {
	return &cli.Command{
		Name: "booking", Usage: "see a booking, or settle one whose outcome is unknown",
		ArgsUsage: "TEAM SERVICE KEY",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settle", Usage: "ran or not-run, as the service's own records say"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 3 {
				return &usageError{message: "TEAM, SERVICE and KEY are needed"}
			}
			method, path := http.MethodGet, "/bookings/"+strings.Join(cmd.Args().Slice(), "/")
			switch cmd.String("settle") {
			case "":
			case "ran":
				method, path = http.MethodPost, path+"?ran=true"
			case "not-run":
				method, path = http.MethodPost, path+"?ran=false"
			default:
				return &usageError{message: "--settle takes ran or not-run"}
			}
			hosts := cmd.StringSlice("hosts")
			if len(hosts) == 0 {
				return &usageError{message: "--hosts is needed"}
			}
			body, err := callHost(method, hosts[0], path)
			if err != nil {
				return err
			}
			_, err = cmd.Root().Writer.Write(body)
			return err
		},
	}
}

// printStatus prints the status of each host that --hosts names. A host that cannot be reached is listed as unreachable.
func printStatus(cmd *cli.Command) error {
	var statuses []host.Status
	for _, address := range cmd.StringSlice("hosts") {
		st, err := fetchStatus(address)
		if err != nil {
			st = host.Status{Host: address, State: "unreachable", Reason: err.Error()}
		}
		statuses = append(statuses, st)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, statuses)
	}
	tw := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	rows := []string{"HOST\tZONE\tSTATE\tREVISION\tRUNNING\tMEMBERS\tREASON"}
	for _, st := range statuses {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s",
			st.Host, st.Zone, st.State, st.Revision, st.Running, len(st.Members), st.Reason))
	}
	if _, err := fmt.Fprintln(tw, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return tw.Flush()
}

// waitUntilInForce polls the hosts that --hosts names until each reports the revision or a later one, and prints each
// host when it does. After waitTimeout it returns a *waitTimeoutError with the hosts that have not done so.
func waitUntilInForce(ctx context.Context, cmd *cli.Command, revision uint64) error {
	pending := cmd.StringSlice("hosts")
	deadline := time.Now().Add(waitTimeout)
	for {
		var remaining []string
		for _, address := range pending {
			st, err := fetchStatus(address)
			if err != nil || st.Revision < revision {
				remaining = append(remaining, address)
				continue
			}
			if _, err = fmt.Fprintf(cmd.Root().Writer, "in force on %s\n", st.Host); err != nil {
				return err
			}
		}
		pending = remaining
		if len(pending) == 0 {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return &waitTimeoutError{revision: revision, pending: pending}
		}
		time.Sleep(waitPollInterval)
	}
}

func fetchStatus(address string) (host.Status, error) {
	var st host.Status
	body, err := callHost(http.MethodGet, address, "/status")
	if err != nil {
		return st, err
	}
	return st, json.Unmarshal(body, &st)
}

// callHost sends a request to the operator address of a host and returns the response body. It returns a
// *responseError if the status is not 200.
func callHost(method, address, path string) ([]byte, error) {
	req, rsp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(rsp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	client := fasthttp.Client{MaxResponseBodySize: maxResponseBytes}
	defer client.CloseIdleConnections()
	if err := client.DoTimeout(req, rsp, callTimeout); err != nil {
		return nil, err
	}
	if rsp.StatusCode() != http.StatusOK {
		return nil, &responseError{address: address, status: rsp.StatusCode(), body: string(rsp.Body())}
	}
	return append([]byte(nil), rsp.Body()...), nil
}

func printJSON(cmd *cli.Command, v any) error {
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
