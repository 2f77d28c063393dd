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
	// operatorServer serves the operators' HTTP endpoints: health, status, metrics and bookings.
	operatorServer struct {
		ho   *Host
		http *fasthttp.Server
		tls  *tls.Config
	}

	// Status is the status of a host as served at /status.
	Status struct {
		Host           string         `json:"host"`
		Zone           string         `json:"availability-zone"`
		State          string         `json:"state"`
		Reason         string         `json:"reason,omitempty"`
		Revision       uint64         `json:"revision"`
		Running        int            `json:"running"`
		Quarantined    int            `json:"quarantined"`
		ControlBytes   int64          `json:"control-bytes"`
		PlatformReads  int64          `json:"platform-reads"`
		PlatformWrites int64          `json:"platform-writes"`
		HeapBytes      uint64         `json:"heap-bytes"`
		Members        []MemberStatus `json:"members"`
	}

	// MemberStatus is the state of an entry host as seen by the host that reports it.
	MemberStatus struct {
		Host  string `json:"host"`
		Zone  string `json:"availability-zone"`
		State string `json:"state"`
	}

	// bookingStatus is the state of a booking as served under /bookings/.
	bookingStatus struct {
		ID    string `json:"id"`
		State string `json:"state"`
		AtMs  int64  `json:"at-ms"`
	}

	errorResponse struct {
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
				os.handleHealth(fc)
			case path == "/status":
				writeJSON(fc, http.StatusOK, os.status())
			case strings.HasPrefix(path, "/bookings/"):
				os.handleBooking(fc, strings.TrimPrefix(path, "/bookings/"))
			default:
				writeJSON(fc, http.StatusNotFound, errorResponse{Error: "no such path"})
			}
		},
	}
	return os
}

func (os *operatorServer) serve(ln net.Listener) error {
	if os.tls != nil {
		ln = tls.NewListener(ln, os.tls)
	}
	return errors.Wrap(os.http.Serve(ln), "host: serve operators")
}

func (os *operatorServer) shutdown() { _ = os.http.Shutdown() }

// handleHealth reports to the load balancer whether the host accepts new work.
func (os *operatorServer) handleHealth(fc *fasthttp.RequestCtx) {
	state, _ := os.state()
	status := http.StatusOK
	if state != "ready" {
		status = http.StatusServiceUnavailable
	}
	writeJSON(fc, status, map[string]string{"state": state})
}

// state returns "ready", or the code and the message of the refusal of new work.
func (os *operatorServer) state() (state, reason string) {
	err := os.ho.controlPlane.Ready()
	if err == nil {
		return "ready", ""
	}
	re := refusal.FromError(err, refusal.NotRun)
	return re.Code().String(), re.Message()
}

func (os *operatorServer) status() Status {
	cp := os.ho.controlPlane
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	st := Status{
		Host:        os.ho.st.Name,
		Zone:        os.ho.st.Zone,
		Revision:    cp.Configuration.Revision(),
		Running:     os.ho.limiter.Running(),
		Quarantined: cp.Quarantine.SuspectCount(),
		HeapBytes:   ms.HeapAlloc,
	}
	st.State, st.Reason = os.state()
	st.ControlBytes, st.PlatformReads, st.PlatformWrites = os.ho.meter.Totals()
	for _, m := range cp.Membership.Members() {
		st.Members = append(st.Members, MemberStatus{Host: m.Name, Zone: m.Zone, State: m.State.String()})
	}
	return st
}

// handleBooking returns the booking of a team, service and key. A POST first settles it, if its
// outcome is unknown.
func (os *operatorServer) handleBooking(fc *fasthttp.RequestCtx, path string) {
	team, key, hasService := strings.Cut(path, "/")
	svc, key, hasKey := strings.Cut(key, "/")
	if !hasService || !hasKey {
		writeJSON(fc, http.StatusNotFound, errorResponse{Error: "the path is /bookings/TEAM/SERVICE/KEY"})
		return
	}
	id := booking.NewID(team, svc+"\x00"+key)
	if fc.IsPost() {
		ran := string(fc.QueryArgs().Peek("ran"))
		if ran != "true" && ran != "false" {
			writeJSON(fc, http.StatusBadRequest, errorResponse{Error: "ran must be true or false"})
			return
		}
		if err := os.ho.controlPlane.BookingLedger.Settle(fc, id, ran == "true"); err != nil {
			writeJSON(fc, http.StatusConflict, errorResponse{Error: err.Error()})
			return
		}
	}
	rec, err := os.ho.controlPlane.BookingLedger.Get(fc, id)
	if err != nil {
		writeJSON(fc, http.StatusServiceUnavailable, errorResponse{Error: err.Error()})
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
