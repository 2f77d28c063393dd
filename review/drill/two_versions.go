package main

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

const (
	// storeOutage is how long the metadata store is down.
	storeOutage = 5200 * time.Millisecond
	// allowedMixed is the number of streams with events of two versions that the rule allows.
	allowedMixed = 2
	// mixedEndpoints is the number of engines, upgradedEndpoints that of those that start again, mixedClients that of the clients, and mixedHosts that of the hosts.
	mixedEndpoints    = 8
	upgradedEndpoints = 2
	mixedClients      = 128
	mixedHosts        = 6
)

var softwarePattern = regexp.MustCompile(`by software (v\d+)`)

// runTwoVersions restarts two of eight engines in place with the next version of its software, and lets that version crash some
// seconds later. With the disruption the metadata store is down meanwhile. No more than two streams may hold events of both
// versions.
func runTwoVersions(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	if err := bed.configure(1, sharingTenants()); err != nil {
		return nil, err
	}
	engine := func(id string) endpointOptions {
		return endpointOptions{ID: id, Service: "whetstone", Software: "v1", Model: true, Events: 12, EventMs: 150}
	}
	var ids []string
	for i := range mixedEndpoints {
		ep, err := bed.startEndpoint(engine(fmt.Sprintf("i-7f3a91c%d", i)))
		if err != nil {
			return nil, err
		}
		if err := bed.register(ep); err != nil {
			return nil, err
		}
		if i < upgradedEndpoints {
			ids = append(ids, ep.opts.ID)
		}
	}
	if err := bed.startHosts(ctx, mixedHosts); err != nil {
		return nil, err
	}
	// The hosts record the software version.
	time.Sleep(3 * time.Second)
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		mixed []string
		whole int
	)
	stop := make(chan struct{})
	for i := range mixedClients {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				re := bed.send(ctx, tr, bed.hosts[i%len(bed.hosts)], call{
					method: http.MethodPost, path: visitPath + "2f", key: firstKey,
					prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%04x%04x:250", i, n), timeout: 4 * time.Second,
				})
				if re.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				mu.Lock()
				if versions := softwareOf(re.body); len(versions) > 1 {
					mixed = append(mixed, fmt.Sprintf("%s: one answer holds events of the software versions %s", re.id, strings.Join(versions, " and ")))
				} else if re.complete {
					whole++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		bed.record.printf("the metadata store is down (silent)")
		bed.store.SetFault(site.StoreUnresponsive)
		time.AfterFunc(storeOutage, func() {
			bed.record.printf("the metadata store is back")
			bed.store.SetFault(site.NoStoreFault)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if err := bed.restartAll(ids, "v2"); err != nil {
		return nil, err
	}
	time.Sleep(3500 * time.Millisecond)
	if err := bed.restartAll(ids, "v2"); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	bed.record.printf("whole answers of one version: %d, streams with two versions: %d", whole, len(mixed))
	if whole == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if len(mixed) <= allowedMixed {
		return nil, nil
	}
	return mixed, nil
}

// restartAll ends endpoints and starts them again at their addresses, under their identifiers, with a version of their software.
// Each writes its entry as soon as the metadata store takes it.
func (bed *testbed) restartAll(ids []string, software string) error {
	var started []endpointOptions
	for _, id := range ids {
		ep := bed.lastStart(id)
		bed.record.printf("endpoint %s ends", id)
		ep.kill()
		opts := ep.opts
		opts.Software, opts.BornMs = software, 0
		started = append(started, opts)
	}
	time.Sleep(500 * time.Millisecond)
	for _, opts := range started {
		next, err := bed.startEndpoint(opts)
		if err != nil {
			return err
		}
		go bed.registerWhenUp(next)
	}
	return nil
}

// registerWhenUp writes the entry of an endpoint, and tries again while the metadata store is down.
func (bed *testbed) registerWhenUp(ep *endpointProcess) {
	for !bed.storeIsUp() {
		time.Sleep(50 * time.Millisecond)
	}
	if err := bed.register(ep); err != nil {
		bed.record.printf("endpoint %s: %v", ep.opts.ID, err)
		return
	}
	bed.record.printf("endpoint %s has written its entry, software %s", ep.opts.ID, ep.opts.Software)
}

// storeIsUp reports whether the metadata store answers a call.
func (bed *testbed) storeIsUp() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+bed.store.Address()+"/kv-range?pathPrefix=op/config", nil)
	if err != nil {
		return false
	}
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// lastStart returns the latest start of an endpoint.
func (bed *testbed) lastStart(id string) *endpointProcess {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	for _, ep := range slices.Backward(bed.endpoints) {
		if ep.opts.ID == id {
			return ep
		}
	}
	return nil
}

// softwareOf returns the software versions that wrote the events of a stream, sorted.
func softwareOf(body string) []string {
	var out []string
	for _, match := range softwarePattern.FindAllStringSubmatch(body, -1) {
		if !slices.Contains(out, match[1]) {
			out = append(out, match[1])
		}
	}
	slices.Sort(out)
	return out
}
