package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/relay"
)

const headerOrigin = "Bergamotway-Origin"

// relayTakeUp passes a take-up on to a gateway as another host does.
func (fx *versionFixture) relayTakeUp(id string, origins ...string) (status int, body string) {
	hr := httptest.NewRequest(http.MethodPost, "/", nil)
	hr.Host = "shop.example"
	hr.Header.Set("X-Request-Id", id)
	hr.Header.Set("Resumes", "first")
	hr.Header.Set("Last-Event-Id", "1")
	hr.Header.Set("Bergamotway-Attempts", "0")
	hr.Header[headerOrigin] = origins
	rr := httptest.NewRecorder()
	fx.gw.RelayHandler().ServeHTTP(rr, hr)
	return rr.Code, rr.Body.String()
}

// Guards against a host that decides by itself where a stream goes on that another host has passed on.
func TestPassedOnOriginIsUsed(t *testing.T) {
	t.Parallel()
	// The host holds that there is one version.
	fx := newVersionFixture(func(string) (string, bool) { return "v1", true })
	engines := map[string]*keptEndpoint{}
	for _, service := range []string{"engines", "others"} {
		for _, version := range []string{"v1", "v2"} {
			engines[service+version] = fx.add(t, service+version, service, version, restOfStream)
		}
	}
	served := 0
	for _, service := range []string{"engines", "others"} {
		if status, _ := fx.relayTakeUp("a-"+service, "service="+service+"&software=v2"); status == http.StatusOK {
			served++
		}
		// Nothing to go on at.
		status, _ := fx.relayTakeUp("b-"+service, "service="+service+"&software=v3")
		require.NotEqual(t, http.StatusOK, status)
	}
	require.Equal(t, 1, served, "the stream is of one of the services")
	require.Zero(t, engines["enginesv1"].read.Load()+engines["othersv1"].read.Load())
}

// Guards against a guess from an odd value.
func TestOddOriginIsRefused(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(nil)
	for _, texts := range [][]string{
		{""},
		{"v1"},
		{"service=engines"},
		{"software=v1"},
		{"service=&software=v1"},
		{"service=a&service=b&software=v1"},
		{"service=%zz&software=v1"},
		{"service=engines&software=v1&source=guess"},
		{"service=engines&software=v1", "service=engines&software=v2"},
	} {
		status, _ := fx.relayTakeUp("a", texts...)
		require.Equal(t, http.StatusBadRequest, status, texts)
	}
}

// Guards against a client that names the origin of a stream itself, and a neighbour of an earlier version that would guess it.
func TestOriginIsPassedOnOnlyToHostsThatReadIt(t *testing.T) {
	t.Parallel()
	ne := relay.New(clock.System())
	fx := newVersionFixture(severalVersions, func(opts *gateway.Options) {
		opts.Neighbours, opts.RelayPool = ne, attempt.NewPool(attempt.Options{})
	})
	fx.gw.Configure(catalog.New(catalog.Spec{
		Version: 2, Routes: []catalog.Route{{
			Name: "query", Kind: catalog.Streaming, Resumable: true, Host: "shop.example", Prefix: "/", MaxAttempts: 3,
			Services: []catalog.WeightedService{{Service: "engines"}},
		}},
		Services: []catalog.Service{{Name: "engines"}},
	}))
	for i := range 6 {
		fx.fl.Put(fleet.Entry{
			ID: fmt.Sprint("endpoint-", i), Service: "engines", Address: closedAddress(t), Zone: "here", Slots: 8, StartTimeMs: 1, SoftwareVersion: "v2",
		})
	}
	fx.origins.Record(origin.Stream{Request: "first"}, origin.Origin{Service: "engines", Software: "v2"})
	var (
		mu       sync.Mutex
		received []http.Header
	)
	neighbour := func() relay.Host {
		sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			received = append(received, hr.Header.Clone())
			w.Header().Set("Bergamotway-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(sv.Close)
		return relay.Host{Name: sv.URL, Address: netip.MustParseAddrPort(sv.Listener.Addr().String())}
	}
	earlier, current := neighbour(), neighbour()
	current.TakesOrigins = true
	send := func(id string, hd map[string]string) {
		hr := httptest.NewRequest(http.MethodPost, "/", nil)
		hr.Host = "shop.example"
		hr.Header.Set("X-Request-Id", id)
		for name, value := range hd {
			hr.Header.Set(name, value)
		}
		fx.gw.ServeHTTP(httptest.NewRecorder(), hr)
	}
	takeUp := map[string]string{"Resumes": "first", "Last-Event-Id": "1", headerOrigin: "service=engines&software=v1"}
	ne.SetHosts([]relay.Host{earlier})
	send("a", takeUp)
	require.Empty(t, received)
	send("begins", nil)
	require.Empty(t, received, "an earlier build takes the end of a connection for the end of the stream")
	ne.SetHosts([]relay.Host{earlier, current})
	send("b", takeUp)
	require.Len(t, received, 1)
	require.Len(t, received[0][headerOrigin], 1)
	require.Contains(t, received[0].Get(headerOrigin), "software=v2")
	send("c", map[string]string{headerOrigin: "service=engines&software=v1"})
	require.Greater(t, len(received), 1)
	for _, hd := range received[1:] {
		require.Empty(t, hd[headerOrigin])
	}
}
