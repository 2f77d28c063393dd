package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

const (
	// limitSpan, limitFactor and limitSlack follow the platform's bound on the requests to an endpoint that names a limit.
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitStep   = 20 * time.Millisecond
)

// recordLimit records a limit that an endpoint names in a response.
func recordLimit(fl *fleet.Fleet, id string, startTimeMs int64, perSecond float64) {
	fl.RecordStatement(id, startTimeMs, fleet.Statement{Limit: perSecond, HasLimit: true}, time.Time{}, true)
}

// recordNoLimit records a response without a limit to a request that was sent at sentAt.
func recordNoLimit(fl *fleet.Fleet, id string, startTimeMs int64, sentAt time.Time) {
	fl.RecordStatement(id, startTimeMs, fleet.Statement{}, sentAt, true)
}

// limitedFleet simulates hosts that send requests to an endpoint which names a limit.
type limitedFleet struct {
	ck    *clockwork.FakeClock
	names []string
	hosts []*fleet.Fleet
	// isRegistered says which hosts are registered.
	isRegistered []bool
	limit        float64
	sent         []time.Time
}

func newLimitedFleet(count int, limit float64) *limitedFleet {
	lf := &limitedFleet{ck: clockwork.NewFakeClock(), limit: limit}
	for i := range count {
		lf.names = append(lf.names, fmt.Sprint("host-", i))
		lf.isRegistered = append(lf.isRegistered, true)
		lf.hosts = append(lf.hosts, fleet.New(fleet.Options{Clock: lf.ck, Host: lf.names[i], IsRegistered: func() bool { return lf.isRegistered[i] }}))
	}
	for _, fl := range lf.hosts {
		fl.SetHosts(lf.names)
		fl.Put(newEntry("needy"))
		recordLimit(fl, "needy", 1, limit)
	}
	return lf
}

// send lets each host send with a probability in each step, for the duration d. Each response names the limit, and the
// other hosts learn of it a second later.
func (lf *limitedFleet) send(d time.Duration, rate float64, rg *rand.Rand) {
	exchangeAt := lf.ck.Now().Add(time.Second)
	for end := lf.ck.Now().Add(d); lf.ck.Now().Before(end); lf.ck.Advance(limitStep) {
		if len(lf.sent) > 0 && !lf.ck.Now().Before(exchangeAt) {
			exchangeAt = exchangeAt.Add(time.Second)
			for _, fl := range lf.hosts {
				fl.MergeStatement(fleet.PeerStatement{Endpoint: "needy", StartTimeMs: 1, PerSecond: lf.limit, LimitAsOf: lf.sent[len(lf.sent)-1]})
			}
		}
		for _, fl := range lf.hosts {
			if rg.Float64() >= rate*limitStep.Seconds() {
				continue
			}
			if fi := fl.Begin("needy", fleet.Load{Requests: 1}, 0); fi != nil {
				fi.End(fleet.Succeeded, 0)
				recordLimit(fl, "needy", 1, lf.limit)
				lf.sent = append(lf.sent, lf.ck.Now())
			}
		}
	}
}

// most returns the largest number of requests in a span of limitSpan.
func (lf *limitedFleet) most() int {
	most := 0
	for i, k := 0, 0; k < len(lf.sent); k++ {
		for lf.sent[k].Sub(lf.sent[i]) >= limitSpan {
			i++
		}
		most = max(most, k-i+1)
	}
	return most
}

// Guards against shares of a limit that add up to more than the limit, also while hosts are cut off from the metadata store,
// are replaced, and differ in whom they know.
func TestSharesOfLimitStayWithinLimit(t *testing.T) {
	for _, count := range []int{1, 7, 75, 300} {
		for _, limit := range []float64{0.5, 2.4, 10, 50} {
			t.Run(fmt.Sprintf("%d-hosts-%g", count, limit), func(t *testing.T) {
				rg := rand.New(rand.NewPCG(uint64(count), uint64(limit*10)))
				lf := newLimitedFleet(count, limit)
				allowed := int(limitFactor*limitSpan.Seconds()*limit) + limitSlack
				demand := 3 * max(limit, 2)
				lf.send(12*time.Second, demand, rg)
				steady := len(lf.sent)
				lf.send(20*time.Second, demand, rg)
				used := float64(len(lf.sent)-steady) / 20 / limit
				require.Greater(t, used, 0.75, "the limit is used")
				require.LessOrEqual(t, used, 1.1)
				// Half of the hosts lose the store, and the others see their registrations expire.
				reachable := lf.names[count/2:]
				for i := range lf.names[:count/2] {
					lf.isRegistered[i] = false
				}
				for i := range lf.hosts[count/2:] {
					lf.hosts[count/2+i].SetHosts(reachable)
				}
				lf.send(20*time.Second, demand, rg)
				// They are registered again, but a third of the hosts learn of it 7 s later.
				for i, fl := range lf.hosts {
					lf.isRegistered[i] = true
					if i%3 != 0 {
						fl.SetHosts(lf.names)
					}
				}
				lf.send(7*time.Second, demand, rg)
				for _, fl := range lf.hosts {
					fl.SetHosts(lf.names)
				}
				lf.send(12*time.Second, demand, rg)
				most := lf.most()
				t.Logf("most in 4 s: %d of %d; share of the limit used: %.2f", most, allowed, used)
				require.LessOrEqual(t, most, allowed)
			})
		}
	}
}

