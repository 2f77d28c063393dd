// Package site runs hosts as processes against a stand-in of the users' platform.
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
	settingsVariable = "BERGAMOTWAY_SETTINGS"
	routeTimeout     = 5 * time.Second
	// eventually bounds each wait of the demo.
	eventually = 15 * time.Second
	pollPeriod = 20 * time.Millisecond
)

type (
	// CheckError reports a check of the demo that failed.
	CheckError struct {
		what string
		got  string
	}

	// demo is one host as a process, and the stand-ins around it.
	demo struct {
		store   *site.Store
		engine  *site.Endpoint
		plain   *site.Endpoint
		listen  string
		ready   string
		process *exec.Cmd
		exited  chan error
		number  int
	}
)

// Error names the check and what was seen.
func (e *CheckError) Error() string { return fmt.Sprintf("site: %s: got %s", e.what, e.got) }

// Command returns the command that runs the demo.
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

func run(ctx context.Context, bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "bergamotway-site")
	if err != nil {
		return errors.Wrap(err, "site: directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	de, err := start(ctx, bin, dir)
	if err != nil {
		return err
	}
	defer de.close()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"a request", de.request},
		{"a stream", de.stream},
		{"a change of configuration", de.change},
		{"a stop", de.stop},
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

func start(ctx context.Context, bin, dir string) (*demo, error) {
	de := &demo{exited: make(chan error, 1)}
	var err error
	if de.store, err = site.NewStore(); err != nil {
		return nil, err
	}
	if de.engine, err = site.NewEndpoint(site.EndpointOptions{
		ID: "engine-1", Service: "engines", Zone: "here", Model: site.Model, Events: 12, Pause: 5 * time.Millisecond,
	}); err != nil {
		return nil, err
	}
	if de.plain, err = site.NewEndpoint(site.EndpointOptions{ID: "plain-1", Service: "desk", Zone: "here"}); err != nil {
		return nil, err
	}
	for _, ep := range []*site.Endpoint{de.engine, de.plain} {
		key, value := ep.Entry("ready")
		if _, err = de.store.Put(key, value); err != nil {
			return nil, err
		}
	}
	if err = de.configure(1); err != nil {
		return nil, err
	}
	addresses := make([]string, 3)
	for i := range addresses {
		// A port that was free a moment ago may be given out again.
		for addresses[i] == "" || slices.Contains(addresses[:i], addresses[i]) {
			if addresses[i], err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	de.listen, de.ready = addresses[0], addresses[1]
	settings, err := json.Marshal(map[string]any{
		"host": "host-1", "availability-zone": "here", "listen": de.listen, "ready-listen": de.ready,
		"peer-listen": addresses[2], "metadata-store": de.store.Address(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "site: settings")
	}
	path := filepath.Join(dir, "settings.json")
	if err = os.WriteFile(path, settings, 0o600); err != nil {
		return nil, errors.Wrap(err, "site: settings")
	}
	de.process = exec.CommandContext(ctx, filepath.Join(bin, "bergamotway"), "gateway")
	de.process.Env = append(os.Environ(), settingsVariable+"="+path)
	if err = de.process.Start(); err != nil {
		return nil, errors.Wrap(err, "site: start")
	}
	go func() { de.exited <- de.process.Wait() }()
	return de, de.await("the host is ready", func() bool {
		rsp, err := http.Get("http://" + de.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = rsp.Body.Close()
		return rsp.StatusCode == http.StatusOK
	})
}

func (de *demo) configure(version int, more ...string) error {
	routes := []site.Route{
		{Name: "pay", Kind: "non_idempotent", Service: "desk", Timeout: routeTimeout},
		{Name: "note", Kind: "streaming", Service: "engines", Timeout: routeTimeout},
	}
	for _, name := range more {
		routes = append(routes, site.Route{Name: name, Kind: "idempotent", Service: "desk", Timeout: routeTimeout})
	}
	return de.store.Configure(version, "", routes...)
}

func (de *demo) send(ctx context.Context, path string) (status int, body string, err error) {
	de.number++
	re := site.Send(ctx, http.DefaultTransport, de.listen, site.Request{
		ID: fmt.Sprintf("demo-%d", de.number), Method: http.MethodPost, URI: path, Body: []byte("body"), Model: site.Model,
	})
	return re.Status, re.Body, re.Err
}

func (de *demo) request(ctx context.Context) error {
	status, body, err := de.send(ctx, "/pay/1")
	if err != nil {
		return err
	}
	if status != http.StatusOK || body != fmt.Sprintf("body of demo-%d", de.number) || len(de.plain.Runs()) != 1 {
		return &CheckError{what: "a request runs once and its answer is returned", got: fmt.Sprintf("%d %q", status, body)}
	}
	return nil
}

func (de *demo) stream(ctx context.Context) error {
	status, body, err := de.send(ctx, "/note/1")
	if err != nil {
		return err
	}
	if events := strings.Count(body, "\n\n"); status != http.StatusOK || events != 12 {
		return &CheckError{what: "a stream has all its events", got: fmt.Sprintf("%d with %d events", status, events)}
	}
	return nil
}

func (de *demo) change(ctx context.Context) error {
	if status, _, err := de.send(ctx, "/look/1"); err != nil || status != http.StatusNotFound {
		return &CheckError{what: "a route that does not exist", got: fmt.Sprint(status, err)}
	}
	if err := de.configure(2, "look"); err != nil {
		return err
	}
	return de.await("a new route is served", func() bool {
		status, _, err := de.send(ctx, "/look/1")
		return err == nil && status == http.StatusOK
	})
}

func (de *demo) stop(context.Context) error {
	if err := de.process.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrap(err, "site: signal")
	}
	select {
	case err := <-de.exited:
		de.exited <- err
		if err != nil {
			return &CheckError{what: "a planned stop", got: err.Error()}
		}
		return nil
	case <-time.After(eventually):
		return &CheckError{what: "a planned stop", got: "a process that still runs"}
	}
}

func (de *demo) await(what string, holds func() bool) error {
	deadline := time.Now().Add(eventually)
	for time.Now().Before(deadline) {
		if holds() {
			return nil
		}
		time.Sleep(pollPeriod)
	}
	return &CheckError{what: what, got: "nothing of the kind in time"}
}

func (de *demo) close() {
	defer de.store.Close()
	defer de.plain.Close()
	defer de.engine.Close()
	// A process that has ended already cannot be killed.
	_ = de.process.Process.Kill()
	if err := <-de.exited; err != nil {
		// A process that was killed ends with an error of its own.
		return
	}
}

// freeAddress returns an address on loopback that was free a moment ago, on an IP number that no
// other process of this kind uses.
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
