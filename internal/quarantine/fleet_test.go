package quarantine_test

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	simService     = "engines"
	contactTime    = 3 * time.Second
	engineRestart  = 3200 * time.Millisecond
	probeTime      = 2 * time.Millisecond
	digestPeriod   = 50 * time.Millisecond
	hubPeriod      = 100 * time.Millisecond
	meshHosts      = 12
	maxSimAttempts = 2
	zoneCount      = 3
	warmUp         = 4 * time.Second
)

type (
	// scenario describes a simulated fleet. Times count from the start.
	scenario struct {
		hosts, engines int
		// loss is the share of the datagrams that are lost.
		loss float64
		// rate is the number of requests a second, share the part of them that holds a deadly part.
		rate, share float64
		// deadlyParts is the number of deadly parts; isShared makes the first part of a team the deadly one.
		deadlyParts int
		isShared    bool
		// oneSession lets all requests with a deadly part belong to one session, whose other requests are sound.
		oneSession bool
		// deadlyFrom to deadlyUntil is when such requests crash engines, sentUntil when they stop; end is the end of
		// the simulation.
		deadlyFrom, deadlyUntil, sentUntil, end time.Duration
		// zoneLosses are the times at which all engines of a zone stop, randomCrashes the mean period of others.
		zoneLosses    []time.Duration
		randomCrashes time.Duration
		// lateHosts start at lateStart.
		lateHosts int
		lateStart time.Duration
		// fingerprintsOnly disables the evidence per part.
		fingerprintsOnly bool
		sessions         int
		seed             uint64
	}

	// outcome holds the figures of a simulation.
	outcome struct {
		crashes int
		// deadlyAttempts holds, by part, when attempts with it were sent, and crashTimes its crashes.
		deadlyAttempts, crashTimes map[string][]time.Duration
		// sound and soundRefused count the sound requests and the refused ones by second of arrival.
		sound, soundRefused map[int]int
		blockedSound        map[string]bool
		// clearedAt is when a host cleared a deadly part last.
		clearedAt   time.Duration
		maxSuspects int
		// sessionSound holds the sound requests of the first session.
		sessionSound []*simRequest
	}

	simEvent struct {
		at    time.Duration
		order int
		run   func()
	}

	simQueue []simEvent

	simEngine struct {
		id      int
		zone    int
		isUp    bool
		starts  int
		running map[*simRun]bool
	}

	simHost struct {
		name     string
		parts    *quarantine.PartTracker
		requests *quarantine.Tracker
		startsAt time.Duration
	}

	simRequest struct {
		parts    []string
		deadly   string
		attempts int
		id       int
		sentAt   time.Duration
	}

	simRun struct {
		rq     *simRequest
		ho     *simHost
		run    *quarantine.Run
		engine *simEngine
	}

	// digest carries times as ages, as hosts share no clock.
	digest struct {
		from     int
		crashes  []quarantine.PartCrash
		cleared  []quarantine.Cleared
		verdicts []quarantine.Verdict
		sentAt   time.Duration
	}

	simulation struct {
		scenario
		rng     *rand.Rand
		ck      *clockwork.FakeClock
		start   time.Time
		now     time.Duration
		queue   simQueue
		order   int
		names   []string
		fleet   []*simHost
		workers []*simEngine
		hub     map[int]digest
		out     outcome
	}
)

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any) {
	if ev, ok := x.(simEvent); ok {
		*q = append(*q, ev)
	}
}

