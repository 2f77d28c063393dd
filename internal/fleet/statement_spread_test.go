package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// drainTime is the platform's bound on requests to an endpoint that says that it leaves.
	drainTime = 2 * time.Second
	// waitSlack and waitRequests are its bound on requests to an endpoint that has asked a host to wait.
	waitSlack      = 500 * time.Millisecond
	waitRequests   = 2
	spreadResponse = 30 * time.Millisecond
	spreadMesh     = 12
)

type (
	spreadEvent struct {
		at  time.Time
		run func()
	}

	spreadQueue []spreadEvent

	// spreadFleet simulates hosts that send requests to ten endpoints and pass on what they hear: in a mesh, or by a hub if
	// there are many.
	spreadFleet struct {
		ck    *clockwork.FakeClock
		rg    *rand.Rand
		hosts []*fleet.Fleet
		loss  float64
		queue spreadQueue
		// hub holds the newest statements that the hub has received, by host.
		hub map[int][]fleet.PeerStatement
		// say is what an endpoint says in its responses, and turnsAway whether it turns requests away.
		say       map[string]fleet.Statement
		turnsAway map[string]bool
		// heardAt is when a host first got a response of an endpoint that says something.
		heardAt []map[string]time.Time
		// lateLeaving counts the requests of hosts to an endpoint that had said to them that it leaves, late those of each host to
		// each endpoint that had asked it to wait, and stray all that were sent while an endpoint said so.
		lateLeaving          int
		late                 map[string]int
		sent, refused, stray int
	}
)

func (q spreadQueue) Len() int           { return len(q) }
func (q spreadQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q spreadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *spreadQueue) Push(x any) {
	if ev, ok := x.(spreadEvent); ok {
		*q = append(*q, ev)
	}
}

func (q *spreadQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newSpreadFleet(count int, loss float64) *spreadFleet {
	sf := &spreadFleet{
		ck: clockwork.NewFakeClock(), rg: rand.New(rand.NewPCG(uint64(count), uint64(loss*10))), loss: loss,
		hub: make(map[int][]fleet.PeerStatement), say: make(map[string]fleet.Statement), turnsAway: make(map[string]bool), late: make(map[string]int),
	}
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("host-", i))
	}
	for i, name := range names {
		fl := fleet.New(fleet.Options{Clock: sf.ck, Host: name})
		fl.SetHosts(names)
		for k := range 10 {
			fl.Put(newEntry(fmt.Sprint("engine-", k)))
		}
		sf.hosts, sf.heardAt = append(sf.hosts, fl), append(sf.heardAt, make(map[string]time.Time))
		sf.after(sf.between(0, 100*time.Millisecond), func() { sf.exchange(i) })
		sf.after(sf.between(0, time.Second), func() { sf.request(i) })
	}
	if count > spreadMesh {
		sf.after(100*time.Millisecond, sf.sendTotal)
	}
	return sf
}

func (sf *spreadFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sf.rg.Float64()*float64(high-low))
}

func (sf *spreadFleet) after(d time.Duration, run func()) {
	heap.Push(&sf.queue, spreadEvent{at: sf.ck.Now().Add(d), run: run})
}

// run runs the simulation for the duration d.
func (sf *spreadFleet) run(d time.Duration) {
	end := sf.ck.Now().Add(d)
	for sf.queue[0].at.Before(end) {
		ev, ok := heap.Pop(&sf.queue).(spreadEvent)
		if !ok {
			return
		}
		sf.ck.Advance(ev.at.Sub(sf.ck.Now()))
		ev.run()
	}
	sf.ck.Advance(end.Sub(sf.ck.Now()))
}

// request sends one of some ten requests a second of a host.
func (sf *spreadFleet) request(i int) {
	sf.after(sf.between(0, 200*time.Millisecond), func() { sf.request(i) })
	fl := sf.hosts[i]
	sf.sent++
	views := fl.Sample("engines", "", fmt.Sprint(sf.sent), 4)
	if len(views) == 0 {
		sf.refused++
		return
	}
	id := views[sf.rg.IntN(len(views))].ID
	fi := fl.Begin(id, fleet.Load{Requests: 1}, 0)
	if fi == nil {
		sf.refused++
		return
	}
	sentAt := sf.ck.Now()
	heard, hasHeard := sf.heardAt[i][id]
	if st := sf.say[id]; st.IsLeaving || st.Wait > 0 {
		sf.stray++
		switch {
		case hasHeard && st.IsLeaving:
			sf.lateLeaving++
		case hasHeard && sentAt.Sub(heard) > waitSlack && sentAt.Sub(heard) < st.Wait:
			sf.late[fmt.Sprint(i, " ", id)]++
		}
	}
	sf.after(spreadResponse, func() {
		st := sf.say[id]
		if _, ok := sf.heardAt[i][id]; !ok && (st.IsLeaving || st.Wait > 0) {
			sf.heardAt[i][id] = sf.ck.Now()
		}
		fl.RecordStatement(id, 1, st, sentAt, !sf.turnsAway[id])
		fi.End(fleet.Succeeded, 0)
	})
}

