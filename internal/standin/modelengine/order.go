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
	agedReport struct {
		load    engine.LoadReport
		takenAt time.Time
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
	// pieceDataBytes bounds the size of the data that is actually sent for a piece, in bytes.
	pieceDataBytes = 4096
	// pieceLinkBytes is the emulated size of a piece on the link, in bytes.
	pieceLinkBytes = 400_000_000
	// maxReports bounds the load reports kept to emulate ReportLag.
	maxReports = 64
)

// loadReport returns the latest load report that is at least ReportLag old, or else the oldest. Its
// uptime is current.
func (en *Engine) loadReport() engine.LoadReport {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := en.opts.Clock.Now()
	en.reports = append(en.reports, agedReport{takenAt: now, load: engine.LoadReport{
		StartID:      en.startID,
		Version:      en.weightVersion,
		UptimeMs:     now.Sub(en.startedAt).Milliseconds(),
		Running:      len(en.runs),
		QueuedTokens: en.prefillQueue.queuedTokens(),
		Leaving:      en.isLeaving,
		Loading:      en.loadsInProgress > 0,
	}})
	if len(en.reports) > maxReports {
		en.reports = en.reports[1:]
	}
	visible := en.reports[0].load
	for _, rp := range en.reports {
		if now.Sub(rp.takenAt) >= en.opts.ReportLag {
			visible = rp.load
		}
	}
	visible.UptimeMs = now.Sub(en.startedAt).Milliseconds()
	return visible
}

func (en *Engine) handleOrder(fc *fasthttp.RequestCtx, name string) {
	if !en.acceptFencingToken(fc) {
		fc.SetStatusCode(http.StatusPreconditionFailed)
		return
	}
	verb, argument, _ := strings.Cut(name, "/")
	switch verb {
	case "import":
		en.importPieces(fc)
	case "export":
		en.exportPieces(fc)
	case "load":
		en.loadWeights(fc)
	case "cancel":
		en.cancelRun(argument)
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

// acceptFencingToken reports whether an order may be carried out, and remembers the highest fencing
// token. It accepts orders without a token, and every order if ChecksFencing is off.
func (en *Engine) acceptFencingToken(fc *fasthttp.RequestCtx) bool {
	token, err := strconv.ParseUint(string(fc.Request.Header.Peek(engine.HeaderFencingToken)), 10, 64)
	if err != nil || !en.opts.ChecksFencing {
		return true
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if token < en.fencingToken {
		return false
	}
	en.fencingToken = token
	return true
}

// importPieces reads pieces from their stores and caches those with a matching checksum. It stops at
// the first piece that cannot be read or has another checksum.
func (en *Engine) importPieces(fc *fasthttp.RequestCtx) {
	var im importOrder
	if err := json.Unmarshal(fc.PostBody(), &im); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	var result engine.TransferResult
	for _, pc := range im.Pieces {
		uri := "http://" + pc.Store + "/v1/pieces/" + pc.Name + "?generation=" + strconv.FormatUint(pc.Generation, 10)
		status, data, err := fasthttp.GetTimeout(nil, uri, orderTimeout)
		if err != nil || status != http.StatusOK || storehost.Checksum(data) != pc.Checksum {
			en.updateStats(func(st *Stats) { st.BadImports++ })
			break
		}
		en.addPieces([]string{pc.Name})
		en.updateStats(func(st *Stats) { st.GoodImports++ })
		result.Pieces++
		result.Bytes += pieceLinkBytes
	}
	writeJSON(fc, result)
}

func (en *Engine) exportPieces(fc *fasthttp.RequestCtx) {
	var ex exportOrder
	if err := json.Unmarshal(fc.PostBody(), &ex); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	var result engine.TransferResult
	for _, name := range ex.Names {
		if !en.exportPiece(ex.Store, name) {
			break
		}
		result.Pieces++
		result.Bytes += pieceLinkBytes
	}
	writeJSON(fc, result)
}

func (en *Engine) exportPiece(store, name string) bool {
	data := []byte(strings.Repeat(name, pieceDataBytes/len(name)))
	uri := "http://" + store + "/v1/pieces/" + name
	status, body, ok := sendRequest(http.MethodPost, uri, nil)
	if !ok || status != http.StatusOK {
		return false
	}
	uri += "?generation=" + string(body)
	if en.faults.Active().CutExports {
		_, _, _ = sendRequest(http.MethodPut, uri, data[:len(data)/2])
		return false
	}
	if status, _, ok = sendRequest(http.MethodPut, uri, data); !ok || status != http.StatusOK {
		return false
	}
	status, _, ok = sendRequest(http.MethodPatch, uri, []byte(storehost.Checksum(data)))
	return ok && status == http.StatusOK
}

// loadWeights loads another weight version. It aborts no run: current runs continue on their weights,
// and new runs use the new version.
func (en *Engine) loadWeights(fc *fasthttp.RequestCtx) {
	var lo loadOrder
	if err := json.Unmarshal(fc.PostBody(), &lo); err != nil || lo.Version == "" {
		fc.SetStatusCode(http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	en.loadsInProgress++
	en.mu.Unlock()
	defer func() {
		en.mu.Lock()
		en.loadsInProgress--
		en.mu.Unlock()
	}()
	if en.opts.WeightStoreAddress == "" {
		<-en.opts.Clock.After(weightLoadTime)
	} else if _, _, ok := sendRequest(http.MethodPost, "http://"+en.opts.WeightStoreAddress+"/v1/load", nil); !ok {
		fc.SetStatusCode(http.StatusBadGateway)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.weightVersion = lo.Version
	en.reports = nil
}

func (en *Engine) cancelRun(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if ar := en.runs[id]; ar != nil {
		en.stats.Cancelled++
		ar.cancel()
	}
}

func (en *Engine) updateStats(update func(*Stats)) {
	en.mu.Lock()
	defer en.mu.Unlock()
	update(&en.stats)
}

func sendRequest(method, uri string, body []byte) (status int, rspBody []byte, ok bool) {
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
