package soak

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/programs/load/order"
)

const (
	workerCommand = "worker"
	whatRuns      = "runs"
	whatHasRun    = "has-run"
	whatOrder     = "order"
	workerSlots   = 8
)

type (
	// workerOptions configures a start of a worker. It is passed to its process as JSON.
	workerOptions struct {
		ID, Address, Service, Software string
		BornMs                         int64
		// Model makes it an engine.
		Model         string
		WeightVersion uint64
		// EventCount is the number of events of a stream; zero makes it answer with bodies.
		EventCount int
		// Pause is the time between two events, or between the two halves of a body.
		Pause time.Duration
		// UndelimitedPercent is the part of its answers that have neither a length nor chunks.
		UndelimitedPercent int
		// SloppyPercent is the part of the runs after an event that leave the next event out or begin with that event again.
		SloppyPercent int
	}

	// workerReport is what a worker says about a run or an order on its standard output.
	workerReport struct {
		What   string            `json:"what"`
		ID     string            `json:"id"`
		URI    string            `json:"uri"`
		Tenant string            `json:"tenant"`
		Key    string            `json:"key"`
		Run    string            `json:"run"`
		Salt   string            `json:"salt,omitempty"`
		Prompt string            `json:"prompt,omitempty"`
		Order  *site.WeightOrder `json:"order,omitempty"`
	}

	// workerServer is the process of an endpoint that the kernel ends as it ends others.
	workerServer struct {
		opts workerOptions

		mu            sync.Mutex
		out           *json.Encoder
		runCount      int
		weightVersion uint64
		orderCount    uint64
	}

	// bodyWriter writes a body with a length or in chunks, or to a connection that ends with it.
	bodyWriter struct {
		w    io.Writer
		rc   *http.ResponseController
		conn net.Conn
	}
)

// key returns the key of the worker's entry.
func (wo workerOptions) key() string { return "servers/" + wo.ID }

// entry returns what the worker writes of itself into the metadata store.
func (wo workerOptions) entry(state string) map[string]any {
	out := map[string]any{
		"service": wo.Service, "address": wo.Address, "zone": "here", "version": wo.Software, "slots": workerSlots,
		"state": state, "coldRemainingMs": 0, "born": wo.BornMs, "seq": 0,
	}
	if wo.Model != "" {
		out["stage"], out["models"] = "both", modelList(wo.Model, wo.WeightVersion)
	}
	return out
}

func modelList(model string, version uint64) []map[string]any {
	return []map[string]any{{"name": model, "version": version, "adapters": []string{}}}
}

// runWorker serves a worker until its process is killed, or the soak that holds the other end of its standard input has ended.
func runWorker(options string) error {
	ws := &workerServer{out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(options), &ws.opts); err != nil {
		return err
	}
	ws.weightVersion = ws.opts.WeightVersion
	ln, err := net.Listen("tcp", ws.opts.Address)
	if err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(0)
	}()
	fmt.Println("listening")
	sv := &http.Server{Handler: ws, ReadHeaderTimeout: time.Second}
	return sv.Serve(ln)
}

// report writes a line for the soak. The pipe breaks only when the soak has ended.
func (ws *workerServer) report(wr workerReport) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	_ = ws.out.Encode(wr)
}

// ServeHTTP serves a request of a client or a call of the platform's protocol.
func (ws *workerServer) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	switch rq.URL.Path {
	case "/report":
		ws.handleReport(w)
	case "/order":
		ws.handleOrder(w, rq)
	case "/kv-events":
		writeJSON(w, map[string]any{"bootEpoch": ws.opts.BornMs, "next": 0, "lost": false, "clock_ms": time.Now().UnixMilli(), "events": [][]any{}})
	case "/kv-list":
		writeJSON(w, map[string]any{"bootEpoch": ws.opts.BornMs, "next": 0, "clock_ms": time.Now().UnixMilli(), "held": [][]any{}, "partial": [][]any{}})
	case "/healthz":
		w.Header().Set("X-Instance-Id", ws.opts.ID)
	default:
		ws.handleRequest(w, rq)
	}
}

func (ws *workerServer) handleReport(w http.ResponseWriter) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "both", "busy": false, "seq": ws.orderCount, "models": modelList(ws.opts.Model, ws.weightVersion), "born": ws.opts.BornMs,
		"queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 600000, "handles": 0,
	})
}