func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulate runs a scenario.
func simulate(sc scenario) outcome {
	if sc.sessions == 0 {
		sc.sessions = 200
	}
	si := &simulation{
		scenario: sc, rng: rand.New(rand.NewPCG(sc.seed, 7)), ck: clockwork.NewFakeClock(), hub: make(map[int]digest),
		out: outcome{
			deadlyAttempts: make(map[string][]time.Duration), crashTimes: make(map[string][]time.Duration),
			sound: make(map[int]int), soundRefused: make(map[int]int), blockedSound: make(map[string]bool),
		},
	}
	si.start = si.ck.Now()
	for i := range sc.hosts {
		si.names = append(si.names, fmt.Sprintf("host-%d", i))
	}
	for i, name := range si.names {
		ho := &simHost{name: name, requests: quarantine.NewTracker(si.ck)}
		if i < sc.lateHosts {
			ho.startsAt = sc.lateStart
		}
		ho.parts = quarantine.NewPartTracker(quarantine.PartOptions{
			Clock: si.ck, Host: name, Hosts: func() []string { return si.names }, OnChange: si.noteChange,
		})
		si.fleet = append(si.fleet, ho)
		offset := si.between(0, digestPeriod)
		si.after(offset, func() { si.sendDigest(i) })
	}
	for i := range sc.engines {
		si.workers = append(si.workers, &simEngine{id: i, zone: i % zoneCount, isUp: true, running: make(map[*simRun]bool)})
	}
	if sc.hosts > meshHosts {
		si.after(hubPeriod, si.sendTotals)
	}
	for i, at := range sc.zoneLosses {
		si.after(at, func() { si.loseZone(i % zoneCount) })
	}
	if sc.randomCrashes > 0 {
		si.after(sc.randomCrashes, si.crashAny)
	}
	si.after(0, si.arrive)
	for len(si.queue) > 0 {
		ev, ok := heap.Pop(&si.queue).(simEvent)
		if !ok || ev.at > sc.end {
			break
		}
		si.ck.Advance(ev.at - si.now)
		si.now = ev.at
		ev.run()
	}
	return si.out
}

func (si *simulation) after(d time.Duration, run func()) {
	si.order++
	heap.Push(&si.queue, simEvent{at: si.now + d, order: si.order, run: run})
}

func (si *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(si.rng.Float64()*float64(high-low))
}

func (si *simulation) noteChange(ch quarantine.Change) {
	switch {
	case ch.Kind == quarantine.PartCleared && isDeadly(ch.Verdict.Part):
		si.out.clearedAt = si.now
	case ch.Kind == quarantine.PartBlocked && !isDeadly(ch.Verdict.Part):
		si.out.blockedSound[ch.Verdict.Part] = true
	}
}

func isDeadly(part string) bool { return part[0] == 'd' }

// arrive sends one request and schedules the next.
func (si *simulation) arrive() {
	si.after(time.Duration(si.rng.ExpFloat64()/si.rate*float64(time.Second)), si.arrive)
	rq := &simRequest{id: si.order, sentAt: si.now}
	session := si.rng.IntN(si.sessions)
	team := fmt.Sprintf("team-%d", session%4)
	rq.parts = []string{team, fmt.Sprintf("session-%d", session)}
	if si.now >= si.deadlyFrom && si.now < si.sentUntil && si.rng.Float64() < si.share {
		rq.deadly = fmt.Sprintf("deadly-%d", si.rng.IntN(si.deadlyParts))
		if si.oneSession {
			rq.parts = []string{"team-0", "session-0"}
		}
		if si.isShared {
			rq.parts = []string{rq.deadly, rq.parts[1]}
		} else {
			rq.parts = append(rq.parts, rq.deadly)
		}
	}
	ho := si.fleet[si.rng.IntN(len(si.fleet))]
	for si.now < ho.startsAt {
		ho = si.fleet[si.rng.IntN(len(si.fleet))]
	}
	if rq.deadly == "" {
		si.out.sound[si.second()]++
		if session == 0 {
			si.out.sessionSound = append(si.out.sessionSound, rq)
		}
	}
	si.send(rq, ho)
}

func (si *simulation) second() int { return int(si.now / time.Second) }

