// Package demo runs entry hosts and stand-ins as separate processes on loopback, and checks them end to end.
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
	// Fleet manages the processes of entry hosts and stand-ins. It is not safe for concurrent use.
	Fleet struct {
		binDir    string
		dir       string
		processes map[string]*process

		// The addresses of the stand-ins.
		KeyValueAddress  string
		HostListAddress  string
		EngineAddresses  []string
		StoreAddresses   []string
		ServiceAddresses []string
		// Hosts are the entry hosts that bergamotctl is called with.
		Hosts []EntryHost
	}

	// EntryHost holds the name and the addresses of an entry host.
	EntryHost struct {
		Name            string
		ListenAddress   string
		OperatorAddress string
		PeerAddress     string
	}

	process struct {
		cmd *exec.Cmd

		// done is closed when the process has exited; err is set before.
		done chan struct{}
		err  error
	}

	// CheckError reports a failed check of the demo.
	CheckError struct {
		message string
	}
)

const (
	readyTimeout = 15 * time.Second
	stopTimeout  = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Error describes the failed check.
func (e *CheckError) Error() string { return "demo: " + e.message }

func checkErrorf(format string, args ...any) error {
	return &CheckError{message: fmt.Sprintf(format, args...)}
}

// NewFleet returns a fleet without processes. It runs the programs in the directory binDir, and writes settings and
// logs to a new temporary directory.
func NewFleet(binDir string) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "bergamotway-")
	if err != nil {
		return nil, errors.Wrap(err, "demo: directory")
	}
	return &Fleet{binDir: binDir, dir: dir, processes: make(map[string]*process)}, nil
}

// FreeAddress returns a loopback address with a port that is free at the moment.
func FreeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "demo: free address")
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// StartStandin starts a stand-in of a kind and returns its address once it accepts connections.
func (fl *Fleet) StartStandin(name, kind string, args ...string) (string, error) {
	address, err := FreeAddress()
	if err != nil {
		return "", err
	}
	args = append([]string{kind, "--listen", address}, args...)
	if err = fl.start(name, "standin", args...); err != nil {
		return "", err
	}
	return address, fl.awaitListening(name, address)
}

// StartHost starts an entry host at free addresses, in an availability zone and with the addresses of its peers.
func (fl *Fleet) StartHost(name, zone string, peers []string) (EntryHost, error) {
	eh := EntryHost{Name: name}
	var err error
	for _, target := range []*string{&eh.ListenAddress, &eh.OperatorAddress, &eh.PeerAddress} {
		if *target, err = FreeAddress(); err != nil {
			return eh, err
		}
	}
	return eh, fl.StartHostAt(eh, zone, peers)
}

// StartHostAt starts an entry host at the addresses of eh.
func (fl *Fleet) StartHostAt(eh EntryHost, zone string, peers []string) error {
	data, err := json.MarshalIndent(map[string]any{
		"host": eh.Name, "availability-zone": zone, "listen": eh.ListenAddress, "operator-listen": eh.OperatorAddress,
		"peer-listen": eh.PeerAddress, "key-value": fl.KeyValueAddress, "host-list": fl.HostListAddress, "peers": peers,
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
	return fl.awaitListening(eh.Name, eh.OperatorAddress)
}

// AwaitReady waits until the host reports that it is ready.
func (fl *Fleet) AwaitReady(eh EntryHost) error {
	return Await(readyTimeout, eh.Name+" is not ready", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+eh.OperatorAddress+"/health", time.Second)
		return err == nil && status == fasthttp.StatusOK
	})
}

// Await polls done until it returns true. It returns a *CheckError with the text failure after timeout.
func Await(timeout time.Duration, failure string, done func() bool) error {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return checkErrorf("%s after %v", failure, timeout)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// RunBergamotctl runs bergamotctl with args and returns its output.
func (fl *Fleet) RunBergamotctl(ctx context.Context, args ...string) (string, error) {
	globalArgs := []string{"--key-value", fl.KeyValueAddress, "--author", "demo"}
	for _, eh := range fl.Hosts {
		globalArgs = append(globalArgs, "--hosts", eh.OperatorAddress)
	}
	out, err := exec.CommandContext(ctx, filepath.Join(fl.binDir, "bergamotctl"), append(globalArgs, args...)...).CombinedOutput()
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

// PID returns the process ID of a process.
func (fl *Fleet) PID(name string) int { return fl.processes[name].cmd.Process.Pid }

// Stop sends SIGTERM to a process and waits until it exits. It returns an error if the exit status is not zero. A
// process that has not exited after stopTimeout is killed, and Stop returns a *CheckError.
func (fl *Fleet) Stop(name string) error {
	pr := fl.processes[name]
	delete(fl.processes, name)
	_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-pr.done:
		return errors.Wrapf(pr.err, "demo: %s", name)
	case <-time.After(stopTimeout):
		_ = pr.cmd.Process.Kill()
		return checkErrorf("%s did not stop within %v", name, stopTimeout)
	}
}

// Kill ends a process by SIGKILL and waits until it exits.
func (fl *Fleet) Kill(name string) {
	pr := fl.processes[name]
	delete(fl.processes, name)
	_ = pr.cmd.Process.Kill()
	<-pr.done
}

// Close kills all remaining processes, and removes settings and logs.
func (fl *Fleet) Close() {
	for name := range fl.processes {
		fl.Kill(name)
	}
	_ = os.RemoveAll(fl.dir)
}

// LogTail returns the last 4000 bytes of the log of a process.
func (fl *Fleet) LogTail(name string) string {
	data, err := os.ReadFile(filepath.Join(fl.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	const tail = 4000
	return string(data[max(0, len(data)-tail):])
}

// start starts a program under a name and appends its output to the log of that name.
func (fl *Fleet) start(name, program string, args ...string) error {
	path := filepath.Join(fl.dir, name+".log")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "demo: log")
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(filepath.Join(fl.binDir, program), args...)
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

// awaitListening waits until a process accepts connections; its error includes the log of the process.
func (fl *Fleet) awaitListening(name, address string) error {
	err := Await(readyTimeout, name+" does not accept connections", func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	if err != nil {
		return errors.Wrap(err, fl.LogTail(name))
	}
	return nil
}
