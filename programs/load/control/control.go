// Package control measures the control parts alone at several fleet sizes: many hosts in one
// process, TCP between them up to 96 hosts and pipes above, and one key-value stand-in.
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
	// fleet is the control parts of n hosts.
	fleet struct {
		n     int
		kv    *keyvalue.Service
		pipes *network
		hosts []*member
		reads atomic.Int64
		write atomic.Int64
		// asked and answered count the questions for a place.
		asked    atomic.Int64
		answered atomic.Int64
	}

	// member is the control part of one host.
	member struct {
		fl       *fleet
		control  *host.Control
		server   *peer.Server
		pool     *peer.Pool
		listener net.Listener
		cancel   context.CancelFunc
		done     chan struct{}
		bytes    atomic.Int64
		isSilent atomic.Bool
	}

	// memberPlatform is the key-value service as one host sees it.
	memberPlatform struct {
		me *member
	}

	fakeReporter struct{ started time.Time }

	figures struct {
		bytes, cpu, memory, reads, writes, inForce, settle float64
		dead, owner, granted                               float64
	}
)

const (
	zones           = 6
	workersPerHost  = 2
	requestsPerHost = 5.3
	classes         = 40
	teamsPerHost    = 7
	models          = 28
	// measureTime is how long the steady state is measured.
	measureTime = 10 * time.Second
	// changes is how many changes of configuration are timed.
	changes   = 3
	formLimit = 60 * time.Second
	// tcpLimit is the largest fleet that talks over TCP; larger ones use pipes in the process.
	tcpLimit = 96
	// deadShare and silentShare are the letter's: 1 host in 30 dead, watches silent on 1 in 10.
	deadShare   = 30
	silentShare = 10
)

// Command returns the command that measures the control parts.
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

func measure(ctx context.Context, out io.Writer, n int) error {
	runtime.GC()
	debug.FreeOSMemory()
	before := heap()
	fl, err := newFleet(ctx, n)
	if err != nil {
		return err
	}
	defer fl.close()
	var fg figures
	if fg.settle, err = fl.form(ctx); err != nil {
		return err
	}
	fl.steady(ctx, &fg)
	runtime.GC()
	fg.memory = float64(heap()-before) / float64(n)
	if err = fl.failSome(ctx, &fg); err != nil {
		return err
	}
	for _, line := range []struct {
		name string
		v    float64
		unit string
	}{
		{"bytes-per-second", fg.bytes, "B/s"},
		{"cpu-share", fg.cpu, "1"},
		{"memory", fg.memory, "B"},
		{"reads-per-second", fg.reads, "1/s"},
		{"writes-per-second", fg.writes, "1/s"},
		{"config-in-force", fg.inForce, "s"},
		{"places-given-share", fg.granted, "1"},
		{"membership-settled", fg.settle, "s"},
		{"death-known-everywhere", fg.dead, "s"},
		{"endpoint-without-owner", fg.owner, "s"},
	} {
		if _, err = fmt.Fprintf(out, "control.%d.%s %.5g %s\n", n, line.name, line.v, line.unit); err != nil {
			return errors.Wrap(err, "control: print")
		}
	}
	return nil
}

func newFleet(ctx context.Context, n int) (*fleet, error) {
	fl := &fleet{n: n, kv: keyvalue.New(clock.System()), pipes: newNetwork()}
	if _, err := configuration.NewEditor(fl.kv, "bench").Change(ctx, func(doc *configuration.Document) error {
		*doc = fl.document()
		return nil
	}); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range n {
		me, err := fl.start(ctx, i, seeds)
		if err != nil {
			return nil, err
		}
		// Each host begins with the addresses of three others.
		if len(seeds) < 3 {
			seeds = append(seeds, me.listener.Addr().String())
		}
		fl.hosts = append(fl.hosts, me)
	}
	return fl, nil
}

// document is the configuration at the letter's proportions: 2 endpoints and 7 teams a host.
func (fl *fleet) document() configuration.Document {
	var doc configuration.Document
	for i := range zones {
		doc.Zones = append(doc.Zones, configuration.Zone{Name: fmt.Sprintf("zone-%d", i)})
	}
	for i := range models {
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprintf("model-%d", i), Version: "v1"})
	}
	for i := range classes {
		doc.Classes = append(doc.Classes, configuration.Class{
			Name: fmt.Sprintf("class-%d", i), Model: fmt.Sprintf("model-%d", i%models), FirstToken: settings.Duration(time.Second),
		})
	}
	for i := range fl.n * workersPerHost {
		doc.Endpoints = append(doc.Endpoints, configuration.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("127.1.%d.%d:80", i/250, 1+i%250),
			Zone: fmt.Sprintf("zone-%d", i%zones), Model: fmt.Sprintf("model-%d", i%models),
		})
	}
	for i := range fl.n * teamsPerHost {
		name := fmt.Sprintf("team-%d", i)
		doc.Teams = append(doc.Teams, configuration.Team{Name: name, TokenHashes: []string{configuration.HashToken(name)}})
	}
	return doc
}