// send attempts a request at a random engine that is up.
func (si *simulation) send(rq *simRequest, ho *simHost) {
	var up []*simEngine
	for _, en := range si.workers {
		if en.isUp {
			up = append(up, en)
		}
	}
	si.out.maxSuspects = max(si.out.maxSuspects, ho.parts.SuspectCount())
	if len(up) == 0 {
		return
	}
	rn := &simRun{rq: rq, ho: ho, engine: up[si.rng.IntN(len(up))]}
	if si.fingerprintsOnly {
		if ho.requests.State(quarantine.Fingerprint(fmt.Sprint(rq.id))) == quarantine.Refused {
			return
		}
	} else {
		run, err := ho.parts.Admit(simService, rq.parts)
		var blocked *quarantine.BlockedError
		if errors.As(err, &blocked) {
			if rq.deadly == "" && rq.attempts == 0 {
				si.out.soundRefused[si.second()]++
			}
			return
		}
		rn.run = run
	}
	rq.attempts++
	if rq.deadly != "" {
		si.out.deadlyAttempts[rq.deadly] = append(si.out.deadlyAttempts[rq.deadly], si.now)
	}
	rn.engine.running[rn] = true
	si.after(si.between(40*time.Millisecond, 350*time.Millisecond), func() { si.beginAnswer(rn) })
}

// beginAnswer generates the first token of a run.
func (si *simulation) beginAnswer(rn *simRun) {
	if !rn.engine.running[rn] {
		return
	}
	if rn.rq.deadly != "" && si.now < si.deadlyUntil {
		si.out.crashTimes[rn.rq.deadly] = append(si.out.crashTimes[rn.rq.deadly], si.now)
		si.crash(rn.engine)
		return
	}
	delete(rn.engine.running, rn)
	rn.run.Succeeded()
	rn.run.End()
}

// crash stops an engine; the hosts notice that the exchanges with it break.
func (si *simulation) crash(en *simEngine) {
	si.out.crashes++
	id := fmt.Sprintf("engine-%d@%d", en.id, en.starts)
	broken := make([]*simRun, 0, len(en.running))
	for rn := range en.running {
		broken = append(broken, rn)
	}
	// The order of a map is random.
	slices.SortFunc(broken, func(a, b *simRun) int { return cmp.Compare(a.rq.id, b.rq.id) })
	clear(en.running)
	en.isUp = false
	en.starts++
	si.after(engineRestart, func() { en.isUp = true })
	for _, rn := range broken {
		si.after(si.between(0, probeTime), func() {
			if si.fingerprintsOnly {
				rn.ho.requests.RecordCrash(id, quarantine.Fingerprint(fmt.Sprint(rn.rq.id)))
			} else {
				rn.run.Crashed(id, si.ck.Now())
				rn.run.End()
			}
			if rn.rq.attempts < maxSimAttempts {
				si.send(rn.rq, rn.ho)
			}
		})
	}
}

func (si *simulation) loseZone(zone int) {
	for _, en := range si.workers {
		if en.zone == zone && en.isUp {
			si.crash(en)
		}
	}
}

func (si *simulation) crashAny() {
	if si.now >= si.sentUntil-engineRestart {
		return
	}
	si.after(time.Duration(si.rng.ExpFloat64()*float64(si.randomCrashes)), si.crashAny)
	if en := si.workers[si.rng.IntN(len(si.workers))]; en.isUp {
		si.crash(en)
	}
}

func (si *simulation) isRunning(host int) bool { return si.now >= si.fleet[host].startsAt }

func (si *simulation) digestInterval() time.Duration {
	if si.hosts > meshHosts {
		return hubPeriod
	}
	return digestPeriod
}

// sendDigest sends the state of a host to all others, or to the hub of a large fleet.
func (si *simulation) sendDigest(host int) {
	si.after(si.digestInterval(), func() { si.sendDigest(host) })
	if !si.isRunning(host) || si.fingerprintsOnly || si.fleet[host].parts.SuspectCount() == 0 {
		delete(si.hub, host)
		return
	}
	dg := digest{from: host, sentAt: si.now}
	dg.crashes, dg.cleared, dg.verdicts = si.fleet[host].parts.RecentChanges()
	if si.hosts > meshHosts {
		if si.rng.Float64() >= si.loss {
			si.after(si.between(20*time.Millisecond, 60*time.Millisecond), func() { si.hub[host] = dg })
		}
		return
	}
	for other := range si.fleet {
		if other != host && si.rng.Float64() >= si.loss {
			si.after(si.between(60*time.Millisecond, 200*time.Millisecond), func() { si.receive(other, dg, dg.sentAt) })
		}
	}
}

