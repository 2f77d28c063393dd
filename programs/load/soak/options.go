package soak

import (
	"cmp"
	"io"
	"time"
)

const (
	defaultHosts   = 3
	defaultClients = 16
	defaultLength  = 15 * time.Second
)

// Options configures a run. The zero value is the short run of CI, with the programs in the current directory.
type Options struct {
	// BinDir is the directory of the programs.
	BinDir string
	Seed   int64
	// Length is how long faults are injected.
	Length time.Duration
	// Hosts and Clients are the number of hosts and of clients.
	Hosts, Clients int
	// Engines and Desks are the number of engines and of desk workers that run as processes. With engines, clients mostly take up
	// streams, and the software of the engines is released while the soak runs.
	Engines, Desks int
	// Teams is the number of teams whose clients send requests. With several, beside engines that run as processes, teams become
	// exclusive and shared again while the soak runs, and the uses of KV cache are judged.
	Teams int
	// SloppyPercent is the part of the runs of engines that go on after an event and leave one out or repeat one, which engines
	// should not.
	SloppyPercent int
	// Disturbances names the disturbances of engines, hosts and the metadata store that come beside the faults; empty means all.
	Disturbances []string
	// WithoutFaults leaves the other faults out.
	WithoutFaults bool
	// OldProgram is the bergamotway program of an earlier build that the hosts run until they are replaced one after the other;
	// empty if there is none.
	OldProgram string
	// StaysMixed leaves every second host at OldProgram, and the others at the current one, for the whole run.
	StaysMixed bool
	// LogDir is the directory for the hosts' output; empty keeps none.
	LogDir string
	Out    io.Writer
}

// withDefaults returns the options with the defaults of CI for zero values.
func (op Options) withDefaults() Options {
	op.Length = cmp.Or(op.Length, defaultLength)
	op.Hosts, op.Clients = cmp.Or(op.Hosts, defaultHosts), cmp.Or(op.Clients, defaultClients)
	if op.Out == nil {
		op.Out = io.Discard
	}
	return op
}

// hasTeams reports whether teams become exclusive while the soak runs.
func (op Options) hasTeams() bool { return op.hasWorkers() && op.Teams > 1 }

// hasWorkers reports whether engines run as processes.
func (op Options) hasWorkers() bool { return op.Engines > 0 }
