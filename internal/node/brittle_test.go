package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/node"
	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// Guards against hosts that together have a brittle endpoint turn away more requests in a second than it bears.
func TestBrittleEndpointIsNotOverrun(t *testing.T) {
	t.Parallel()
	const limit, slots, noticeTime, span = 6, 3, 3 * time.Second, 4 * time.Second
	env := newTestEnv(t, 0, 0)
	for i := range 3 {
		env.engines = append(env.engines, env.startEndpoint(site.EndpointOptions{
			ID: fmt.Sprint("brittle-", i), Service: "engines", Zone: "here", Model: modelName, Slots: slots, Capacity: slots + 2,
			EventCount: 10, EventInterval: 20 * time.Millisecond,
		}))
	}
	env.writeConfiguration()
	hosts := []*node.Node{env.startReadyHost("host-0"), env.startReadyHost("host-1"), env.startReadyHost("host-2")}
	env.awaitHosts(len(hosts))
	for _, ep := range env.engines {
		ep.AnnounceBrittle(1 << 20)
	}
	// The endpoints have room for some 45 requests a second.
	env.sendEvery(40*time.Millisecond, noticeTime, "/note/1", hosts...)
	for _, ep := range env.engines {
		ep.AnnounceBrittle(limit)
	}
	served, sent := 0, 0
	for _, re := range env.sendEvery(8*time.Millisecond, span, "/note/1", hosts...) {
		sent++
		if re.status == http.StatusOK && re.complete {
			served++
		}
	}
	for _, ep := range env.engines {
		require.True(t, ep.StoppedAt().IsZero(), "an endpoint fell over")
	}
	require.Greater(t, served, sent/6, "the room that there is has to be used")
}
