package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/gateway"
	"github.com/bergamotway/bergamotway/internal/origin"
	"github.com/bergamotway/bergamotway/internal/retry"
)

const (
	streamHead   = "HTTP/1.1 200 OK\r\n" + sealedHeader + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	brokenStream = streamHead + "11\r\nid: 1\ndata: one\n\n\r\n" + closeMark
	restOfStream = streamHead + "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n"
)

// versionFixture is a gateway in front of endpoints of two services with several software versions.
type versionFixture struct {
	fl      *fleet.Fleet
	origins *origin.Directory
	gw      *gateway.Gateway
}

func newVersionFixture(sole func(string) (string, bool), configure ...func(*gateway.Options)) *versionFixture {
	ck := clock.System()
	fx := &versionFixture{fl: fleet.New(fleet.Options{Clock: ck, Host: "host"}), origins: origin.New(origin.Options{Sole: sole})}
	opts := gatewayOptions(ck, fx.fl)
	opts.Budget = retry.NewWindowBudget(ck, retry.Limits{Window: time.Second, Slack: 1000})
	opts.Origins = fx.origins
	for _, set := range configure {
		set(&opts)
	}
	fx.gw = gateway.New(opts)
	fx.gw.Configure(catalog.New(catalog.Spec{
		Version: 1, Routes: []catalog.Route{{
			Name: "query", Kind: catalog.Streaming, Resumable: true, Host: "shop.example", Prefix: "/", MaxAttempts: 3,
			Services: []catalog.WeightedService{{Service: "engines", Weight: 50}, {Service: "others", Weight: 50}},
		}},
		Services: []catalog.Service{{Name: "engines"}, {Name: "others"}},
	}))
	return fx
}

func (fx *versionFixture) add(t *testing.T, id, service, software string, answers ...string) *keptEndpoint {
	ke := startKeptEndpoint(t, answers...)
	fx.fl.Put(fleet.Entry{
		ID: id, Service: service, Address: ke.listener.Addr().String(), Zone: "here", Slots: 8, StartTimeMs: 1, SoftwareVersion: software,
	})
	return ke
}

// takeUp sends a request that resumes a stream. The status is zero if the response was broken off.
func (fx *versionFixture) takeUp(id, resumes, lastEvent string) (status int, body string) {
	hr := httptest.NewRequest(http.MethodPost, "/", nil)
	hr.Host = "shop.example"
	hr.Header.Set("X-Request-Id", id)
	hr.Header.Set("Resumes", resumes)
	hr.Header.Set("Last-Event-Id", lastEvent)
	rr := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			status, body = 0, rr.Body.String()
		}
	}()
	fx.gw.ServeHTTP(rr, hr)
	return rr.Code, rr.Body.String()
}

func severalVersions(string) (string, bool) { return "", false }

// Guards against a stream that goes on at an endpoint whose software version is not known.
func TestStreamOfUnknownSoftwareIsNotContinued(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	for _, service := range []string{"engines", "others"} {
		fx.add(t, service+"-0", service, "", brokenStream)
		fx.add(t, service+"-1", service, "", restOfStream)
	}
	broken := 0
	for i := range 24 {
		status, body := fx.takeUp(fmt.Sprint("a", i), "", "")
		if status == 0 {
			require.Equal(t, "id: 1\ndata: one\n\n", body)
			broken++
			continue
		}
		require.Equal(t, "id: 2\ndata: two\n\n", body)
	}
	require.Positive(t, broken)
}

// Guards against a stream that may not go on, and does since its host decides anew from an older view.
func TestDoubtAtTheBeginOfAStreamStays(t *testing.T) {
	t.Parallel()
	broken := 0
	for i := range 12 {
		var asked atomic.Int64
		fx := newVersionFixture(func(string) (string, bool) { return "", asked.Add(1) > 1 })
		for _, service := range []string{"engines", "others"} {
			fx.add(t, service+"-0", service, "", brokenStream)
			fx.add(t, service+"-1", service, "", restOfStream)
		}
		status, body := fx.takeUp(fmt.Sprint("a", i), "", "")
		require.NotContains(t, body, "id: 1\ndata: one\n\nid: 2")
		if status == 0 {
			broken++
		}
	}
	require.Positive(t, broken)
}

