package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/standin/site"
)

// workerStartTimeout bounds the start of a worker.
const workerStartTimeout = 5 * time.Second

type (
	// workerProcess is an endpoint that runs as a process of its own and may be started again.
	workerProcess struct {
		testbed *testbed
		// busy is held by the disturbance that ends and starts the worker.
		busy sync.Mutex

		mu   sync.Mutex
		opts workerOptions
		// current is nil while the process is not running.
		current *workerStart
		starts  []*workerStart
	}

	// workerStart is one start of a worker.
	workerStart struct {
		cmd    *exec.Cmd
		exited chan struct{}

		mu        sync.Mutex
		killed    bool
		requests  []site.RecordedRequest
		ended     map[string]bool
		orders    []site.WeightOrder
		lastOrder uint64
	}
)

// freeAddress returns an address on the loopback address of this process that it has not returned before.
func (tb *testbed) freeAddress() (string, error) {
	tb.addressMu.Lock()
	defer tb.addressMu.Unlock()
	for {
		ln, err := net.Listen("tcp", net.JoinHostPort(processLoopbackIP(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "soak: address")
		}
		address := ln.Addr().String()
		_ = ln.Close()
		// The kernel may assign a port again once it is released.
		if !tb.usedAddresses[address] {
			tb.usedAddresses[address] = true
			return address, nil
		}
	}
}

// addWorker starts a worker and registers it.
func (tb *testbed) addWorker(opts workerOptions) error {
	wp := &workerProcess{testbed: tb, opts: opts}
	tb.workers = append(tb.workers, wp)
	if err := wp.start(opts.ID, opts.Software); err != nil {
		return err
	}
	return wp.register("ready")
}

// start starts the worker's process, unless it runs. An identifier other than its own comes with another address.
func (wp *workerProcess) start(id, software string) error {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	if wp.current != nil {
		return nil
	}
	if wp.opts.Address == "" || id != wp.opts.ID {
		address, err := wp.testbed.freeAddress()
		if err != nil {
			return err
		}
		wp.opts.Address = address
	}
	wp.opts.ID, wp.opts.Software, wp.opts.BornMs = id, software, time.Now().UnixMilli()
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "soak: program")
	}
	data, err := json.Marshal(wp.opts)
	if err != nil {
		return errors.Wrap(err, "soak: worker")
	}
	cmd := exec.Command(program, "soak", workerCommand, string(data))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Wrap(err, "soak: worker")
	}
	// The worker ends when this end is closed, also if the soak is killed.
	if _, err := cmd.StdinPipe(); err != nil {
		return errors.Wrap(err, "soak: worker")
	}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "soak: worker")
	}
	st := &workerStart{cmd: cmd, exited: make(chan struct{}), ended: make(map[string]bool), lastOrder: wp.opts.WeightVersion}
	listening := make(chan struct{})
	go func() {
		sc := bufio.NewScanner(out)
		for first := true; sc.Scan(); first = false {
			if first {
				close(listening)
				continue
			}
			var wr workerReport
			if json.Unmarshal(sc.Bytes(), &wr) == nil {
				st.record(wr)
			}
		}
		// The exit status is ignored: the process ends by being killed.
		_ = cmd.Wait()
		close(st.exited)
	}()
	wp.current = st
	wp.starts = append(wp.starts, st)
	select {
	case <-listening:
		return nil
	case <-st.exited:
		wp.current = nil
		return fmt.Errorf("soak: worker %s ended at its start", id)
	case <-time.After(workerStartTimeout):
		return fmt.Errorf("soak: worker %s does not listen", id)
	}
}

func (st *workerStart) record(wr workerReport) {
	st.mu.Lock()
	defer st.mu.Unlock()
	switch wr.What {
	case whatRuns:
		rr := site.RecordedRequest{ID: wr.ID, URI: wr.URI, Header: make(map[string][]string), Executed: true}
		rr.Header.Set("X-Tenant", wr.Tenant)
		rr.Header.Set("X-Api-Key", wr.Key)
		rr.Header.Set("X-Cache-Salt", wr.Salt)
		rr.Header.Set("X-Prompt-Prefix", wr.Prompt)
		rr.ReceivedAt = time.Now()
		st.requests = append(st.requests, rr)
	case whatHasRun:
		st.ended[wr.ID] = true
	case whatOrder:
		wr.Order.AcceptedAt = time.Now()
		st.orders = append(st.orders, *wr.Order)
		st.lastOrder = wr.Order.Version
	}
}

// kill ends the process at once. The kernel ends its connections.
func (wp *workerProcess) kill() {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	st := wp.current
	if st == nil {
		return
	}
	st.mu.Lock()
	st.killed = true
	st.mu.Unlock()
	_ = st.cmd.Process.Kill()
	<-st.exited
	wp.current = nil
	// A worker that restarts has the weights that it had before.
	wp.opts.WeightVersion = st.lastOrder
}

// options returns the options of the last start.
func (wp *workerProcess) options() workerOptions {
	wp.mu.Lock()
	defer wp.mu.Unlock()
	return wp.opts
}

// register writes the worker's entry. While the metadata store is away, it waits until the store is back.
func (wp *workerProcess) register(state string) error {
	for wp.testbed.isStoreAway() {
		time.Sleep(pollInterval)
	}
	opts := wp.options()
	_, err := wp.testbed.store.Put(opts.key(), opts.entry(state))
	return err
}

// allStarts returns all starts of all workers.
func (tb *testbed) allStarts() []*workerStart {
	var out []*workerStart
	for _, wp := range tb.workers {
		wp.mu.Lock()
		out = append(out, wp.starts...)
		wp.mu.Unlock()
	}
	return out
}
