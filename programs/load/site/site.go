// Package site runs a host as a process against a stand-in for the platform, and checks it end to end.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	settingsEnv  = "BERGAMOTWAY_SETTINGS"
	routeTimeout = 5 * time.Second
	// checkTimeout bounds each wait for a condition or for the exit of the process.
	checkTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// CheckError reports a failed check of the demo.
	CheckError struct {
		check string
		got   string
	}

	// demo holds the process of a host and the stand-ins that it uses.
	demo struct {
		store         *site.Store
		engine        *site.Endpoint
		service       *site.Endpoint
		listenAddress string
		readyAddress  string
		process       *exec.Cmd
		// exited receives the result of process.Wait.
		exited       chan error
		requestCount int
	}
)

// Error returns the name of the check and the observed result.
func (e *CheckError) Error() string { return fmt.Sprintf("site: %s: got %s", e.check, e.got) }

// Command returns the CLI command that runs the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo-platform",
		Usage: "run a host as a process against a stand-in of the platform and check it",
		Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Value: ".bin", Usage: "the directory of the programs"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return run(ctx, cmd.String("bin"), cmd.Root().Writer)
		},
	}
}

func run(ctx context.Context, binDir string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "bergamotway-site")
	if err != nil {
		return errors.Wrap(err, "site: directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	de, err := startDemo(ctx, binDir, dir)
	if err != nil {
		return err
	}
	defer de.close()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a request", de.checkRequest},
		{"a stream", de.checkStream},
		{"a change of configuration", de.checkConfigurationChange},
		{"a stop", de.checkStop},
	}
	for _, st := range steps {
		if err := st.run(ctx); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(out, "ok:", st.name); err != nil {
			return err
		}
	}
	return nil
}