// Guards against refusing a stream whose version has few endpoints among many others.
func TestTakeUpFindsTheFewEndpointsOfItsVersion(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	for _, service := range []string{"engines", "others"} {
		fx.add(t, service+"-old", service, "v1", restOfStream)
	}
	_, _ = fx.takeUp("first", "", "")
	for i := range 40 {
		for _, service := range []string{"engines", "others"} {
			fx.add(t, fmt.Sprint(service, "-new-", i), service, "v2", restOfStream)
		}
	}
	for i := range 20 {
		status, _ := fx.takeUp(fmt.Sprint("second-", i), "first", "1")
		require.Equal(t, http.StatusOK, status)
	}
}

// Guards against a stream that is never continued where endpoints report no software version.
func TestStreamIsContinuedWithoutSoftwareVersions(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(nil)
	for _, service := range []string{"engines", "others"} {
		fx.add(t, service+"-0", service, "", brokenStream)
		fx.add(t, service+"-1", service, "", restOfStream)
	}
	continued := 0
	for i := range 24 {
		status, body := fx.takeUp(fmt.Sprint("a", i), "", "")
		require.Equal(t, http.StatusOK, status)
		if body == "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" {
			continued++
		}
	}
	require.Positive(t, continued)
}

// Guards against a take-up that is sent to another service of its route than the one that began the stream.
func TestTakeUpStaysAtTheServiceOfItsStream(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	engines, others := fx.add(t, "e", "engines", "v1", restOfStream), fx.add(t, "o", "others", "v1", restOfStream)
	for i := range 12 {
		first := fmt.Sprint("first-", i)
		status, _ := fx.takeUp(first, "", "")
		require.Equal(t, http.StatusOK, status)
		before := [2]int64{engines.read.Load(), others.read.Load()}
		fi := fx.origins.Find(t.Context(), origin.Stream{Request: first}, "")
		require.NotEqual(t, origin.Unknown, fi.Source)
		status, _ = fx.takeUp(fmt.Sprint("second-", i), first, "1")
		require.Equal(t, http.StatusOK, status)
		after := [2]int64{engines.read.Load(), others.read.Load()}
		if fi.Origin.Service == "engines" {
			before[0]++
		} else {
			before[1]++
		}
		require.Equal(t, before, after)
	}
	require.Positive(t, engines.read.Load())
	require.Positive(t, others.read.Load())
}

// Guards against holding a take-up that cannot go on, and against sending it anywhere.
func TestTakeUpOfUnknownOriginIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	engines, others := fx.add(t, "e", "engines", "v1", restOfStream), fx.add(t, "o", "others", "v1", restOfStream)
	for _, resumes := range []string{"never-begun", ""} {
		started := time.Now()
		status, body := fx.takeUp("a", resumes, "1")
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Equal(t, "unknown-origin\n", body)
		require.Less(t, time.Since(started), 500*time.Millisecond)
	}
	require.Zero(t, engines.read.Load()+others.read.Load())
}

// Guards against a chain of take-ups that drifts to another version over a release.
func TestChainOfTakeUpsStaysAtTheFirstVersion(t *testing.T) {
	t.Parallel()
	fx := newVersionFixture(severalVersions)
	var newer []*keptEndpoint
	for _, service := range []string{"engines", "others"} {
		for i := range 3 {
			fx.add(t, fmt.Sprint(service, "-old-", i), service, "v1", brokenStream, streamHead+"11\r\nid: 2\ndata: two\n\n\r\n"+closeMark)
		}
	}
	first := "first"
	_, _ = fx.takeUp(first, "", "")
	for _, service := range []string{"engines", "others"} {
		for i := range 3 {
			newer = append(newer, fx.add(t, fmt.Sprint(service, "-new-", i), service, "v2", restOfStream))
		}
	}
	for link := range 3 {
		_, _ = fx.takeUp(fmt.Sprint("link-", link), first, fmt.Sprint(link+2))
		// The first event that the client gets may also be named by a link.
		_, _ = fx.takeUp(fmt.Sprint("other-", link), fmt.Sprint("link-", link), fmt.Sprint(link+2))
	}
	for _, ke := range newer {
		require.Zero(t, ke.read.Load())
	}
}
