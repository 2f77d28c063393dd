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
	// takenUpStreams is the number of streams that clients take up, and that of the new ones beside them; takenUpHosts that of
	// the hosts.
	takenUpStreams = 24
	takenUpHosts   = 3
	// contactTime is the bound contactMs. A host whose process has run for so long is in touch.
	contactTime = 3 * time.Second
	// streamTimeout is the time limit of the clients of these streams.
	streamTimeout = 12 * time.Second
)

// runTakenUp breaks streams of two software versions off and lets clients take them up. With the disruption all hosts are killed
// at the same moment, and clients come once the hosts are in touch again. Without it the clients lose their channels only. At
// least half as many streams must go on as new ones begin.
func runTakenUp(ctx context.Context, bed *testbed, trouble bool) ([]string, error) {
	bed.streamTimeout = streamTimeout
	if err := bed.configure(1, sharingTenants()); err != nil {
		return nil, err
	}
	for i := range 4 {
		ep, err := bed.startEndpoint(endpointOptions{
			ID: fmt.Sprint("i-7f3a91c", i), Service: "whetstone", Software: fmt.Sprint("v", 1+i%2), Model: true, Events: 45, EventMs: 200,
		})
		if err != nil {
			return nil, err
		}
		if err := bed.register(ep); err != nil {
			return nil, err
		}
	}
	if err := bed.startHosts(ctx, takenUpHosts); err != nil {
		return nil, err
	}
	// The hosts record the software versions.
	time.Sleep(4 * time.Second)
	began := bed.sendAll(ctx, func(i int) (*hostProcess, call, time.Duration) {
		// Channels of clients that take their streams up break after 1.6 s.
		return bed.hosts[i%takenUpHosts], streamCall(i, nil), 1600 * time.Millisecond
	}, func() {
		if !trouble {
			return
		}
		time.Sleep(1500 * time.Millisecond)
		bed.record.printf("all hosts are killed")
		for _, ho := range bed.hosts {
			_ = ho.cmd.Process.Kill()
		}
	})
	brokenAt := time.Now()
	if trouble {
		time.Sleep(500 * time.Millisecond)
		if err := bed.restartHosts(ctx); err != nil {
			return nil, err
		}
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	left := streamTimeout - 1600*time.Millisecond - time.Since(brokenAt)
	bed.record.printf("clients take up their streams, %v before their time limit; as many new ones are sent", left.Round(10*time.Millisecond))
	var again []reply
	for _, re := range began {
		if strings.Count(re.body, "\n\n") > 0 && !re.complete {
			again = append(again, re)
		}
	}
	if len(again) < takenUpStreams/2 {
		return nil, fmt.Errorf("only %d streams broke off after their first event", len(again))
	}
	var (
		wg             sync.WaitGroup
		taken, started []reply
	)
	wg.Go(func() {
		taken = bed.sendAll(ctx, func(i int) (*hostProcess, call, time.Duration) {
			ca := streamCall(i, nil)
			if i < len(again) {
				ca = streamCall(i, &again[i])
			}
			return bed.hosts[(i+1)%takenUpHosts], ca, left
		}, nil)[:len(again)]
	})
	wg.Go(func() {
		started = bed.sendAll(ctx, func(i int) (*hostProcess, call, time.Duration) {
			return bed.hosts[i%takenUpHosts], streamCall(100+i, nil), left
		}, nil)
	})
	wg.Wait()
	goOn, begin := 0, 0
	for i, re := range taken {
		first := fmt.Sprintf("id: %d\n", 1+strings.Count(again[i].body, "\n\n"))
		if re.status == http.StatusOK && strings.HasPrefix(re.body, first) {
			goOn++
		}
	}
	for _, re := range started {
		if re.status == http.StatusOK && strings.HasPrefix(re.body, "id: 1\n") {
			begin++
		}
	}
	bed.record.printf("of %d streams that were taken up %d went on; of %d new streams %d began", len(taken), goOn, len(started), begin)
	if begin == 0 {
		return nil, fmt.Errorf("no new stream began")
	}
	if share, other := float64(goOn)/float64(len(taken)), float64(begin)/float64(len(started)); share < other/2 {
		return []string{fmt.Sprintf("%d of %d streams that were taken up went on, while %d of %d new streams began", goOn, len(taken), begin, len(started))}, nil
	}
	return nil, nil
}

// streamCall returns the request for a stream, or the one that takes up a stream that broke off.
func streamCall(i int, broken *reply) call {
	ca := call{method: http.MethodPost, path: visitPath + "2f", key: firstKey, prompt: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", i), timeout: streamTimeout}
	if broken != nil {
		ca.header = map[string]string{"Last-Event-Id": fmt.Sprint(strings.Count(broken.body, "\n\n")), "Resumes": broken.id}
	}
	return ca
}

// sendAll sends takenUpStreams requests, each on a channel of its own that the client gives up after a time, and calls during, if
// it is not nil, meanwhile.
func (bed *testbed) sendAll(ctx context.Context, next func(i int) (*hostProcess, call, time.Duration), during func()) []reply {
	out := make([]reply, takenUpStreams)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			tr := &http.Transport{DisableKeepAlives: true}
			ho, ca, patience := next(i)
			ctx, cancel := context.WithTimeout(ctx, patience)
			defer cancel()
			out[i] = bed.send(ctx, tr, ho, ca)
		})
	}
	if during != nil {
		during()
	}
	wg.Wait()
	return out
}

// restartHosts starts hosts that have ended with the same settings, and waits until they are ready.
func (bed *testbed) restartHosts(ctx context.Context) error {
	for _, ho := range bed.hosts {
		<-ho.exited
		if err := ho.start(bed.gateway); err != nil {
			return err
		}
	}
	return bed.awaitReady(ctx)
}
