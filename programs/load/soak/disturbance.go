package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	// undelimitedPercent is the part of the workers' answers that have neither a length nor chunks.
	undelimitedPercent = 25
	// deskUndelimitedPercent is that part at desk workers, and deskPause the time between the two halves of their bodies.
	deskUndelimitedPercent = 60
	deskPause              = 400 * time.Millisecond
	// workerFaultPause is how much longer the pauses between the other faults are beside disturbances.
	workerFaultPause = 4
	// disturbanceInterval is the mean pause between the starts of two disturbances, which overlap.
	disturbanceInterval = 1200 * time.Millisecond
	// standstillTime is how long hosts stand still, and outage how long the metadata store is away for all.
	standstillTime = 2500 * time.Millisecond
	outage         = 4 * time.Second
	// releasePause is the time for which a release has replaced half of the engines.
	releasePause = 2500 * time.Millisecond
	drainTime    = 600 * time.Millisecond
	// minRestartTime and maxRestartTime bound the time between the end of an engine and its next start.
	minRestartTime = 100 * time.Millisecond
	maxRestartTime = 600 * time.Millisecond
	// maxEntryDelay is how late the entry of an engine may come that starts again in place.
	maxEntryDelay = 2 * time.Second
)

// disturbance is a kind of disturbance, which comes as often as its weight tells.
type disturbance struct {
	name   string
	weight int
	do     func(rd *rand.Rand)
}

// softwareVersion returns the name of a release of the engines' software.
func softwareVersion(release int64) string { return fmt.Sprint("v", release+1) }

// disturb starts disturbances of hosts, engines and the metadata store for opts.Length, and waits until they have ended.
func (tb *testbed) disturb(ctx context.Context, rd *rand.Rand) {
	kinds := []disturbance{
		{"release", 4, tb.releaseSoftware},
		{"engines-in-place", 2, func(rd *rand.Rand) { tb.restartInPlace(rd, 1+rd.Intn(3), 0) }},
		{"engines-in-place-late-entry", 2, func(rd *rand.Rand) { tb.restartInPlace(rd, 1+rd.Intn(3), maxEntryDelay) }},
		{"standstill-at-release", 3, func(rd *rand.Rand) {
			tb.together(rd, tb.stopHosts, tb.releaseSoftware)
		}},
		{"store-away", 2, tb.takeStoreAway},
		{"store-away-at-restarts", 3, func(rd *rand.Rand) {
			tb.together(rd, tb.takeStoreAway, func(rd *rand.Rand) {
				time.Sleep(200 * time.Millisecond)
				tb.restartInPlace(rd, 2+rd.Intn(3), 0)
			})
		}},
		{"cut-from-store", 2, func(rd *rand.Rand) { tb.cutHosts(rd, true, false) }},
		{"cut-from-hosts", 2, func(rd *rand.Rand) { tb.cutHosts(rd, false, true) }},
		{"cut-from-both", 2, func(rd *rand.Rand) { tb.cutHosts(rd, true, true) }},
		{"cut-at-release", 3, func(rd *rand.Rand) {
			tb.together(rd, func(rd *rand.Rand) { tb.cutHosts(rd, true, rd.Intn(2) == 0) }, tb.releaseSoftware)
		}},
		{"desk-killed", 2, tb.killDesk},
		{"calm", 0, func(*rand.Rand) {}},
	}
	if tb.opts.hasTeams() {
		kinds = append(kinds, tb.teamDisturbances()...)
	}
	var bag []int
	for i, ki := range kinds {
		weight := ki.weight
		if len(tb.opts.Disturbances) > 0 {
			weight = 0
			if slices.Contains(tb.opts.Disturbances, ki.name) {
				weight = max(1, ki.weight)
			}
		}
		for range weight {
			bag = append(bag, i)
		}
	}
	if len(bag) == 0 {
		tb.printError(fmt.Errorf("there is no disturbance %q", tb.opts.Disturbances))
		return
	}
	var wg sync.WaitGroup
	deadline := time.Now().Add(tb.opts.Length)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ki := kinds[bag[rd.Intn(len(bag))]]
		own := rand.New(rand.NewSource(rd.Int63()))
		tb.faultCounts.add(ki.name)
		wg.Go(func() { ki.do(own) })
		time.Sleep(disturbanceInterval/2 + time.Duration(rd.Int63n(int64(disturbanceInterval))))
	}
	wg.Wait()
}

