package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cutShortEvents  = 12
	cutShortEventMs = 100
	cutShortPieceMs = 400
	// cutShortEndpoints is the number of endpoints of each service, of which one crashes, and cutShortClients that of the clients
	// of both.
	cutShortEndpoints = 4
	cutShortClients   = 24
)

// runCutShort has endpoints answer without a length, and kills one of each service in turn while it answers. An answer that ends early
// must not look complete.
func runCutShort(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	if err := bed.configure(1, sharingTenants()); err != nil {
		return nil, err
	}
	var engines, desks []*endpointProcess
	for i := range cutShortEndpoints {
		engine, err := bed.startEndpoint(endpointOptions{
			ID: fmt.Sprint("i-engine-", i), Service: "whetstone", Software: "v1", Model: true, Events: cutShortEvents,
			EventMs: cutShortEventMs, Undelimited: true,
		})
		if err != nil {
			return nil, err
		}
		desk, err := bed.startEndpoint(endpointOptions{
			ID: fmt.Sprint("i-desk-", i), Service: "roundbook", Software: "v1", PieceMs: cutShortPieceMs, Undelimited: true,
		})
		if err != nil {
			return nil, err
		}
		engines, desks = append(engines, engine), append(desks, desk)
		for _, ep := range []*endpointProcess{engine, desk} {
			if err := bed.register(ep); err != nil {
				return nil, err
			}
		}
	}
	if err := bed.startHosts(ctx, hostCount); err != nil {
		return nil, err
	}
	var (
		wg         sync.WaitGroup
		mu         sync.Mutex
		violations []string
		whole      int
	)
	stop := make(chan struct{})
	for i := range cutShortClients {
		wg.Go(func() {
			tr := &http.Transport{}
			defer tr.CloseIdleConnections()
			ho := bed.hosts[i%len(bed.hosts)]
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				ca := call{method: http.MethodPost, path: visitPath + "2f", key: firstKey, prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", i), timeout: 4 * time.Second}
				if i%2 == 1 {
					ca = call{method: http.MethodGet, path: lookupPath + "2f", key: firstKey, timeout: 3 * time.Second}
				}
				re := bed.send(ctx, tr, ho, ca)
				if re.status != http.StatusOK || !re.complete {
					continue
				}
				mu.Lock()
				if violation := checkWhole(re, i%2 == 0); violation != "" {
					violations = append(violations, violation)
				} else {
					whole++
				}
				mu.Unlock()
			}
		})
	}
	for _, ep := range []*endpointProcess{engines[0], desks[0]} {
		time.Sleep(4250 * time.Millisecond)
		if trouble {
			bed.record.printf("endpoint %s crashes", ep.opts.ID)
			ep.kill()
			// The entry of a crashed endpoint goes after three missed reports.
			time.AfterFunc(3600*time.Millisecond, func() { bed.unregister(ep) })
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	bed.record.printf("whole answers: %d", whole)
	if whole == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	return violations, nil
}

// checkWhole returns what an answer that looks complete lacks, empty if it is whole.
func checkWhole(re reply, isStream bool) string {
	if isStream {
		if events := strings.Count(re.body, "\n\n"); events != cutShortEvents {
			return fmt.Sprintf("%s: the stream ended as complete after %d of %d events", re.id, events, cutShortEvents)
		}
		return ""
	}
	want := plainBody(re.id)
	if re.body != want[0]+want[1] {
		return fmt.Sprintf("%s: a success with %d of %d bytes of the body", re.id, len(re.body), len(want[0])+len(want[1]))
	}
	return ""
}
