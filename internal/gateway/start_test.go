package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/retry"
	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/platform"
)

// streamTime is the time between two events of a stream.
const streamTime = 30 * time.Millisecond

// addSite adds an endpoint of both services that can start again in place. It returns its entry.
func (fx *versionFixture) addSite(t *testing.T, id, software string) (*site.Endpoint, fleet.Entry) {
	ep, err := site.NewEndpoint(site.EndpointOptions{ID: id, SoftwareVersion: software, EventCount: 8, EventInterval: streamTime})
	require.NoError(t, err)
	t.Cleanup(ep.Close)
	_, entry := ep.Entry("ready")
	born, isNumber := entry["born"].(int64)
	require.True(t, isNumber)
	en := fleet.Entry{ID: id, Service: "engines", Address: ep.Address(), Zone: "here", Slots: 8, StartTimeMs: born, SoftwareVersion: software}
	fx.fl.Put(en)
	return ep, en
}

// Guards against a stream that goes on at the version that was known when it began, although the entry that was late names another.
func TestOriginIsComparedAgainWhenTheStreamBreaks(t *testing.T) {
	t.Parallel()
	for software, want := range map[string]int{"v1": http.StatusOK, "v2": 0} {
		t.Run(software, func(t *testing.T) {
			t.Parallel()
			// With one version in service the endpoint is not asked when the stream begins.
			fx := newVersionFixture(func(string) (string, bool) { return "v1", true })
			ep, en := fx.addSite(t, "a", "v1")
			time.AfterFunc(2*streamTime, func() {
				en.StartTimeMs++
				en.SoftwareVersion = software
				fx.fl.Put(en)
				fx.addSite(t, "b", "v1")
			})
			time.AfterFunc(5*streamTime, ep.Close)
			status, body := 0, ""
			for i := 0; body == ""; i++ {
				// The route splits its requests among two services.
				status, body = fx.takeUp(fmt.Sprint("r", i), "", "")
				if status == http.StatusServiceUnavailable {
					body = ""
				}
			}
			require.Equal(t, want, status, body)
		})
	}
}

// Guards against a host that has no connection to an endpoint which has started again, and that takes a stream up there.
func TestTakeUpIsNotSentToAnotherStartThatNobodyKnowsOf(t *testing.T) {
	t.Parallel()
	for software, want := range map[string]int{"v1": http.StatusOK, "v2": http.StatusServiceUnavailable} {
		t.Run(software, func(t *testing.T) {
			t.Parallel()
			fx := newVersionFixture(severalVersions)
			ep, _ := fx.addSite(t, "a", "v1")
			if software != "v1" {
				ep.Close()
				ep.SetSoftwareVersion(software)
				require.NoError(t, ep.Restart())
			}
			fx.origins.Record(origin.Stream{Request: "first"}, origin.Origin{Service: "engines", Software: "v1"})
			for i := range 24 {
				status, body := fx.takeUp(fmt.Sprint("r", i), "first", "2")
				require.Equal(t, want, status, body)
			}
			require.LessOrEqual(t, ep.ReportCount(), 1, "a connection is asked once")
		})
	}
}

// Guards against a stream whose endpoint has started again with another version before anybody noticed, and breaks off before its
// entry is read.
func TestStreamOfAnUnnoticedStartIsNotContinued(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	ep, _ := fx.addSite(t, "a", "v1")
	ep.Close()
	ep.SetSoftwareVersion("v2")
	require.NoError(t, ep.Restart())
	time.AfterFunc(2*streamTime, func() { fx.addSite(t, "b", "v1") })
	time.AfterFunc(5*streamTime, ep.Close)
	body := ""
	for i := 0; body == ""; i++ {
		// The route splits its requests among two services.
		if status, text := fx.takeUp(fmt.Sprint("r", i), "", ""); status != http.StatusServiceUnavailable {
			body = text
		}
	}
	require.NotContains(t, body, "of v1")
	require.Contains(t, body, "of v2")
}