// sendTotals sends what the hub has to all hosts.
func (si *simulation) sendTotals() {
	si.after(hubPeriod, si.sendTotals)
	var digests []digest
	for host := range si.fleet {
		if dg, ok := si.hub[host]; ok && si.now-dg.sentAt < time.Second {
			digests = append(digests, dg)
		}
	}
	total := mergeForHub(digests)
	for host := range si.fleet {
		if si.rng.Float64() >= si.loss {
			sentAt := si.now
			si.after(si.between(20*time.Millisecond, 100*time.Millisecond), func() { si.receive(host, total, sentAt) })
		}
	}
}

// mergeForHub merges digests as the aggregators do: without correcting the ages for the time that a digest waited.
func mergeForHub(digests []digest) digest {
	out := digest{from: -1}
	crashes := make(map[string]int)
	verdicts := make(map[string]int)
	cleared := make(map[string]int)
	for _, dg := range digests {
		for _, cr := range dg.crashes {
			cr.DetectedAt = cr.DetectedAt.Add(-dg.sentAt.Abs())
			key := cr.ID + cr.Reporter
			if _, ok := crashes[key]; !ok {
				crashes[key] = len(out.crashes)
				out.crashes = append(out.crashes, cr)
			}
		}
		for _, ve := range dg.verdicts {
			ve.LastCrash = ve.LastCrash.Add(-dg.sentAt.Abs())
			i, ok := verdicts[ve.Part]
			switch {
			case !ok:
				verdicts[ve.Part] = len(out.verdicts)
				out.verdicts = append(out.verdicts, ve)
			case ve.Strikes > out.verdicts[i].Strikes || ve.Strikes == out.verdicts[i].Strikes && ve.LastCrash.After(out.verdicts[i].LastCrash):
				out.verdicts[i] = ve
			}
		}
		for _, cl := range dg.cleared {
			cl.At = cl.At.Add(-dg.sentAt.Abs())
			i, ok := cleared[cl.Part]
			switch {
			case !ok:
				cleared[cl.Part] = len(out.cleared)
				out.cleared = append(out.cleared, cl)
			case cl.At.After(out.cleared[i].At):
				out.cleared[i] = cl
			}
		}
	}
	return out
}

// receive merges a digest into the state of a host. The times in it are relative to sentAt.
func (si *simulation) receive(host int, dg digest, sentAt time.Duration) {
	if !si.isRunning(host) {
		return
	}
	tr := si.fleet[host].parts
	shift := si.now - sentAt
	if dg.from < 0 {
		shift = si.now
	}
	for _, cr := range dg.crashes {
		if cr.Reporter == si.names[host] {
			continue
		}
		cr.DetectedAt = cr.DetectedAt.Add(shift)
		tr.RecordCrash(cr)
	}
	for _, cl := range dg.cleared {
		cl.At = cl.At.Add(shift)
		tr.Clear(cl)
	}
	for _, ve := range dg.verdicts {
		ve.LastCrash = ve.LastCrash.Add(shift)
		tr.Merge(ve)
	}
}

// lateAttempts returns how many attempts with a part were sent later than contactTime after its fifth crash.
func (oc outcome) lateAttempts(part string) int {
	if len(oc.crashTimes[part]) < 5 {
		return 0
	}
	limit := oc.crashTimes[part][4] + contactTime
	late := 0
	for _, at := range oc.deadlyAttempts[part] {
		if at > limit {
			late++
		}
	}
	return late
}

// admittedShare returns the share of sound requests that were admitted at the first attempt, from a time on.
func (oc outcome) admittedShare(from, until time.Duration) float64 {
	total, refused := 0, 0
	for second, count := range oc.sound {
		if at := time.Duration(second) * time.Second; at >= from && at < until {
			total += count
			refused += oc.soundRefused[second]
		}
	}
	if total == 0 {
		return 1
	}
	return 1 - float64(refused)/float64(total)
}

