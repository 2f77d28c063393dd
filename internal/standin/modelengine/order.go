package modelengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/standin/storehost"
)

type (
	report struct {
		load engine.Load
		at   time.Time
	}

	importOrder struct {
		Salt   string         `json:"cache_salt"`
		Pieces []engine.Piece `json:"pieces"`
	}

	exportOrder struct {
		Store string   `json:"store"`
		Names []string `json:"names"`
	}

	loadOrder struct {
		Version string `json:"version"`
	}
)

const (
	orderTimeout = 10 * time.Second
	// pieceData is the size of the data that stands for a piece, in bytes.
	pieceData = 4096
	// pieceBytes is the size that a piece has on the link, in bytes.
	pieceBytes = 400_000_000
	// reportsKept is how many old reports are kept for their lag.
	reportsKept = 64
)

// report returns what the engine says of itself, as old as its report lag.
func (en *Engine) report() engine.Load {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := en.opts.Clock.Now()
	en.reports = append(en.reports, report{at: now, load: engine.Load{
		StartID:  en.startID,
		Version:  en.version,
		UptimeMs: now.Sub(en.started).Milliseconds(),
		Running:  len(en.runs),
		Queued:   en.queue.queued(),
		Leaving:  en.isLeaving,
		Loading:  en.loading > 0,
	}})
	if len(en.reports) > reportsKept {
		en.reports = en.reports[1:]
	}
	shown := en.reports[0].load
	for _, rp := range en.reports {
		if now.Sub(rp.at) >= en.opts.ReportLag {
			shown = rp.load
		}
	}
	shown.UptimeMs = now.Sub(en.started).Milliseconds()
	return shown
}

func (en *Engine) order(fc *fasthttp.RequestCtx, name string) {
	if !en.isFencingValid(fc) {
		fc.SetStatusCode(http.StatusPreconditionFailed)
		return
	}
	verb, argument, _ := strings.Cut(name, "/")
	switch verb {
	case "import":
		en.orderImport(fc)
	case "export":
		en.orderExport(fc)
	case "load":
		en.orderLoad(fc)
	case "cancel":
		en.orderCancel(argument)
	case "leave":
		en.mu.Lock()
		en.isLeaving = true
		en.mu.Unlock()
	case "crash":
		en.Crash()
	default:
		fc.SetStatusCode(http.StatusNotFound)
	}
}

func (en *Engine) isFencingValid(fc *fasthttp.RequestCtx) bool {
	number, err := strconv.ParseUint(string(fc.Request.Header.Peek(engine.HeaderFencing)), 10, 64)
	if err != nil || !en.opts.ChecksFencing {
		return true
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if number < en.fencing {
		return false
	}
	en.fencing = number
	return true
}

// orderImport reads pieces in order and keeps those whose checksum is right. The first that is
// not ends the import.
func (en *Engine) orderImport(fc *fasthttp.RequestCtx) {
	var io importOrder
	if err := json.Unmarshal(fc.PostBody(), &io); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	var moved engine.MovedPieces
	for _, pc := range io.Pieces {
		uri := "http://" + pc.Store + "/v1/pieces/" + pc.Name + "?generation=" + strconv.FormatUint(pc.Generation, 10)
		status, data, err := fasthttp.GetTimeout(nil, uri, orderTimeout)
		if err != nil || status != http.StatusOK || storehost.Checksum(data) != pc.Checksum {
			en.count(func(st *Stats) { st.BadImports++ })
			break
		}
		en.remember([]string{pc.Name})
		en.count(func(st *Stats) { st.GoodImports++ })
		moved.Pieces++
		moved.Bytes += pieceBytes
	}
	writeJSON(fc, moved)
}

func (en *Engine) orderExport(fc *fasthttp.RequestCtx) {
	var eo exportOrder
	if err := json.Unmarshal(fc.PostBody(), &eo); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	var moved engine.MovedPieces
	for _, name := range eo.Names {
		if !en.exportPiece(eo.Store, name) {
			break
		}
		moved.Pieces++
		moved.Bytes += pieceBytes
	}
	writeJSON(fc, moved)
}

func (en *Engine) exportPiece(store, name string) bool {
	data := []byte(strings.Repeat(name, pieceData/len(name)))
	uri := "http://" + store + "/v1/pieces/" + name
	status, body, ok := call(http.MethodPost, uri, nil)
	if !ok || status != http.StatusOK {
		return false
	}
	uri += "?generation=" + string(body)
	if en.faults.Now().CutExports {
		_, _, _ = call(http.MethodPut, uri, data[:len(data)/2])
		return false
	}
	if status, _, ok = call(http.MethodPut, uri, data); !ok || status != http.StatusOK {
		return false
	}
	status, _, ok = call(http.MethodPatch, uri, []byte(storehost.Checksum(data)))
	return ok && status == http.StatusOK
}

// orderLoad ends no run: runs that continue keep their weights, and new ones get the new version.
func (en *Engine) orderLoad(fc *fasthttp.RequestCtx) {
	var lo loadOrder
	if err := json.Unmarshal(fc.PostBody(), &lo); err != nil || lo.Version == "" {
		fc.SetStatusCode(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	en.loading++
	en.mu.Unlock()
	defer func() {
		en.mu.Lock()
		en.loading--
		en.mu.Unlock()
	}()
	if en.opts.WeightStore == "" {
		<-en.opts.Clock.After(weightLoadTime)
	} else if _, _, ok := call(http.MethodPost, "http://"+en.opts.WeightStore+"/v1/load", nil); !ok {
		fc.SetStatusCode(http.StatusBadGateway)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.version = lo.Version
	en.reports = nil
}

func (en *Engine) orderCancel(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if ar := en.runs[id]; ar != nil {
		en.stats.Cancelled++
		ar.cancel()
	}
}

func (en *Engine) count(change func(*Stats)) {
	en.mu.Lock()
	defer en.mu.Unlock()
	change(&en.stats)
}

func call(method, uri string, body []byte) (status int, answer []byte, ok bool) {
	req, rsp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(rsp)
	req.SetRequestURI(uri)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if fasthttp.DoTimeout(req, rsp, orderTimeout) != nil {
		return 0, nil, false
	}
	return rsp.StatusCode(), append([]byte(nil), rsp.Body()...), true
}