// together runs disturbances at the same time, each with a source of its own.
func (tb *testbed) together(rd *rand.Rand, disturbances ...func(rd *rand.Rand)) {
	var wg sync.WaitGroup
	for _, do := range disturbances {
		own := rand.New(rand.NewSource(rd.Int63()))
		wg.Go(func() { do(own) })
	}
	wg.Wait()
}

// releaseSoftware replaces half of the engines by ones of a new version, and after a while the others. Some of the new ones crash
// meanwhile.
func (tb *testbed) releaseSoftware(rd *rand.Rand) {
	release := tb.release.Add(1)
	order := rd.Perm(tb.opts.Engines)
	half := len(order) / 2
	replace := func(indexes []int) {
		for _, i := range indexes {
			tb.replaceEngine(rd, tb.workers[i], release)
		}
	}
	replace(order[:half])
	time.Sleep(releasePause / 2)
	for _, i := range order[:half/2] {
		tb.restartEngine(rd, tb.workers[i], release, 0)
	}
	time.Sleep(releasePause / 2)
	replace(order[half:])
}

// replaceEngine ends an engine, announced or not, and starts the next version in place or beside its address.
func (tb *testbed) replaceEngine(rd *rand.Rand, wp *workerProcess, release int64) {
	if !wp.busy.TryLock() {
		return
	}
	defer wp.busy.Unlock()
	opts := wp.options()
	id, isAnnounced := opts.ID, rd.Intn(2) == 0
	if isAnnounced && !tb.isStoreAway() {
		tb.printError(wp.register("draining"))
		time.Sleep(drainTime)
	}
	wp.kill()
	if rd.Intn(3) == 0 {
		id = fmt.Sprintf("%s-r%d", strings.SplitN(opts.ID, "-r", 2)[0], release)
		tb.store.Remove(opts.key())
	}
	time.Sleep(minRestartTime + time.Duration(rd.Int63n(int64(maxRestartTime-minRestartTime))))
	tb.startEngine(rd, wp, id, release, 0)
}

// restartEngine kills an engine and starts it again in place.
func (tb *testbed) restartEngine(rd *rand.Rand, wp *workerProcess, release int64, maxDelay time.Duration) {
	if !wp.busy.TryLock() {
		return
	}
	defer wp.busy.Unlock()
	wp.kill()
	time.Sleep(minRestartTime + time.Duration(rd.Int63n(int64(maxRestartTime-minRestartTime))))
	tb.startEngine(rd, wp, wp.options().ID, release, maxDelay)
}

// startEngine starts an engine, which writes its entry within maxDelay, or as soon as the metadata store takes it.
func (tb *testbed) startEngine(rd *rand.Rand, wp *workerProcess, id string, release int64, maxDelay time.Duration) {
	tb.printError(wp.start(id, softwareVersion(release)))
	delay := time.Duration(0)
	if maxDelay > 0 {
		delay = time.Duration(rd.Int63n(int64(maxDelay)))
	}
	if delay == 0 && !tb.isStoreAway() {
		tb.printError(wp.register("ready"))
		return
	}
	time.AfterFunc(delay, func() { tb.printError(wp.register("ready")) })
}