// referenceCrash returns the fifth crash of a part, or the last if there are fewer.
func (oc outcome) referenceCrash(part string) time.Duration {
	times := oc.crashTimes[part]
	if len(times) == 0 {
		return warmUp
	}
	return times[min(len(times), 5)-1]
}

func fleetScenarios() map[string]scenario {
	small := scenario{
		hosts: 7, engines: 18, rate: 100, share: 0.05, deadlyParts: 1, loss: 0.1,
		deadlyFrom: warmUp, deadlyUntil: 104 * time.Second, sentUntil: 104 * time.Second, end: 110 * time.Second,
	}
	large := small
	large.hosts, large.engines, large.rate, large.sessions, large.share = 295, 600, 630, 4000, 0.1
	large.deadlyUntil, large.sentUntil, large.end = 14*time.Second, 14*time.Second, 15*time.Second
	with := func(sc scenario, change func(*scenario)) scenario {
		change(&sc)
		return sc
	}
	return map[string]scenario{
		"share-0.5":        with(small, func(sc *scenario) { sc.share = 0.005 }),
		"share-5":          small,
		"share-20":         with(small, func(sc *scenario) { sc.share = 0.2 }),
		"two-parts":        with(small, func(sc *scenario) { sc.deadlyParts = 2; sc.share = 0.1 }),
		"first-part":       with(small, func(sc *scenario) { sc.isShared = true }),
		"few-engines":      with(small, func(sc *scenario) { sc.engines = 4; sc.rate = 40; sc.share = 0.1 }),
		"loss-half":        with(small, func(sc *scenario) { sc.loss = 0.5 }),
		"zones-lost":       with(small, func(sc *scenario) { sc.zoneLosses = []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second} }),
		"random-crashes":   with(small, func(sc *scenario) { sc.randomCrashes = time.Second }),
		"late-hosts":       with(small, func(sc *scenario) { sc.lateHosts, sc.lateStart = 3, 9*time.Second }),
		"large-share-0.5":  with(large, func(sc *scenario) { sc.share = 0.005 }),
		"large-share-10":   large,
		"large-share-20":   with(large, func(sc *scenario) { sc.share = 0.2 }),
		"large-late-hosts": with(large, func(sc *scenario) { sc.lateHosts, sc.lateStart = 100, 9*time.Second }),
		"large-zones-lost": with(large, func(sc *scenario) { sc.zoneLosses = []time.Duration{3 * time.Second, 5 * time.Second, 9 * time.Second} }),
	}
}

// Guards against requests with one part in common, no two alike, that crash endpoints one after the other.
func TestFleetBlocksPartThatCrashesEndpoints(t *testing.T) {
	t.Parallel()
	for name, sc := range fleetScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(2)
			if sc.hosts > meshHosts {
				seeds = 1
			}
			for seed := range seeds {
				sc.seed = seed
				oc := simulate(sc)
				for i := range sc.deadlyParts {
					part := fmt.Sprintf("deadly-%d", i)
					from := oc.referenceCrash(part) + 2*contactTime + time.Second
					t.Logf("seed %d: %s: crashes %d, late attempts %d, sound requests admitted %.4f before and %.4f after, sound parts blocked %d, suspects %d",
						seed, part, len(oc.crashTimes[part]), oc.lateAttempts(part), oc.admittedShare(warmUp, from), oc.admittedShare(from, sc.sentUntil), len(oc.blockedSound), oc.maxSuspects)
					require.NotEmpty(t, oc.crashTimes[part])
					assert.LessOrEqual(t, oc.lateAttempts(part), 3, "seed %d", seed)
					assert.Greater(t, oc.admittedShare(from, sc.sentUntil), 0.95, "seed %d", seed)
				}
				assert.InDelta(t, 1.0, oc.admittedShare(sc.sentUntil, sc.end), 0, "seed %d", seed)
				assert.Empty(t, oc.blockedSound, "seed %d", seed)
			}
		})
	}
}