// startDemo starts the stand-ins and the host, and waits until the host is ready.
func startDemo(ctx context.Context, binDir, dir string) (*demo, error) {
	de := &demo{exited: make(chan error, 1)}
	var err error
	if de.store, err = site.NewStore(); err != nil {
		return nil, err
	}
	if de.engine, err = site.NewEndpoint(site.EndpointOptions{
		ID: "engine-1", Service: "engines", Zone: "here", Model: site.Model, EventCount: 12, EventInterval: 5 * time.Millisecond,
	}); err != nil {
		return nil, err
	}
	if de.service, err = site.NewEndpoint(site.EndpointOptions{ID: "plain-1", Service: "desk", Zone: "here"}); err != nil {
		return nil, err
	}
	for _, ep := range []*site.Endpoint{de.engine, de.service} {
		key, value := ep.Entry("ready")
		if _, err = de.store.Put(key, value); err != nil {
			return nil, err
		}
	}
	if err = de.writeConfiguration(1); err != nil {
		return nil, err
	}
	addresses := make([]string, 3)
	for i := range addresses {
		// The kernel may assign a port again once it is released.
		for addresses[i] == "" || slices.Contains(addresses[:i], addresses[i]) {
			if addresses[i], err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	de.listenAddress, de.readyAddress = addresses[0], addresses[1]
	settings, err := json.Marshal(map[string]any{
		"host": "host-1", "availability-zone": "here", "listen": de.listenAddress, "ready-listen": de.readyAddress,
		"peer-listen": addresses[2], "metadata-store": de.store.Address(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "site: settings")
	}
	path := filepath.Join(dir, "settings.json")
	if err = os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "site: settings")
	}
	de.process = exec.CommandContext(ctx, filepath.Join(binDir, "bergamotway"), "gateway")
	de.process.Env = append(os.Environ(), settingsEnv+"="+path)
	if err = de.process.Start(); err != nil {
		return nil, errors.Wrap(err, "site: start")
	}
	go func() { de.exited <- de.process.Wait() }()
	return de, de.await("the host is ready", func() bool {
		rsp, err := http.Get("http://" + de.readyAddress + "/readyz")
		if err != nil {
			return false
		}
		_ = rsp.Body.Close()
		return rsp.StatusCode == http.StatusOK
	})
}

// writeConfiguration writes the operator's configuration, with an idempotent route for each of extraRoutes.
func (de *demo) writeConfiguration(version int, extraRoutes ...string) error {
	routes := []site.Route{
		{Name: "pay", Kind: "non_idempotent", Service: "desk", Timeout: routeTimeout},
		{Name: "note", Kind: "streaming", Service: "engines", Timeout: routeTimeout},
	}
	for _, name := range extraRoutes {
		routes = append(routes, site.Route{Name: name, Kind: "idempotent", Service: "desk", Timeout: routeTimeout})
	}
	return de.store.Configure(version, "", routes...)
}

// send sends a request to the host.
func (de *demo) send(ctx context.Context, path string) (status int, body string, err error) {
	de.requestCount++
	re := site.Send(ctx, http.DefaultTransport, de.listenAddress, site.Request{
		ID: fmt.Sprintf("demo-%d", de.requestCount), Method: http.MethodPost, URI: path, Body: []byte("body"), Model: site.Model,
	})
	return re.Status, re.Body, re.Err
}

// checkRequest checks that a request runs once and that its response reaches the client.
func (de *demo) checkRequest(ctx context.Context) error {
	status, body, err := de.send(ctx, "/pay/1")
	if err != nil {
		return err
	}
	if status != http.StatusOK || body != fmt.Sprintf("body of demo-%d", de.requestCount) || len(de.service.RecordedRequests()) != 1 {
		return &CheckError{check: "a request runs once and its answer is returned", got: fmt.Sprintf("%d %q", status, body)}
	}
	return nil
}

// checkStream checks that a stream reaches the client with all its events.
func (de *demo) checkStream(ctx context.Context) error {
	status, body, err := de.send(ctx, "/note/1")
	if err != nil {
		return err
	}
	if events := strings.Count(body, "\n\n"); status != http.StatusOK || events != 12 {
		return &CheckError{check: "a stream has all its events", got: fmt.Sprintf("%d with %d events", status, events)}
	}
	return nil
}

// checkConfigurationChange checks that a new route is served once the configuration contains it.
func (de *demo) checkConfigurationChange(ctx context.Context) error {
	if status, _, err := de.send(ctx, "/look/1"); err != nil || status != http.StatusNotFound {
		return &CheckError{check: "a route that does not exist", got: fmt.Sprint(status, err)}
	}
	if err := de.writeConfiguration(2, "look"); err != nil {
		return err
	}
	return de.await("a new route is served", func() bool {
		status, _, err := de.send(ctx, "/look/1")
		return err == nil && status == http.StatusOK
	})
}

// checkStop checks that the process exits with 0 after SIGTERM.
func (de *demo) checkStop(context.Context) error {
	if err := de.process.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "site: signal")
	}
	select {
	case err := <-de.exited:
		de.exited <- err
		if err != nil {
			return &CheckError{check: "a planned stop", got: err.Error()}
		}
		return nil
	case <-time.After(checkTimeout):
		return &CheckError{check: "a planned stop", got: "a process that still runs"}
	}
}

// await polls condition until it holds, and returns a *CheckError after checkTimeout.
func (de *demo) await(check string, condition func() bool) error {
	deadline := time.Now().Add(checkTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &CheckError{check: check, got: "nothing of the kind in time"}
}

func (de *demo) close() {
	defer de.store.Close()
	defer de.service.Close()
	defer de.engine.Close()
	// The error is ignored: Kill fails if the process has already exited.
	_ = de.process.Process.Kill()
	if err := <-de.exited; err != nil {
		// A killed process exits with an error.
		return
	}
}

// freeAddress returns a loopback address with a port that is free at the moment. The IP address is derived from the
// process ID, so that concurrent demos use different ones.
func freeAddress() (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 129+pid&63)
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "site: address")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
