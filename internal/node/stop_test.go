package node_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against requests that a stopping host passes on so late that it cuts them at the end of its grace.
func TestPlannedStopCutsNoRequestThatRuns(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, uri, usage string
		interval         time.Duration
	}{
		{"short", "/long/1", "900,20", 250 * time.Millisecond},
		{"resumable", "/long-query/1", "900,20", 250 * time.Millisecond},
		{"long", "/long/1", "900,1600", 620 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, 0, 0)
			env.engines = append(env.engines, env.startEndpoint(site.EndpointOptions{
				ID: "slow", Service: "engines", Zone: "here", Model: modelName, EventCount: 8, EventInterval: tc.interval,
			}))
			env.writeConfiguration(
				site.Route{Name: "long", Kind: "streaming", Service: "engines", MaxAttempts: 1, Timeout: 8 * time.Second},
				site.Route{Name: "long-query", Kind: "streaming", Service: "engines", MaxAttempts: 1, Resumable: true, Timeout: 8 * time.Second},
			)
			hd := promptHeaders()
			hd["X-Token-Usage"] = tc.usage
			no, stop := env.startHost("host-0")
			env.awaitReadiness(no, true)
			var (
				wg        sync.WaitGroup
				mu        sync.Mutex
				responses = make(map[string]response)
				gone      = make(chan struct{})
			)
			for i := range 24 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					<-time.After(time.Duration(i) * 120 * time.Millisecond)
					// Each client keeps its connection until the host is gone.
					tr := &http.Transport{MaxIdleConnsPerHost: 1}
					for {
						select {
						case <-gone:
							return
						default:
						}
						id := env.requestID()
						re := site.Send(context.Background(), tr, no.Address(), site.Request{
							ID: id, Method: http.MethodPost, URI: tc.uri, Timeout: 8 * time.Second, Header: hd,
						})
						mu.Lock()
						responses[id] = response{status: re.Status, body: re.Body, complete: re.Complete, err: re.Err}
						mu.Unlock()
						if re.Err != nil || re.Status != http.StatusOK {
							<-time.After(20 * time.Millisecond)
						}
					}
				}()
			}
			<-time.After(500 * time.Millisecond)
			stop()
			<-time.After(time.Duration(env.bounds.StopMs)*time.Millisecond + 500*time.Millisecond)
			close(gone)
			wg.Wait()
			runs := make(map[string]int)
			for _, rr := range env.engines[0].RecordedRequests() {
				runs[rr.ID]++
			}
			served := 0
			for id, re := range responses {
				if runs[id] > 0 {
					require.Equal(t, http.StatusOK, re.status, id)
					require.True(t, re.complete, "%s: %v", id, re.err)
					served++
				}
			}
			require.Positive(t, served)
		})
	}
}
