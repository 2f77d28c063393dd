package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/relay"
)

func newNeighbours(count int) (*relay.Neighbours, *clockwork.FakeClock) {
	ck := clockwork.NewFakeClock()
	ne := relay.New(ck)
	var hosts []relay.Host
	for i := range count {
		hosts = append(hosts, relay.Host{Name: fmt.Sprint("host-", i)})
	}
	ne.SetHosts(hosts)
	return ne, ck
}

// Guards against one neighbour that gets the requests of all hosts that are cut off.
func TestRequestsSpreadOverNeighbours(t *testing.T) {
	t.Parallel()
	for _, count := range []int{6, 74, 299} {
		ne, _ := newNeighbours(count)
		got := make(map[string]int)
		for i := range 100 * count {
			chosen := ne.Choose(fmt.Sprint("request-", i), "engines", 2)
			require.Len(t, chosen, 2)
			require.NotEqual(t, chosen[0], chosen[1])
			got[chosen[0].Name]++
		}
		require.Len(t, got, count)
		for name, requests := range got {
			require.InDelta(t, 100, requests, 60, name)
		}
	}
}

func TestAvoidedNeighbourIsLeftOut(t *testing.T) {
	t.Parallel()
	ne, ck := newNeighbours(2)
	ne.Avoid("host-0", "engines", time.Second)
	for i := range 20 {
		require.Equal(t, []relay.Host{{Name: "host-1"}}, ne.Choose(fmt.Sprint(i), "engines", 2))
		require.Len(t, ne.Choose(fmt.Sprint(i), "desk", 2), 2)
	}
	ne.Avoid("host-1", "", time.Second)
	require.Empty(t, ne.Choose("a", "engines", 2))
	ck.Advance(time.Second)
	require.Len(t, ne.Choose("a", "engines", 2), 2)
}

// Plays hosts of which a share is cut off: a neighbour that is cut off as well says so and is left out for two seconds.
func TestMostRequestsFindNeighbourThatServes(t *testing.T) {
	t.Parallel()
	const tries, perSecond, seconds = 6, 20, 4
	for _, hosts := range []int{7, 75, 300} {
		for _, cutShare := range []float64{0.3, 0.6, 0.8} {
			ne, ck := newNeighbours(hosts - 1)
			cut := int(cutShare * float64(hosts))
			served, asked := 0, 0
			for i := range perSecond * seconds {
				for _, ho := range ne.Choose(fmt.Sprint("request-", i), "engines", tries) {
					asked++
					var number int
					_, err := fmt.Sscanf(ho.Name, "host-%d", &number)
					require.NoError(t, err)
					// The host itself is one of those that are cut off.
					if number >= cut-1 {
						served++
						break
					}
					ne.Avoid(ho.Name, "engines", 2*time.Second)
				}
				ck.Advance(time.Second / perSecond)
			}
			t.Logf("%d hosts, %.1f cut off: %d of %d served, %.2f asked for each", hosts, cutShare, served, perSecond*seconds, float64(asked)/(perSecond*seconds))
			require.GreaterOrEqual(t, 3*served, 2*perSecond*seconds, "%d hosts, %.1f cut off", hosts, cutShare)
		}
	}
}
