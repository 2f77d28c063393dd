package host

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"runtime"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/bergamotway/bergamotway/internal/booking"
	"github.com/bergamotway/bergamotway/internal/refusal"
)

type (
	// operatorServer serves health, status, metrics and the settling of bookings.
	operatorServer struct {
		ho   *Host
		http *fasthttp.Server
		tls  *tls.Config
	}

	// Status is what a host says of itself.
	Status struct {
		Host          string         `json:"host"`
		Zone          string         `json:"availability-zone"`
		State         string         `json:"state"`
		Reason        string         `json:"reason,omitempty"`
		Revision      uint64         `json:"revision"`
		Running       int            `json:"running"`
		Quarantined   int            `json:"quarantined"`
		ControlBytes  int64          `json:"control-bytes"`
		PlatformReads int64          `json:"platform-reads"`
		PlatformWrite int64          `json:"platform-writes"`
		HeapBytes     uint64         `json:"heap-bytes"`
		Members       []MemberStatus `json:"members"`
	}

	// MemberStatus is what a host knows of an entry host.
	MemberStatus struct {
		Host  string `json:"host"`
		Zone  string `json:"availability-zone"`
		State string `json:"state"`
	}

	bookingStatus struct {
		ID    string `json:"id"`
		State string `json:"state"`
		AtMs  int64  `json:"at-ms"`
	}

	failure struct {
		Error string `json:"error"`
	}
)

func newOperatorServer(ho *Host, conf *tls.Config) *operatorServer {
	os := &operatorServer{ho: ho, tls: conf}
	metrics := fasthttpadaptor.NewFastHTTPHandler(ho.meter.Handler())
	os.http = &fasthttp.Server{
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Handler: func(fc *fasthttp.RequestCtx) {
			path := string(fc.Path())
			switch {
			case path == "/metrics":
				metrics(fc)
			case path == "/health":
				os.health(fc)
			case path == "/status":
				writeJSON(fc, http.StatusOK, os.status())
			case strings.HasPrefix(path, "/bookings/"):
				os.booking(fc, strings.TrimPrefix(path, "/bookings/"))
			default:
				writeJSON(fc, http.StatusNotFound, failure{Error: "no such path"})
			}
		},
	}
	return os
}

func (os *operatorServer) serve(ln net.Listener) error {
	if os.tls != nil {
		ln = tls.NewListener(ln, os.tls)
	}
	return errors.Wrap(os.http.Serve(ln), "host: operator page")
}

func (os *operatorServer) shutdown() { _ = os.http.Shutdown() }

// health tells the balancer whether to send new work.
func (os *operatorServer) health(fc *fasthttp.RequestCtx) {
	state, _ := os.state()
	status := http.StatusOK
	if state != "ready" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(fc, status, map[string]string{"state": state})
}

func (os *operatorServer) state() (state, reason string) {
	err := os.ho.control.Ready()
	if err == nil {
		return "ready", ""
	}
	re := refusal.From(err, refusal.NotRun)
	return re.Code().String(), re.Message()
}

func (os *operatorServer) status() Status {
	co := os.ho.control
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	st := Status{
		Host:        os.ho.st.Name,
		Zone:        os.ho.st.Zone,
		Revision:    co.Keeper.Revision(),
		Running:     os.ho.gate.Running(),
		Quarantined: co.Board.Size(),
		HeapBytes:   ms.HeapAlloc,
	}
	st.State, st.Reason = os.state()
	st.ControlBytes, st.PlatformReads, st.PlatformWrite = os.ho.meter.Totals()
	for _, m := range co.Table.Members() {
		st.Members = append(st.Members, MemberStatus{Host: m.Name, Zone: m.Zone, State: m.State.String()})
	}
	return st
}

// booking shows a booking by team, service and key, and settles one whose outcome is unknown.
func (os *operatorServer) booking(fc *fasthttp.RequestCtx, path string) {
	team, key, ok := strings.Cut(path, "/")
	svc, key, ok2 := strings.Cut(key, "/")
	if !ok || !ok2 {
		writeJSON(fc, http.StatusNotFound, failure{Error: "the path is /bookings/TEAM/SERVICE/KEY"})
		return
	}
	id := booking.NewID(team, svc+"\x00"+key)
	if fc.IsPost() {
		ran := string(fc.QueryArgs().Peek("ran"))
		if ran != "true" && ran != "false" {
			writeJSON(fc, http.StatusBadRequest, failure{Error: "ran must be true or false"})
			return
		}
		if err := os.ho.control.Ledger.Settle(fc, id, ran == "true"); err != nil {
			writeJSON(fc, http.StatusConflict, failure{Error: err.Error()})
			return
		}
	}
	rec, err := os.ho.control.Ledger.Look(fc, id)
	if err != nil {
		writeJSON(fc, http.StatusServiceUnavailable, failure{Error: err.Error()})
		return
	}
	writeJSON(fc, http.StatusOK, bookingStatus{ID: id, State: rec.State.String(), AtMs: rec.AtMs})
}

func writeJSON(fc *fasthttp.RequestCtx, status int, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		status, data = http.StatusInternalServerError, []byte("{}")
	}
	fc.Response.SetStatusCode(status)
	fc.Response.Header.SetContentType("application/json")
	fc.Response.SetBody(append(data, '\n'))
}