// handleOrder switches to another weight version, as the endpoint of package site does.
func (ws *workerServer) handleOrder(w http.ResponseWriter, rq *http.Request) {
	var od site.WeightOrder
	if json.NewDecoder(rq.Body).Decode(&od) != nil || od.Holder == "" || od.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ws.mu.Lock()
	status := http.StatusAccepted
	switch {
	case rq.Header.Get("X-Expect-Instance") != ws.opts.ID:
		status = http.StatusMisdirectedRequest
	case od.Expected != ws.orderCount:
		status = http.StatusConflict
	case od.Version == ws.weightVersion:
		status = http.StatusOK
	default:
		ws.orderCount++
		ws.weightVersion = od.Version
	}
	ws.mu.Unlock()
	if status == http.StatusAccepted {
		ws.report(workerReport{What: whatOrder, Order: &od})
	}
	w.WriteHeader(status)
}

func (ws *workerServer) handleRequest(w http.ResponseWriter, rq *http.Request) {
	hd, id := w.Header(), rq.Header.Get("X-Request-Id")
	hd.Set("X-Request-Id", id)
	ws.mu.Lock()
	version := strconv.FormatUint(ws.weightVersion, 10)
	ws.mu.Unlock()
	expectedID, expectedVersion := rq.Header.Get("X-Expect-Instance"), rq.Header.Get("X-Expect-Version")
	if ws.opts.Model != "" {
		hd.Set("X-Weight-Versions", version)
	}
	if (expectedID != "" && expectedID != ws.opts.ID) || (ws.opts.Model != "" && expectedVersion != "" && expectedVersion != version) {
		hd.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	ws.mu.Lock()
	ws.runCount++
	after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	rn := order.Run{Name: fmt.Sprintf("%s.%d.%d", ws.opts.ID, ws.opts.BornMs, ws.runCount), Software: ws.opts.Software, After: after}
	ws.mu.Unlock()
	wr := workerReport{
		What: whatRuns, ID: id, URI: rq.RequestURI, Tenant: rq.Header.Get("X-Tenant"), Key: rq.Header.Get("X-Api-Key"), Run: rn.Name,
		Salt: rq.Header.Get("X-Cache-Salt"), Prompt: rq.Header.Get("X-Prompt-Prefix"),
	}
	ws.report(wr)
	hd.Set("X-Response-Seal", "soak.seal")
	bw := ws.startBody(w, id)
	defer bw.end()
	pieces := []string{"body of", " " + id}
	if ws.opts.EventCount > 0 {
		pieces = nil
		for i := ws.firstEvent(after, id); i <= ws.opts.EventCount; i++ {
			pieces = append(pieces, order.Event(i, rn))
		}
	}
	for i, piece := range pieces {
		if i > 0 {
			select {
			case <-rq.Context().Done():
				return
			case <-time.After(ws.opts.Pause):
			}
		}
		if !bw.write(piece) {
			return
		}
	}
	wr.What = whatHasRun
	ws.report(wr)
}

// firstEvent returns the number of the event with which a run begins after another one.
func (ws *workerServer) firstEvent(after int, id string) int {
	if after == 0 || percentile(id, "sloppy") >= ws.opts.SloppyPercent {
		return after + 1
	}
	if percentile(id, "repeats") < 50 {
		return after
	}
	return after + 2
}

// percentile returns a number below 100 that a request has for a purpose.
func percentile(id, purpose string) int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, purpose+id)
	return int(hash.Sum32() % 100)
}

// startBody writes the header of a success. A part of the answers is undelimited.
func (ws *workerServer) startBody(w http.ResponseWriter, id string) *bodyWriter {
	if ws.opts.EventCount > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	rc := http.NewResponseController(w)
	if percentile(id, "delimiter") >= ws.opts.UndelimitedPercent {
		return &bodyWriter{w: w, rc: rc}
	}
	conn, _, err := rc.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	_, _ = io.WriteString(conn, "\r\n")
	return &bodyWriter{w: conn, conn: conn}
}

// write reports whether the host still takes the body.
func (bw *bodyWriter) write(text string) bool {
	if _, err := io.WriteString(bw.w, text); err != nil {
		return false
	}
	return bw.conn != nil || bw.rc.Flush() == nil
}

func (bw *bodyWriter) end() {
	if bw.conn != nil {
		_ = bw.conn.Close()
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the host has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