// Guards against a service whose requests nearly all hold the part, so that a host sees no response of it.
func TestFleetBlocksPartOfNearlyAllRequests(t *testing.T) {
	t.Parallel()
	for _, share := range []float64{0.8, 0.9, 1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				sc := fleetScenarios()["share-5"]
				sc.share, sc.rate, sc.seed = share, 20, seed
				sc.deadlyUntil, sc.sentUntil, sc.end = 24*time.Second, 24*time.Second, 26*time.Second
				oc := simulate(sc)
				assert.LessOrEqual(t, oc.lateAttempts("deadly-0"), 3, "seed %d", seed)
			}
		})
	}
}

// Checks the simulation: without evidence per part it shows the failure.
func TestFleetKeepsCrashingWithFingerprintsOnly(t *testing.T) {
	t.Parallel()
	sc := fleetScenarios()["share-5"]
	sc.fingerprintsOnly, sc.sentUntil, sc.end = true, 26*time.Second, 30*time.Second
	for seed := range uint64(3) {
		sc.seed = seed
		oc := simulate(sc)
		t.Logf("seed %d: crashes %d, late attempts %d", seed, len(oc.crashTimes["deadly-0"]), oc.lateAttempts("deadly-0"))
		require.Greater(t, oc.lateAttempts("deadly-0"), 30)
	}
}

// Guards against a part that stays blocked after its requests have stopped crashing endpoints.
func TestFleetServesPartAgainAfterTrial(t *testing.T) {
	t.Parallel()
	for name, hosts := range map[string]int{"small": 7, "large": 40} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := fleetScenarios()["share-5"]
			sc.hosts, sc.deadlyUntil, sc.sentUntil, sc.end = hosts, 20*time.Second, 150*time.Second, 152*time.Second
			oc := simulate(sc)
			t.Logf("crashes %d, cleared at %s, attempts %d", len(oc.crashTimes["deadly-0"]), oc.clearedAt, len(oc.deadlyAttempts["deadly-0"]))
			require.Less(t, oc.clearedAt, 100*time.Second)
			require.Greater(t, oc.deadlyAttempts["deadly-0"][len(oc.deadlyAttempts["deadly-0"])-1], 149*time.Second)
			require.Greater(t, len(oc.deadlyAttempts["deadly-0"]), 150)
		})
	}
}

// Guards against blocking a session for the crashes of a part that only its requests hold.
func TestFleetTellsPartFromItsSession(t *testing.T) {
	t.Parallel()
	for name, fleet := range map[string]struct {
		hosts int
		share float64
		seeds []uint64
	}{
		"share-0.5": {7, 0.005, []uint64{0, 1, 2, 3, 4, 5}}, "share-5": {7, 0.05, []uint64{0, 1, 2, 3, 4, 5}},
		"40-hosts": {40, 0.05, []uint64{2, 5}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range fleet.seeds {
				sc := fleetScenarios()["share-5"]
				sc.hosts, sc.share, sc.oneSession, sc.sessions, sc.seed = fleet.hosts, fleet.share, true, 100, seed
				sc.deadlyUntil, sc.sentUntil, sc.end = 60*time.Second, 60*time.Second, 62*time.Second
				oc := simulate(sc)
				served, total := 0, 0
				for _, rq := range oc.sessionSound {
					if rq.sentAt > oc.referenceCrash("deadly-0")+2*contactTime && rq.sentAt < sc.sentUntil {
						total++
						served += min(rq.attempts, 1)
					}
				}
				t.Logf("seed %d: crashes %d, late attempts %d, sound requests of the session %d of %d", seed, len(oc.crashTimes["deadly-0"]), oc.lateAttempts("deadly-0"), served, total)
				assert.LessOrEqual(t, oc.lateAttempts("deadly-0"), 3, "seed %d", seed)
				assert.GreaterOrEqual(t, served*2, total, "seed %d", seed)
			}
		})
	}
}
