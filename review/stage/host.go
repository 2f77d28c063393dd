// Package stage starts hosts as processes against stand-ins for the platform, on loopback addresses.
package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	settingsEnv  = "BERGAMOTWAY_SETTINGS"
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Host is a process of the gateway, started with the command of the deploy file.
type Host struct {
	name    string
	listen  string
	ready   string
	process *Process
}

// StartHost starts a host with the settings of a small deployment, and waits until it is ready. Its log goes to a file in dir.
func StartHost(root, dir, name, zone, store string) (*Host, error) {
	addresses := make([]string, 0, 4)
	for range 4 {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	settings, err := json.Marshal(map[string]any{
		"host": name, "availability-zone": zone, "listen": addresses[0], "ready-listen": addresses[1], "peer-listen": addresses[2],
		"metrics-listen": addresses[3], "metadata-store": store, "weight": 0.4, "link-mbps": 1000, "memory-mib": 284,
		"bounds": map[string]any{
			"expose-share": 0, "expose-slack": 0, "rollback-ms": 0, "stop-ms": 8000, "apply-ms": 2000, "lease-ms": 3000, "weights-ms": 15000,
			"repeat-ratio": 0.2, "repeat-window-s": 10, "repeat-slack": 52,
		},
	})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("target/bergamotway", "gateway")
	cmd.Dir = root
	cmd.Env = append(os.Environ(), settingsEnv+"="+path)
	ps, err := startProcess(cmd, filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	ho := &Host{name: name, listen: addresses[0], ready: addresses[1], process: ps}
	if err := Await(readyTimeout, ho.isReady); err != nil {
		ps.Kill()
		return nil, fmt.Errorf("host %s is not ready: %w", name, err)
	}
	return ho, nil
}

// Address returns the address on which the host serves clients.
func (ho *Host) Address() string { return ho.listen }

// Process returns the process of the host.
func (ho *Host) Process() *Process { return ho.process }

func (ho *Host) isReady() bool {
	rsp, err := http.Get("http://" + ho.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// Await polls until the condition holds, and fails after the timeout.
func Await(timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("nothing of the kind within %s", timeout)
		}
	}
	return nil
}

// FreeAddress returns a loopback address with a port that is free at the moment, for TCP and UDP.
func FreeAddress() (string, error) {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		pc, err := net.ListenPacket("udp", address)
		_ = ln.Close()
		if err == nil {
			_ = pc.Close()
			return address, nil
		}
	}
}

func accepts(address string) bool {
	nc, err := net.Dial("tcp", address)
	if err == nil {
		_ = nc.Close()
	}
	return err == nil
}