// form waits until every host knows all others, has the same records and has the configuration.
func (fl *fleet) form(ctx context.Context) (float64, error) {
	began := time.Now()
	err := await(ctx, formLimit, func() bool {
		for _, me := range fl.hosts {
			isEqual := me.control.Table.Hash() == fl.hosts[0].control.Table.Hash()
			if len(me.control.Table.View().Names()) != fl.n || !isEqual || me.control.Keeper.Revision() == 0 {
				return false
			}
		}
		return true
	})
	return time.Since(began).Seconds(), err
}

// steady measures a fleet that serves its share of requests: each takes and gives back a place.
func (fl *fleet) steady(ctx context.Context, fg *figures) {
	time.Sleep(2 * time.Second)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, me := range fl.hosts {
		go me.traffic(loadCtx)
	}
	time.Sleep(2 * time.Second)
	bytes, reads, writes, cpu := fl.bytes(), fl.reads.Load(), fl.write.Load(), cpuTime()
	began := time.Now()
	time.Sleep(measureTime)
	took := time.Since(began).Seconds()
	fg.bytes = float64(fl.bytes()-bytes) / took / float64(fl.n)
	fg.cpu = (cpuTime() - cpu).Seconds() / took / float64(fl.n)
	fg.reads = float64(fl.reads.Load()-reads) / took
	fg.granted = float64(fl.answered.Load()) / float64(max(1, fl.asked.Load()))
	fg.writes = float64(fl.write.Load()-writes) / took
}

// failSome kills 1 host in 30 and silences the watches of 1 in 10, and times how fast changes are
// in force on all others.
func (fl *fleet) failSome(ctx context.Context, fg *figures) error {
	for i, me := range fl.hosts {
		me.isSilent.Store(i%silentShare == 1)
	}
	began := time.Now()
	dead := max(1, fl.n/deadShare)
	live := fl.hosts[:fl.n-dead]
	orphan := fl.orphanOf(fl.hosts[fl.n-1])
	for _, me := range fl.hosts[fl.n-dead:] {
		me.stop()
	}
	for range changes {
		took, err := fl.timeChange(ctx, live)
		if err != nil {
			return err
		}
		fg.inForce = max(fg.inForce, took)
	}
	asker := live[0]
	if orphan != "" {
		err := await(ctx, formLimit, func() bool {
			ans, err := asker.control.Desk.Take(ctx, slot.Ask{Endpoint: orphan, Host: "entry-0"})
			return err == nil && ans.Reason != slot.NotOwner
		})
		if err != nil {
			return err
		}
		fg.owner = time.Since(began).Seconds()
	}
	err := await(ctx, formLimit, func() bool {
		for _, me := range live {
			if len(me.control.Table.View().Names()) != len(live) {
				return false
			}
		}
		return true
	})
	fg.dead = time.Since(began).Seconds()
	return err
}

// orphanOf returns an endpoint that the host owns.
func (fl *fleet) orphanOf(me *member) string {
	for i := range fl.n * workersPerHost {
		name := fmt.Sprintf("engine-%d", i)
		if _, isSelf := me.control.EndpointOwner(name); isSelf {
			return name
		}
	}
	return ""
}

func (fl *fleet) timeChange(ctx context.Context, live []*member) (float64, error) {
	revision, err := configuration.NewEditor(fl.kv, "bench").Change(ctx, func(doc *configuration.Document) error {
		doc.Zones[rand.IntN(len(doc.Zones))].InSince++
		return nil
	})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	err = await(ctx, formLimit, func() bool {
		for _, me := range live {
			if me.control.Keeper.Revision() < revision {
				return false
			}
		}
		return true
	})
	return time.Since(began).Seconds(), err
}

func (fl *fleet) bytes() int64 {
	sum := int64(0)
	for _, me := range fl.hosts {
		sum += me.bytes.Load()
	}
	return sum
}

func (fl *fleet) close() {
	for _, me := range fl.hosts {
		me.stop()
	}
}

func await(ctx context.Context, limit time.Duration, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "control: await")
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

func heap() uint64 {
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc + ms.StackInuse
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
