package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName = "daka510000"
	// engineSlots is the number of requests that an engine runs at a time.
	engineSlots = 8
)

type (
	// endpointOptions configures an endpoint. It is passed to its process as JSON.
	endpointOptions struct {
		ID, Address, Service, Software string
		BornMs                         int64
		// Model makes it an engine at weight version 1.
		Model bool
		// Events is the number of events of a stream, EventMs the time between two.
		Events, EventMs int
		// PieceMs is the time between the two halves of a body that is no stream.
		PieceMs int
		// Undelimited answers have neither a length nor chunks, and end with their connection.
		Undelimited bool
		// FailAfterRun makes each third run end with this status, sealed and without X-Not-Executed; zero for none.
		FailAfterRun int
	}

	// endpointRun reports a run of a request, or its end.
	endpointRun struct {
		What     string `json:"what"`
		ID       string `json:"id"`
		Endpoint string `json:"endpoint"`
		Software string `json:"software"`
		Tenant   string `json:"tenant"`
		Salt     string `json:"salt"`
		Parts    string `json:"parts"`
		After    string `json:"after"`
		Status   int    `json:"status"`
		AtMs     int64  `json:"at"`
	}

	endpoint struct {
		opts endpointOptions
		mu   sync.Mutex
		out  *json.Encoder
		runs int
	}
)

// String returns the fields that tell runs apart.
func (er endpointRun) String() string {
	return fmt.Sprintf("request %s, tenant %s, after event %q, salt %s, status %d", er.ID, er.Tenant, er.After, er.Salt, er.Status)
}

// entry returns the endpoint's entry in the metadata store.
func (eo endpointOptions) entry() map[string]any {
	out := map[string]any{
		"service": eo.Service, "address": eo.Address, "zone": zone, "version": eo.Software, "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "born": eo.BornMs, "seq": 0,
	}
	if eo.Model {
		out["stage"], out["models"] = "both", []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	return out
}

// runEndpoint serves an endpoint until the process is killed.
func runEndpoint(args []string) error {
	ep := &endpoint{out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(args[0]), &ep.opts); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", ep.opts.Address)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	return http.Serve(ln, ep)
}

func (ep *endpoint) report(er endpointRun) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	er.Endpoint, er.Software, er.AtMs = ep.opts.ID, ep.opts.Software, time.Now().UnixMilli()
	// The pipe breaks only when the drill has ended.
	_ = ep.out.Encode(er)
}

// ServeHTTP serves a request of a client or a call of the platform's protocol.
func (ep *endpoint) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"stage": "both", "models": []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
			"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 65752, "handles": 0, "born": ep.opts.BornMs,
		})
		return
	}
	hd := w.Header()
	id := rq.Header.Get("X-Request-Id")
	hd.Set("X-Request-Id", id)
	if expected := rq.Header.Get("X-Expect-Instance"); expected != "" && expected != ep.opts.ID {
		hd.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	er := endpointRun{
		What: "runs", ID: id, Tenant: rq.Header.Get("X-Tenant"), Salt: rq.Header.Get("X-Cache-Salt"), Parts: rq.Header.Get("X-Prompt-Prefix"),
		After: rq.Header.Get("Last-Event-Id"),
	}
	ep.mu.Lock()
	ep.runs++
	number := ep.runs
	ep.mu.Unlock()
	ep.report(er)
	hd.Set("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	if ep.opts.Model {
		hd.Set("X-Weight-Versions", "1")
	}
	if ep.opts.FailAfterRun > 0 && number%3 == 0 {
		er.What, er.Status = "has run", ep.opts.FailAfterRun
		ep.report(er)
		w.WriteHeader(ep.opts.FailAfterRun)
		_, _ = io.WriteString(w, "the booking was made, its confirmation failed\n")
		return
	}
	er.Status = http.StatusOK
	write := ep.startBody(w)
	defer write.end()
	if ep.opts.Events > 0 {
		ep.writeEvents(write, rq)
	} else {
		for i, piece := range plainBody(id) {
			if i > 0 {
				time.Sleep(time.Duration(ep.opts.PieceMs) * time.Millisecond)
			}
			write.piece(piece)
		}
	}
	er.What = "has run"
	ep.report(er)
}

// plainBody returns the two halves of the body of the answer to a request.
func plainBody(id string) [2]string {
	return [2]string{"visit " + id + " is booked for " + strings.Repeat("x", 400), strings.Repeat("y", 400) + " end of " + id}
}

func (ep *endpoint) writeEvents(write *bodyWriter, rq *http.Request) {
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= ep.opts.Events; i++ {
		write.piece(fmt.Sprintf("id: %d\ndata: event %d of %d by software %s\n\n", i, i, ep.opts.Events, ep.opts.Software))
		select {
		case <-rq.Context().Done():
			return
		case <-time.After(time.Duration(ep.opts.EventMs) * time.Millisecond):
		}
	}
}

// bodyWriter writes a body in chunks, or without any delimiter.
type bodyWriter struct {
	w    io.Writer
	rc   *http.ResponseController
	conn net.Conn
}

// startBody writes the header of an answer with status 200.
func (ep *endpoint) startBody(w http.ResponseWriter) *bodyWriter {
	if ep.opts.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	if !ep.opts.Undelimited {
		return &bodyWriter{w: w, rc: rc}
	}
	conn, _, err := rc.Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return &bodyWriter{w: conn, conn: conn}
}

func (bw *bodyWriter) piece(text string) {
	// A write fails only if the host has closed the connection.
	_, _ = io.WriteString(bw.w, text)
	if bw.conn == nil {
		_ = bw.rc.Flush()
	}
}

func (bw *bodyWriter) end() {
	if bw.conn != nil {
		_ = bw.conn.Close()
	}
}