// Guards against a limit that ends because a response overtook another, or because a host learned late of its end.
func TestLimitEndsOnlyByNewerResponse(t *testing.T) {
	ck := clockwork.NewFakeClock()
	var changes []float64
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host", OnStatementChange: func(sc fleet.StatementChange) { changes = append(changes, sc.PerSecond) }})
	fl.Put(newEntry("a"))
	sentBefore := ck.Now()
	ck.Advance(50 * time.Millisecond)
	recordLimit(fl, "a", 1, 3)
	recordNoLimit(fl, "a", 1, sentBefore)
	recordNoLimit(fl, "a", 2, ck.Now())
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, LimitAsOf: ck.Now().Add(100 * time.Millisecond)})
	require.Equal(t, []float64{3}, changes)
	ck.Advance(time.Second)
	recordNoLimit(fl, "a", 1, ck.Now())
	require.Equal(t, []float64{3, 0}, changes)
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, PerSecond: 3, LimitAsOf: ck.Now().Add(-time.Second)})
	require.Equal(t, []float64{3, 0}, changes, "another host tells what was said before the end")
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, PerSecond: 2, LimitAsOf: ck.Now()})
	require.Equal(t, []float64{3, 0, 2}, changes, "in doubt there is a limit")
	ck.Advance(time.Second)
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, LimitAsOf: ck.Now()})
	require.Equal(t, []float64{3, 0, 2, 0}, changes)
}

// Guards against statements that stay new forever because hosts pass them back and forth.
func TestOnlyOwnLimitsArePassedOn(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	fl.Put(newEntry("a"))
	fl.Put(newEntry("b"))
	named := ck.Now()
	recordLimit(fl, "a", 1, 3)
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "b", StartTimeMs: 1, PerSecond: 2, LimitAsOf: ck.Now()})
	ck.Advance(10 * time.Second)
	fl.MergeStatement(fleet.PeerStatement{Endpoint: "a", StartTimeMs: 1, PerSecond: 3, LimitAsOf: ck.Now()})
	require.Equal(t, []fleet.PeerStatement{{Endpoint: "a", StartTimeMs: 1, PerSecond: 3, LimitAsOf: named}}, fl.Statements())
	ck.Advance(2 * time.Minute)
	require.Empty(t, fl.Statements())
	require.False(t, fl.Views("engines")[0].Limited, "nobody has heard of the limit for long")
}

// Guards against an endpoint that counts as unlimited because its entry was gone for a moment, and against a limit that
// outlives a restart.
func TestLimitBelongsToStartOfEndpoint(t *testing.T) {
	fl := fleet.New(fleet.Options{Clock: clockwork.NewFakeClock(), Host: "host"})
	fl.Put(newEntry("a"))
	recordLimit(fl, "a", 1, 3)
	fl.Remove("a")
	fl.Put(newEntry("a"))
	require.True(t, fl.Views("engines")[0].Limited)
	restarted := newEntry("a")
	restarted.StartTimeMs = 2
	fl.Put(restarted)
	require.False(t, fl.Views("engines")[0].Limited)
}

// Guards against a limit of zero, which nothing could end, and against a service that is not sent anything although it
// takes something.
func TestSampleHoldsEndpointWithinLimit(t *testing.T) {
	ck := clockwork.NewFakeClock()
	fl := fleet.New(fleet.Options{Clock: ck, Host: "host"})
	for i := range 6 {
		fl.Put(newEntry(fmt.Sprint("engine-", i)))
	}
	recordLimit(fl, "engine-0", 1, 0)
	require.NotContains(t, ids(fl.Sample("engines", "", "key", 18)), "engine-0")
	_, ok := fl.UntilAvailable("engines")
	require.False(t, ok)
	// The first 8 s count a quarter.
	ck.Advance(18 * time.Second)
	require.Contains(t, ids(fl.Sample("engines", "", "key", 2)), "engine-0")
	require.NotNil(t, fl.Begin("engine-0", fleet.Load{Requests: 1}, 0))
	require.Nil(t, fl.Begin("engine-0", fleet.Load{Requests: 1}, 0))
	require.NotContains(t, ids(fl.Sample("engines", "", "key", 18)), "engine-0")
	for i := range 6 {
		recordLimit(fl, fmt.Sprint("engine-", i), 1, 0.5)
	}
	wait, ok := fl.UntilAvailable("engines")
	require.True(t, ok)
	require.Greater(t, wait, time.Second)
	require.Empty(t, fl.Sample("engines", "", "key", 18))
	fl.CountCall("engine-1")
	ck.Advance(wait)
	require.NotContains(t, ids(fl.Sample("engines", "", "key", 18)), "engine-1", "an order came first")
}