// Guards against refusing all requests of a service whose only endpoint has started again, and against knowing what began them.
func TestStreamsBeginAtAnotherStartWithoutAKnownOrigin(t *testing.T) {
	t.Parallel()
	ck := clock.System()
	fx := newVersionFixture(nil)
	opts := gatewayOptions(ck, fx.fl)
	opts.Origins = origin.New(origin.Options{Sole: func(string) (string, bool) { return "v1", true }})
	opts.Pool = attempt.NewPool(attempt.Options{StartCodec: platform.StartCodec{}, IsConfirmed: func() bool { return false }})
	ct := fx.gw.Catalog()
	fx.gw = gateway.New(opts)
	fx.gw.Configure(ct)
	ep, _ := fx.addSite(t, "a", "v1")
	ep.Close()
	ep.SetSoftwareVersion("v2")
	require.NoError(t, ep.Restart())
	begun := 0
	for i := range 12 {
		id := fmt.Sprint("r", i)
		status, _ := fx.takeUp(id, "", "")
		if status != http.StatusOK {
			// The other service has no endpoint.
			require.Equal(t, http.StatusServiceUnavailable, status)
			continue
		}
		begun++
		fi := opts.Origins.Find(t.Context(), origin.Stream{Request: id}, "engines")
		require.Equal(t, origin.Origin{Service: "engines"}, fi.Origin)
		status, body := fx.takeUp(id+"-again", id, "2")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "unknown-origin\n", body)
	}
	require.Positive(t, begun)
	require.True(t, fx.fl.HasOtherStart("engines"))
	require.False(t, fx.fl.HasOtherStart("others"))
	require.Equal(t, 1, ep.ReportCount())
}

// Guards against refusing streams as overloaded while an endpoint of which another start answers is idle.
func TestStreamBeginsAtAnotherStartRatherThanLate(t *testing.T) {
	t.Parallel()
	ck := clock.System()
	fx := newVersionFixture(severalVersions)
	fx.gw = gateway.New(gatewayOptions(ck, fx.fl))
	fx.gw.Configure(catalog.New(catalog.Spec{
		Version: 1, Routes: []catalog.Route{{
			Name: "query", Kind: catalog.Streaming, Resumable: true, Host: "shop.example", Prefix: "/", MaxAttempts: 1,
			TargetLatency: time.Second, Timeout: 4 * time.Second, Services: []catalog.WeightedService{{Service: "engines"}},
		}},
		Services: []catalog.Service{{Name: "engines", Engine: &catalog.Engine{Slots: 8, CapacityTokens: 90000, Models: []string{site.Model}}}},
	}))
	var eps []*site.Endpoint
	for _, id := range []string{"known", "restarted"} {
		ep, en := fx.addSite(t, id, "v1")
		en.Models = map[string]uint64{site.Model: 1}
		fx.fl.Put(en)
		eps = append(eps, ep)
	}
	require.True(t, fx.fl.MarkOtherStart("restarted", 1000))
	send := func(id string) int {
		hr := httptest.NewRequest(http.MethodPost, "/", nil)
		hr.Host = "shop.example"
		for name, value := range map[string]string{"X-Request-Id": id, "X-Model": site.Model, "X-Token-Usage": "900,20"} {
			hr.Header.Set(name, value)
		}
		rr := httptest.NewRecorder()
		fx.gw.ServeHTTP(rr, hr)
		return rr.Code
	}
	require.Equal(t, http.StatusOK, send("calm"))
	require.Len(t, eps[0].RecordedRequests(), 1)
	require.NotNil(t, fx.fl.Begin("known", fleet.Load{Requests: 30, Tokens: 200_000, PrefillTokens: 400_000}, 0))
	require.Equal(t, http.StatusOK, send("busy"))
	require.Len(t, eps[1].RecordedRequests(), 1)
	require.NotNil(t, fx.fl.Begin("restarted", fleet.Load{Requests: 30, Tokens: 200_000, PrefillTokens: 400_000}, 0))
	require.Equal(t, http.StatusServiceUnavailable, send("full"))
}

// Guards against refusing a stream because many endpoints have started again, of which each is found out by an attempt.
func TestStreamBeginsAlthoughManyEndpointsHaveStartedAgain(t *testing.T) {
	t.Parallel()
	ck := clock.System()
	fx := newVersionFixture(nil)
	opts := gatewayOptions(ck, fx.fl)
	opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
	opts.Pool = attempt.NewPool(attempt.Options{StartCodec: platform.StartCodec{}, IsConfirmed: func() bool { return false }})
	ct := fx.gw.Catalog()
	fx.gw = gateway.New(opts)
	fx.gw.Configure(ct)
	for i := range 12 {
		ep, _ := fx.addSite(t, fmt.Sprint("engine-", i), "v1")
		ep.Close()
		require.NoError(t, ep.Restart())
	}
	for i := 0; ; i++ {
		require.Less(t, i, 64)
		status, body := fx.takeUp(fmt.Sprint("r", i), "", "")
		if body == "no-endpoint\n" {
			// The other service has no endpoint.
			continue
		}
		require.Equal(t, http.StatusOK, status, body)
		break
	}
}
