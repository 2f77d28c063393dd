// Package control measures the control plane of the hosts alone at several fleet sizes. All hosts of a
// fleet run in one process, with one stand-in for the key-value service. They are connected by TCP up
// to 96 hosts and by in-process pipes above.
package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/host"
	"github.com/bergamotway/bergamotway/internal/peer"
	"github.com/bergamotway/bergamotway/internal/settings"
	"github.com/bergamotway/bergamotway/internal/slot"
	"github.com/bergamotway/bergamotway/internal/standin/keyvalue"
)

type (
	// fleet is the control plane of hostCount hosts.
	fleet struct {
		hostCount int
		kv        *keyvalue.Service
		pipes     *pipeNetwork
		hosts     []*fleetHost
		// reads and writes count the calls to the key-value service and the host list.
		reads  atomic.Int64
		writes atomic.Int64
		// slotRequests counts the requests for a slot, and slotGrants those that were granted.
		slotRequests atomic.Int64
		slotGrants   atomic.Int64
	}

	// fleetHost is the control plane of one host.
	fleetHost struct {
		fl           *fleet
		controlPlane *host.ControlPlane
		server       *peer.Server
		pool         *peer.Pool
		listener     net.Listener
		cancel       context.CancelFunc
		done         chan struct{}
		controlBytes atomic.Int64
		// hasSilentWatches makes the watches of the host report no changes.
		hasSilentWatches atomic.Bool
	}

	// hostPlatform is the key-value service of one host. It counts the calls and can silence the watches.
	hostPlatform struct {
		fh *fleetHost
	}

	// fakeReporter reports each endpoint as started at the same time.
	fakeReporter struct{ started time.Time }

	// results holds the measurements of one fleet size. Times are in seconds.
	results struct {
		bytesPerSecond, cpuShare, memoryBytes, readsPerSecond, writesPerSecond, configInForceTime, membershipSettleTime float64
		deathKnownTime, endpointUnownedTime, slotGrantShare                                                             float64
	}
)

const (
	zoneCount        = 6
	endpointsPerHost = 2
	// requestRatePerHost is in requests/s.
	requestRatePerHost = 5.3
	classCount         = 40
	teamsPerHost       = 7
	modelCount         = 28
	// measureTime is the length of the measurement of the steady state.
	measureTime = 10 * time.Second
	// configChangeCount is the number of configuration changes that are timed.
	configChangeCount = 3
	// waitTimeout bounds each wait for a state of the fleet.
	waitTimeout = 60 * time.Second
	// maxTCPHosts is the size of the largest fleet that is connected by TCP. 320 hosts need more TCP
	// connections than one process may open.
	maxTCPHosts = 96
	// hostsPerDead and hostsPerSilent follow the requirements: 1 host in 30 is dead, and 1 in 10 has silent
	// watches.
	hostsPerDead   = 30
	hostsPerSilent = 10
)

