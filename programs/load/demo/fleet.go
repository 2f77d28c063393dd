// Package demo runs the whole system as separate processes on loopback.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

type (
	// Fleet is a set of processes. It is not safe for concurrent use.
	Fleet struct {
		bin       string
		dir       string
		processes map[string]*process

		// KeyValue, Engines, Stores and Services are the addresses of stand-ins.
		KeyValue string
		HostList string
		Engines  []string
		Stores   []string
		Services []string
		// Hosts are the entry hosts.
		Hosts []EntryHost
	}

	// EntryHost is one daemon.
	EntryHost struct {
		Name     string
		Listen   string
		Operator string
		Peer     string
	}

	process struct {
		cmd *exec.Cmd

		done chan struct{}
		err  error
	}

	// CheckError reports a check of the demo that failed.
	CheckError struct {
		what string
	}
)

const (
	readyLimit = 15 * time.Second
	stopLimit  = 15 * time.Second
	pollPeriod = 20 * time.Millisecond
)

// Error says what failed.
func (e *CheckError) Error() string { return "demo: " + e.what }

func failed(format string, args ...any) error {
	return &CheckError{what: fmt.Sprintf(format, args...)}
}

// NewFleet returns a fleet without processes. Programs are taken from bin, and settings and logs go
// to a new directory.
func NewFleet(bin string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "bergamotway-")
	if err != nil {
		return nil, errors.Wrap(err, "demo: directory")
	}
	return &Fleet{bin: bin, dir: dir, processes: make(map[string]*process)}, nil
}

// FreeAddress returns a loopback address that is free now.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo: free address")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// StartStandin starts a stand-in and returns its address once it accepts connections.
func (fl *Fleet) StartStandin(name, kind string, args ...string) (string, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", err
	}
	args = append([]string{kind, "--listen", address}, args...)
	if err = fl.start(name, "standin", args...); err != nil {
		return "", err
	}
	return address, fl.awaitAccept(name, address)
}

// StartHost starts an entry host with the given peers and zone.
func (fl *Fleet) StartHost(name, zone string, peers []string) (EntryHost, error) {
	eh := EntryHost{Name: name}
	var err error
	for _, target := range []*string{&eh.Listen, &eh.Operator, &eh.Peer} {
		if *target, err = FreeAddress(); err != nil {
			return eh, err
		}
	}
	return eh, fl.StartHostAt(eh, zone, peers)
}

// StartHostAt starts an entry host at known addresses.
func (fl *Fleet) StartHostAt(eh EntryHost, zone string, peers []string) error {
	data, err := json.MarshalIndent(map[string]any{
		"host": eh.Name, "availability-zone": zone, "listen": eh.Listen, "operator-listen": eh.Operator,
		"peer-listen": eh.Peer, "key-value": fl.KeyValue, "host-list": fl.HostList, "peers": peers,
		"stop-deadline": "20s", "limits": map[string]any{"silence": "2s"},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "demo: settings")
	}
	path := filepath.Join(fl.dir, eh.Name+".json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return errors.Wrap(err, "demo: settings")
	}
	if err = fl.start(eh.Name, "bergamotway", "serve", "--settings", path); err != nil {
		return err
	}
	return fl.awaitAccept(eh.Name, eh.Operator)
}

// AwaitReady waits until the host says that it is ready.
func (fl *Fleet) AwaitReady(eh EntryHost) error {
	return Await(readyLimit, eh.Name+" is not ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+eh.Operator+"/health", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// Await polls until done, and fails with what after limit.
func Await(limit time.Duration, what string, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) {
			return failed("%s after %v", what, limit)
		}
		time.Sleep(pollPeriod)
	}
	return nil
}

// Control runs bergamotctl and returns what it printed.
func (fl *Fleet) Control(ctx context.Context, args ...string) (string, error) {
	base := []string{"--key-value", fl.KeyValue, "--author", "demo"}
	for _, eh := range fl.Hosts {
		base = append(base, "--hosts", eh.Operator)
	}
	out, err := exec.CommandContext(ctx, filepath.Join(fl.bin, "bergamotctl"), append(base, args...)...).CombinedOutput()
	return string(out), errors.Wrapf(err, "demo: bergamotctl: %s", out)
}

// WriteFile writes a file into the fleet's directory and returns its path.
func (fl *Fleet) WriteFile(name string, v any) (string, error) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "demo: file")
	}
	path := filepath.Join(fl.dir, name)
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "demo: file")
}

// Signal sends a signal to a process.
func (fl *Fleet) Signal(name string, sig syscall.Signal) error {
	return errors.Wrap(fl.processes[name].cmd.Process.Signal(sig), "demo: signal")
}

// Process returns the process number of a process.
func (fl *Fleet) Process(name string) int { return fl.processes[name].cmd.Process.Pid }

// Stop ends a process by SIGTERM and returns how it ended.
func (fl *Fleet) Stop(name string) error {
	pr := fl.processes[name]
	delete(fl.processes, name)
	_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-pr.done:
		return errors.Wrapf(pr.err, "demo: %s", name)
	case <-time.After(stopLimit):
		_ = pr.cmd.Process.Kill()
		return failed("%s did not stop within %v", name, stopLimit)
	}
}

// Kill ends a process at once.
func (fl *Fleet) Kill(name string) {
	pr := fl.processes[name]
	delete(fl.processes, name)
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

// Close ends every process that is left, and removes settings and logs.
func (fl *Fleet) Close() {
	for name := range fl.processes {
		fl.Kill(name)
	}
	_ = os.RemoveAll(fl.dir)
}

// Logs returns the end of a process's log.
func (fl *Fleet) Logs(name string) string {
	data, err := os.ReadFile(filepath.Join(fl.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	const tail = 4000
	return string(data[max(0, len(data)-tail):])
}

func (fl *Fleet) start(name, program string, args ...string) error {
	path := filepath.Join(fl.dir, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "demo: log")
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(filepath.Join(fl.bin, program), args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err = cmd.Start(); err != nil {
		return errors.Wrapf(err, "demo: start %s", name)
	}
	pr := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		pr.err = cmd.Wait()
		close(pr.done)
	}()
	fl.processes[name] = pr
	return nil
}

func (fl *Fleet) awaitAccept(name, address string) error {
	err := Await(readyLimit, name+" does not accept connections", func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	if err != nil {
		return errors.Wrap(err, fl.Logs(name))
	}
	return nil
}
