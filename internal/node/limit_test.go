package node_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// sendEvery sends requests to the hosts in turn, one in each interval, for the duration d.
func (env *testEnv) sendEvery(interval, d time.Duration, uri string, hosts ...*node.Node) []response {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		out []response
	)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		<-ticker.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			re := env.send(hosts[i%len(hosts)], http.MethodPost, uri, env.requestID(), "", promptHeaders())
			mu.Lock()
			out = append(out, re)
			mu.Unlock()
		}()
	}
	wg.Wait()
	return out
}

// mostRequests returns the largest number of requests that an endpoint received in any span of time after start.
func mostRequests(ep *site.Endpoint, start time.Time, span time.Duration) int {
	most := 0
	requests := ep.RecordedRequests()
	for i, first := range requests {
		if first.ReceivedAt.Before(start) {
			continue
		}
		count := 0
		for _, rr := range requests[i:] {
			if rr.ReceivedAt.Sub(first.ReceivedAt) < span {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against hosts that together send an endpoint more requests than it says that it takes.
func TestEndpointGetsNoMoreRequestsThanItsLimit(t *testing.T) {
	t.Parallel()
	const limit, span, settleTime = 2, 4 * time.Second, 3 * time.Second
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	hosts := []*node.Node{env.startReadyHost("host-0"), env.startReadyHost("host-1"), env.startReadyHost("host-2")}
	env.engines[0].AnnounceLimit("2.0")
	start := time.Now()
	for _, re := range env.sendEvery(25*time.Millisecond, settleTime+span, "/note/1", hosts...) {
		require.Equal(t, http.StatusOK, re.status, re.body)
	}
	require.LessOrEqual(t, mostRequests(env.engines[0], start.Add(settleTime), span), int(1.5*span.Seconds()*limit)+5)
}

// Guards against an endpoint that is within its limit only as long as requests can go elsewhere.
func TestServiceGetsNoMoreRequestsThanItsLimits(t *testing.T) {
	t.Parallel()
	const limit, span, settleTime = 2, 4 * time.Second, 3 * time.Second
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	hosts := []*node.Node{env.startReadyHost("host-0"), env.startReadyHost("host-1"), env.startReadyHost("host-2")}
	for _, ep := range env.engines {
		ep.AnnounceLimit("2.0")
	}
	start := time.Now()
	for _, re := range env.sendEvery(25*time.Millisecond, settleTime+span, "/note/1", hosts...) {
		if re.status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, re.status)
			require.Equal(t, "limited\n", re.body)
			require.NotEmpty(t, re.header.Get("Retry-After"))
		}
	}
	for _, ep := range env.engines {
		most := mostRequests(ep, start.Add(settleTime), span)
		require.LessOrEqual(t, most, int(1.5*span.Seconds()*limit)+5)
		require.Positive(t, most)
	}
}

// Guards against repeats and resumed streams that an endpoint with a limit gets on top of it.
func TestRepeatsStayWithinLimit(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-0")
	env.engines[0].AnnounceLimit("0")
	env.engines[1].InjectFaults(site.ShedLoad)
	env.send(no, http.MethodPost, "/query/1", env.requestID(), "", promptHeaders())
	require.Len(t, env.engines[0].RecordedRequests(), 1)
	env.engines[1].ClearFaults()
	for _, fault := range []site.EndpointFault{site.ResetConnection, site.TruncateResponse, site.ShedLoad, site.InternalError, site.EndInsideEvent} {
		env.engines[1].InjectFaults(fault)
		env.send(no, http.MethodPost, "/query/1", env.requestID(), "", promptHeaders())
		env.engines[1].ClearFaults()
	}
	require.Len(t, env.engines[0].RecordedRequests(), 1)
}