// exchange sends what a host has heard to all others, or to the hub.
func (sf *spreadFleet) exchange(i int) {
	statements := sf.hosts[i].Statements()
	if len(sf.hosts) > spreadMesh {
		sf.after(100*time.Millisecond, func() { sf.exchange(i) })
		if sf.rg.Float64() >= sf.loss {
			sf.after(sf.between(20*time.Millisecond, 60*time.Millisecond), func() { sf.hub[i] = statements })
		}
		return
	}
	sf.after(50*time.Millisecond, func() { sf.exchange(i) })
	for other := range sf.hosts {
		if other != i && sf.rg.Float64() >= sf.loss {
			sf.after(sf.between(60*time.Millisecond, 200*time.Millisecond), func() { sf.merge(other, statements) })
		}
	}
}

// sendTotal sends what the hub has received to all hosts.
func (sf *spreadFleet) sendTotal() {
	sf.after(100*time.Millisecond, sf.sendTotal)
	newest := make(map[string]fleet.PeerStatement)
	for _, statements := range sf.hub {
		for _, ps := range statements {
			if known := newest[ps.Endpoint]; ps.IsLeaving || ps.WaitUntil.After(known.WaitUntil) {
				newest[ps.Endpoint] = ps
			}
		}
	}
	var total []fleet.PeerStatement
	for _, ps := range newest {
		total = append(total, ps)
	}
	for i := range sf.hosts {
		if sf.rg.Float64() >= sf.loss {
			sf.after(sf.between(20*time.Millisecond, 100*time.Millisecond), func() { sf.merge(i, total) })
		}
	}
}

func (sf *spreadFleet) merge(i int, statements []fleet.PeerStatement) {
	for _, ps := range statements {
		sf.hosts[i].MergeStatement(ps)
	}
}

// knowing returns how many hosts know that an endpoint leaves.
func (sf *spreadFleet) knowing() int {
	count := 0
	for _, fl := range sf.hosts {
		for _, sc := range fl.StatementCounts() {
			if sc.Kind == fleet.LeavingStatement && sc.Endpoints > 0 {
				count++
			}
		}
	}
	return count
}

// Guards against endpoints that leave or want none and get requests from hosts that have been told, and against a service that
// suffers from it.
func TestStatementsSpreadThroughFleet(t *testing.T) {
	for _, count := range []int{7, 75, 300} {
		for _, loss := range []float64{0, 0.3} {
			t.Run(fmt.Sprintf("%d-hosts-loss-%g", count, loss), func(t *testing.T) {
				sf := newSpreadFleet(count, loss)
				sf.run(2 * time.Second)
				require.Zero(t, sf.refused)
				sf.say["engine-0"] = fleet.Statement{IsLeaving: true}
				start := sf.ck.Now()
				for sf.knowing() < count {
					sf.run(10 * time.Millisecond)
					require.Less(t, sf.ck.Now().Sub(start), drainTime)
				}
				allKnow := sf.ck.Now().Sub(start)
				sf.run(4 * time.Second)
				strays := sf.stray
				require.Less(t, strays, count, "most hosts learn of it before their own first response")
				for _, id := range []string{"engine-1", "engine-2"} {
					sf.say[id], sf.turnsAway[id] = fleet.Statement{Wait: 3 * time.Second}, true
				}
				sf.run(3 * time.Second)
				for _, id := range []string{"engine-1", "engine-2"} {
					delete(sf.say, id)
					sf.turnsAway[id] = false
				}
				sf.run(4 * time.Second)
				t.Logf("all know after %v, %d requests meanwhile; %d to endpoints that want none; refused %d of %d", allKnow, strays, sf.stray-strays, sf.refused, sf.sent)
				for key, late := range sf.late {
					require.LessOrEqual(t, late, waitRequests, key)
				}
				require.Zero(t, sf.lateLeaving)
				require.Zero(t, sf.refused)
			})
		}
	}
}
