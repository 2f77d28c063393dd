package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/fleet"
)

// coldHost is a host that sends as many requests to a cold endpoint as it may.
type coldHost struct {
	name         string
	fleet        *fleet.Fleet
	isRegistered bool
}

func startColdHost(ck *clockwork.FakeClock, name string, known []string) *coldHost {
	ch := &coldHost{name: name}
	ch.fleet = fleet.New(fleet.Options{Clock: ck, Host: name, IsRegistered: func() bool { return ch.isRegistered }})
	en := newEntry("cold")
	en.ColdFor = time.Hour
	ch.fleet.Put(en)
	ch.learn(known)
	return ch
}

func (ch *coldHost) learn(hosts []string) { ch.fleet.SetHosts(sortedWith(hosts, ch.name)) }

// sortedWith returns the names and one more, sorted and each once.
func sortedWith(names []string, name string) []string {
	out := append(slices.Clone(names), name)
	slices.Sort(out)
	return slices.Compact(out)
}

// Guards against too many requests to a cold endpoint while some hosts are cut off from the metadata store, and others restart and
// know of neither these nor each other.
func TestColdEndpointIsSparedWhileHostsAreCutOffAndRestart(t *testing.T) {
	t.Parallel()
	const rate, factor, slack = 17.0, 1.5, 5.0
	for _, tt := range []struct {
		hosts                    int
		cutShare, restartedShare float64
	}{{3, .34, .34}, {6, .5, .34}, {6, .67, 0}, {7, .5, .34}, {7, .34, .6}, {75, .5, .34}, {75, .34, .6}, {300, .5, .34}} {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			t.Parallel()
			count := tt.hosts
			ck := clockwork.NewFakeClock()
			var names []string
			for i := range count {
				names = append(names, fmt.Sprintf("host-%03d", i))
			}
			hosts := make([]*coldHost, count)
			for i, name := range names {
				hosts[i] = startColdHost(ck, name, names)
				hosts[i].isRegistered = true
				hosts[i].fleet.StoreReached()
			}
			ck.Advance(time.Minute)
			for _, ch := range hosts {
				ch.fleet.StoreReached()
			}
			cut, restarted := int(tt.cutShare*float64(count)), int(tt.restartedShare*float64(count))
			steady := names[cut+restarted:]
			var sent []time.Duration
			start := ck.Now()
			for tick := range 1400 {
				switch tick {
				case 33:
					for i := cut; i < cut+restarted; i++ {
						hosts[i] = nil
					}
				case 233:
					for _, ch := range hosts[:cut] {
						ch.isRegistered = false
					}
				case 266:
					for _, ch := range hosts[cut+restarted:] {
						ch.learn(steady)
					}
				case 300:
					// The registrations of the hosts that were killed have ended as well; they are back one after the other.
					for i := cut; i < cut+restarted; i++ {
						hosts[i] = startColdHost(ck, names[i], steady)
					}
				case 307:
					for i := cut; i < count; i++ {
						hosts[i].isRegistered = true
						hosts[i].learn(names[cut:])
					}
				case 1333:
					for _, ch := range hosts {
						ch.isRegistered = true
						ch.learn(names)
					}
				}
				for _, ch := range hosts {
					if ch == nil {
						continue
					}
					if tick%33 == 0 && ch.isRegistered {
						ch.fleet.StoreReached()
					}
					if fi := ch.fleet.Begin("cold", fleet.Load{Requests: 1}, rate); fi != nil {
						fi.End(fleet.Succeeded, 0)
						sent = append(sent, ck.Now().Sub(start))
					}
				}
				ck.Advance(30 * time.Millisecond)
			}
			maxPerSecond, from := 0, 0
			for i := range sent {
				for sent[i]-sent[from] >= time.Second {
					from++
				}
				maxPerSecond = max(maxPerSecond, i-from+1)
			}
			require.LessOrEqual(t, float64(maxPerSecond), rate*factor+slack)
			require.Greater(t, maxPerSecond, 8, "a cold endpoint still gets enough requests to warm up")
		})
	}
}