// restartInPlace kills engines and starts them again with the same or the next version; half a second to three seconds later they
// crash once more.
func (tb *testbed) restartInPlace(rd *rand.Rand, count int, maxDelay time.Duration) {
	release := tb.release.Load() + int64(rd.Intn(2))
	var again sync.WaitGroup
	for _, i := range rd.Perm(tb.opts.Engines)[:min(count, tb.opts.Engines)] {
		own := rand.New(rand.NewSource(rd.Int63()))
		again.Go(func() {
			tb.restartEngine(own, tb.workers[i], release, maxDelay)
			time.Sleep(500*time.Millisecond + time.Duration(own.Int63n(int64(2500*time.Millisecond))))
			tb.restartEngine(own, tb.workers[i], release, maxDelay)
		})
	}
	again.Wait()
}

// killDesk kills a desk worker, which starts again in place.
func (tb *testbed) killDesk(rd *rand.Rand) {
	if tb.opts.Desks == 0 {
		return
	}
	wp := tb.workers[tb.opts.Engines+rd.Intn(tb.opts.Desks)]
	if !wp.busy.TryLock() {
		return
	}
	defer wp.busy.Unlock()
	wp.kill()
	time.Sleep(time.Duration(rd.Int63n(int64(time.Second))))
	tb.printError(wp.start(wp.options().ID, wp.options().Software))
	tb.printError(wp.register("ready"))
}

// stopHosts lets a third of the hosts stand still. Near their thaw another host is killed, with the connections of its clients.
func (tb *testbed) stopHosts(rd *rand.Rand) { tb.stopHostsFor(rd, standstillTime) }

func (tb *testbed) stopHostsFor(rd *rand.Rand, d time.Duration) {
	hosts := rd.Perm(len(tb.hosts))
	count := max(1, len(hosts)/3)
	for _, i := range hosts[:count] {
		tb.hosts[i].signal(syscall.SIGSTOP)
	}
	time.Sleep(d - 200*time.Millisecond)
	if count < len(hosts) {
		victim := tb.hosts[hosts[count]]
		time.AfterFunc(time.Duration(rd.Int63n(int64(400*time.Millisecond))), func() {
			victim.signal(syscall.SIGKILL)
			victim.frontProxy.resetAll()
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, i := range hosts[:count] {
		tb.hosts[i].signal(syscall.SIGCONT)
	}
	time.Sleep(400 * time.Millisecond)
}

// takeStoreAway lets the metadata store be silent, or refuse all calls, for all hosts.
func (tb *testbed) takeStoreAway(rd *rand.Rand) {
	tb.setStoreFault([]site.StoreFault{site.StoreUnavailable, site.StoreUnresponsive}[rd.Intn(2)])
	time.Sleep(outage/2 + time.Duration(rd.Int63n(int64(outage/2))))
	tb.setStoreFault(site.NoStoreFault)
}

// cutHosts cuts one or two hosts off from the metadata store, from all other hosts, or from both.
func (tb *testbed) cutHosts(rd *rand.Rand, fromStore, fromHosts bool) {
	tb.cutHostsFor(rd, fromStore, fromHosts, time.Second+time.Duration(rd.Int63n(int64(3*time.Second))))
}

func (tb *testbed) cutHostsFor(rd *rand.Rand, fromStore, fromHosts bool, d time.Duration) {
	hosts := rd.Perm(len(tb.hosts))[:min(len(tb.hosts), 1+rd.Intn(2))]
	for _, i := range hosts {
		if fromStore {
			tb.hosts[i].storeProxy.setMode(modeBlackhole)
		}
		if fromHosts {
			tb.neighbors.cut(tb.hosts[i], true)
		}
	}
	time.Sleep(d)
	for _, i := range hosts {
		if fromStore {
			tb.hosts[i].storeProxy.setMode(modePass)
			tb.hosts[i].storeProxy.resetAll()
		}
		if fromHosts {
			tb.neighbors.cut(tb.hosts[i], false)
		}
	}
}

// replaceHosts replaces the hosts of the old build one after the other by ones of the current build.
func (tb *testbed) replaceHosts(ctx context.Context) {
	pause := tb.opts.Length / time.Duration(len(tb.hosts)+1)
	for _, ho := range tb.hosts {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		ho.setProgram("")
		ho.signal(syscall.SIGTERM)
		tb.faultCounts.add("host-replaced")
	}
}