// Command returns the command that measures the control plane.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure the control parts at several fleet sizes",
		Flags: []cli.Flag{&cli.IntSliceFlag{Name: "sizes", Value: []int{6, 24, 96, 320}, Usage: "the fleet sizes"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			for _, n := range cmd.IntSlice("sizes") {
				if err := measure(ctx, cmd.Root().Writer, n); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// measure measures a fleet of n hosts and prints the results.
func measure(ctx context.Context, out io.Writer, n int) error {
	runtime.GC()
	debug.FreeOSMemory()
	memoryBefore := heapAndStackBytes()
	fl, err := newFleet(ctx, n)
	if err != nil {
		return err
	}
	defer fl.close()
	var rs results
	if rs.membershipSettleTime, err = fl.waitUntilFormed(ctx); err != nil {
		return err
	}
	fl.measureSteadyState(ctx, &rs)
	runtime.GC()
	rs.memoryBytes = float64(heapAndStackBytes()-memoryBefore) / float64(n)
	if err = fl.measureFailures(ctx, &rs); err != nil {
		return err
	}
	for _, line := range []struct {
		name string
		v    float64
		unit string
	}{
		{"bytes-per-second", rs.bytesPerSecond, "B/s"},
		{"cpu-share", rs.cpuShare, "1"},
		{"memory", rs.memoryBytes, "B"},
		{"reads-per-second", rs.readsPerSecond, "1/s"},
		{"writes-per-second", rs.writesPerSecond, "1/s"},
		{"config-in-force", rs.configInForceTime, "s"},
		{"places-given-share", rs.slotGrantShare, "1"},
		{"membership-settled", rs.membershipSettleTime, "s"},
		{"death-known-everywhere", rs.deathKnownTime, "s"},
		{"endpoint-without-owner", rs.endpointUnownedTime, "s"},
	} {
		if _, err = fmt.Fprintf(out, "control.%d.%s %.5g %s\n", n, line.name, line.v, line.unit); err != nil {
			return errors.Wrap(err, "control: print results")
		}
	}
	return nil
}

// newFleet stores the configuration and starts n hosts.
func newFleet(ctx context.Context, n int) (*fleet, error) {
	fl := &fleet{hostCount: n, kv: keyvalue.New(clock.System()), pipes: newPipeNetwork()}
	if _, err := configuration.NewEditor(fl.kv, "bench").Change(ctx, func(doc *configuration.Document) error {
		*doc = fl.document()
		return nil
	}); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range n {
		fh, err := fl.startHost(ctx, i, seeds)
		if err != nil {
			return nil, err
		}
		// Each host starts with the addresses of at most three others.
		if len(seeds) < 3 {
			seeds = append(seeds, fh.listener.Addr().String())
		}
		fl.hosts = append(fl.hosts, fh)
	}
	return fl, nil
}

// document returns a configuration with the proportions of the requirements: 2 endpoints and 7 teams
// for each host.
func (fl *fleet) document() configuration.Document {
	var doc configuration.Document
	for i := range zoneCount {
		doc.Zones = append(doc.Zones, configuration.Zone{Name: fmt.Sprintf("zone-%d", i)})
	}
	for i := range modelCount {
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprintf("model-%d", i), Version: "v1"})
	}
	for i := range classCount {
		doc.Classes = append(doc.Classes, configuration.Class{
			Name: fmt.Sprintf("class-%d", i), Model: fmt.Sprintf("model-%d", i%modelCount), FirstTokenTarget: settings.Duration(time.Second),
		})
	}
	for i := range fl.hostCount * endpointsPerHost {
		doc.Endpoints = append(doc.Endpoints, configuration.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("127.1.%d.%d:80", i/250, 1+i%250),
			Zone: fmt.Sprintf("zone-%d", i%zoneCount), Model: fmt.Sprintf("model-%d", i%modelCount),
		})
	}
	for i := range fl.hostCount * teamsPerHost {
		name := fmt.Sprintf("team-%d", i)
		doc.Teams = append(doc.Teams, configuration.Team{Name: name, TokenHashes: []string{configuration.HashToken(name)}})
	}
	return doc
}

// waitUntilFormed waits until every host knows all others and has the same records and a configuration.
// It returns the time that this takes, in seconds.
func (fl *fleet) waitUntilFormed(ctx context.Context) (float64, error) {
	start := time.Now()
	err := waitUntil(ctx, waitTimeout, func() bool {
		for _, fh := range fl.hosts {
			hasSameRecords := fh.controlPlane.Membership.Hash() == fl.hosts[0].controlPlane.Membership.Hash()
			if len(fh.controlPlane.Membership.View().Names()) != fl.hostCount || !hasSameRecords || fh.controlPlane.Configuration.Revision() == 0 {
				return false
			}
		}
		return true
	})
	return time.Since(start).Seconds(), err
}

// measureSteadyState measures the fleet while every host generates requests, each of which acquires and
// releases a slot.
func (fl *fleet) measureSteadyState(ctx context.Context, rs *results) {
	time.Sleep(2 * time.Second)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, fh := range fl.hosts {
		go fh.generateRequests(loadCtx)
	}
	time.Sleep(2 * time.Second)
	bytesBefore, readsBefore, writesBefore, cpuBefore := fl.totalControlBytes(), fl.reads.Load(), fl.writes.Load(), cpuTime()
	start := time.Now()
	time.Sleep(measureTime)
	took := time.Since(start).Seconds()
	rs.bytesPerSecond = float64(fl.totalControlBytes()-bytesBefore) / took / float64(fl.hostCount)
	rs.cpuShare = (cpuTime() - cpuBefore).Seconds() / took / float64(fl.hostCount)
	rs.readsPerSecond = float64(fl.reads.Load()-readsBefore) / took
	rs.slotGrantShare = float64(fl.slotGrants.Load()) / float64(max(1, fl.slotRequests.Load()))
	rs.writesPerSecond = float64(fl.writes.Load()-writesBefore) / took
}

