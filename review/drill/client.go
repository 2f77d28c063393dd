package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	hostName    = "pule25.example"
	visitPath   = "/puxa400/"
	bookingPath = "/defi252/"
	lookupPath  = "/bapu12/"
)

type (
	// call is a request of a client.
	call struct {
		method, path, key, prompt string
		timeout                   time.Duration
		header                    map[string]string
	}

	// reply is what a client received.
	reply struct {
		id       string
		status   int
		header   http.Header
		body     string
		complete bool
		err      error
	}
)

var lastRequest atomic.Int64

// send sends a request to a host and reads the answer to its end. Complete is set if the answer ended as HTTP says.
func (bed *testbed) send(ctx context.Context, tr *http.Transport, ho *hostProcess, ca call) reply {
	re := reply{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+lastRequest.Add(1))}
	ctx, cancel := context.WithTimeout(ctx, ca.timeout)
	defer cancel()
	var body io.Reader
	if ca.method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("b", 900))
	}
	rq, err := http.NewRequestWithContext(ctx, ca.method, "http://"+ho.front+ca.path, body)
	if err != nil {
		re.err = err
		return re
	}
	// With GetBody set, the transport could retry the request by itself.
	rq.GetBody = nil
	rq.Host = hostName
	rq.Header.Set("X-Request-Id", re.id)
	rq.Header.Set("X-Api-Key", ca.key)
	rq.Header.Set("X-Deadline-Ms", fmt.Sprint(ca.timeout.Milliseconds()))
	if ca.prompt != "" {
		rq.Header.Set("X-Model", modelName)
		rq.Header.Set("X-Token-Usage", "1460,80")
		rq.Header.Set("X-Prompt-Prefix", ca.prompt)
	}
	for name, value := range ca.header {
		rq.Header.Set(name, value)
	}
	bed.record.printf("client sends %s: %s %s to %s, key %s", re.id, ca.method, ca.path, ho.name, ca.key)
	rsp, err := tr.RoundTrip(rq)
	if err != nil {
		re.err = err
		bed.record.printf("client gets for %s: no answer (%v)", re.id, err)
		return re
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	re.status, re.header, re.body, re.err, re.complete = rsp.StatusCode, rsp.Header, string(data), err, err == nil
	how := "complete"
	if !re.complete {
		how = "broken off"
		if errors.Is(err, context.DeadlineExceeded) {
			how = "late"
		}
	}
	bed.record.printf("client gets for %s: status %d, %d bytes, %d events, %s, seal %q", re.id, re.status, len(re.body),
		strings.Count(re.body, "\n\n"), how, re.header.Get("X-Response-Seal"))
	return re
}