// measureFailures silences the watches of 1 host in 10 and stops 1 host in 30. It measures the time until
// a configuration change is in force on all other hosts, an endpoint of a stopped host has a new owner,
// and all other hosts know which hosts have stopped.
func (fl *fleet) measureFailures(ctx context.Context, rs *results) error {
	for i, fh := range fl.hosts {
		fh.hasSilentWatches.Store(i%hostsPerSilent == 1)
	}
	start := time.Now()
	deadCount := max(1, fl.hostCount/hostsPerDead)
	live := fl.hosts[:fl.hostCount-deadCount]
	orphanEndpoint := fl.endpointOwnedBy(fl.hosts[fl.hostCount-1])
	for _, fh := range fl.hosts[fl.hostCount-deadCount:] {
		fh.stop()
	}
	for range configChangeCount {
		took, err := fl.timeConfigChange(ctx, live)
		if err != nil {
			return err
		}
		rs.configInForceTime = max(rs.configInForceTime, took)
	}
	requester := live[0]
	if orphanEndpoint != "" {
		err := waitUntil(ctx, waitTimeout, func() bool {
			res, err := requester.controlPlane.SlotBroker.Acquire(ctx, slot.AcquireRequest{Endpoint: orphanEndpoint, Host: "entry-0"})
			return err == nil && res.Reason != slot.NotOwner
		})
		if err != nil {
			return err
		}
		rs.endpointUnownedTime = time.Since(start).Seconds()
	}
	err := waitUntil(ctx, waitTimeout, func() bool {
		for _, fh := range live {
			if len(fh.controlPlane.Membership.View().Names()) != len(live) {
				return false
			}
		}
		return true
	})
	rs.deathKnownTime = time.Since(start).Seconds()
	return err
}

// endpointOwnedBy returns an endpoint that the host owns, or an empty string if it owns none.
func (fl *fleet) endpointOwnedBy(fh *fleetHost) string {
	for i := range fl.hostCount * endpointsPerHost {
		name := fmt.Sprintf("engine-%d", i)
		if _, isSelf := fh.controlPlane.EndpointOwner(name); isSelf {
			return name
		}
	}
	return ""
}

// timeConfigChange changes the configuration and returns the time until the change is in force on the
// live hosts, in seconds.
func (fl *fleet) timeConfigChange(ctx context.Context, live []*fleetHost) (float64, error) {
	revision, err := configuration.NewEditor(fl.kv, "bench").Change(ctx, func(doc *configuration.Document) error {
		doc.Zones[rand.IntN(len(doc.Zones))].InServiceSinceMs++
		return nil
	})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = waitUntil(ctx, waitTimeout, func() bool {
		for _, fh := range live {
			if fh.controlPlane.Configuration.Revision() < revision {
				return false
			}
		}
		return true
	})
	return time.Since(start).Seconds(), err
}

// totalControlBytes returns the control traffic of all hosts, in bytes.
func (fl *fleet) totalControlBytes() int64 {
	sum := int64(0)
	for _, fh := range fl.hosts {
		sum += fh.controlBytes.Load()
	}
	return sum
}

func (fl *fleet) close() {
	for _, fh := range fl.hosts {
		fh.stop()
	}
}

// waitUntil polls isDone until it returns true, the timeout expires or ctx ends.
func waitUntil(ctx context.Context, timeout time.Duration, isDone func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !isDone() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "control: wait for a state of the fleet")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// heapAndStackBytes returns the memory in use by the heap and the stacks of this process.
func heapAndStackBytes() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc + ms.StackInuse
}

// cpuTime returns the user and system CPU time of this process, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
