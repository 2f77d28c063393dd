package entry

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/refusal"
	"github.com/bergamotway/bergamotway/internal/service"
)

const (
	chatPath        = "/v1/chat/completions"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerReplay    = "Idempotent-Replay"
	headerRun       = "X-Run"

	defaultBodyLimit   = 8 << 20
	defaultHeaderLimit = 16 << 10
	defaultReadLimit   = 30 * time.Second
	defaultWriteLimit  = 10 * time.Second
	defaultHeartbeat   = 5 * time.Second
	idleLimit          = time.Minute
	// defaultLinger is two health checks of a balancer that asks once a second.
	defaultLinger = 2 * time.Second
	// lingerEvery is how often a server that lingers looks whether a connection is left.
	lingerEvery = 10 * time.Millisecond
	maxIDBytes  = 64
)

type (
	// ServerOptions configures a Server. Zero limits mean the defaults.
	ServerOptions struct {
		// Chat serves chat completions, Service serves calls of plain services. Both are required.
		Chat    Handler
		Service Handler
		Clock   clock.Clock
		Meter   RefusalMeter
		Log     logrus.FieldLogger
		// BodyLimit is the largest body, in bytes; zero means 8 MiB.
		BodyLimit int
		// HeaderLimit is the largest header, in bytes; zero means 16 KiB.
		HeaderLimit int
		// ReadLimit is how long a caller may take to send a request; zero means 30 s.
		ReadLimit time.Duration
		// WriteLimit is how long a caller may take to accept one write; zero means 10 s.
		WriteLimit time.Duration
		// Heartbeat is the longest time without a byte in a stream; zero means 5 s.
		Heartbeat time.Duration
		// Linger is how long a server that shuts down goes on answering on open connections, so that
		// a request on its way is not cut; zero means 2 s.
		Linger time.Duration
		// TLS, if not nil, is used towards callers.
		TLS *tls.Config
	}

	// RefusalMeter counts refusals.
	RefusalMeter interface {
		Refused(code refusal.Code, class string)
	}

	// Server speaks HTTP to callers.
	Server struct {
		opts       ServerOptions
		http       *fasthttp.Server
		isStopping atomic.Bool
	}

	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Message string `json:"message"`
		Type    string `json:"type"`
		Code    string `json:"code"`
		Run     string `json:"run"`
	}
)

// NewServer returns a server.
func NewServer(opts ServerOptions) *Server {
	opts = opts.withDefaults()
	sv := &Server{opts: opts}
	sv.http = &fasthttp.Server{
		Handler:               sv.handle,
		ErrorHandler:          sv.handleError,
		MaxRequestBodySize:    opts.BodyLimit,
		ReadBufferSize:        opts.HeaderLimit,
		ReadTimeout:           opts.ReadLimit,
		WriteTimeout:          opts.WriteLimit,
		IdleTimeout:           idleLimit,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                opts.Log,
		TLSConfig:             opts.TLS,
	}
	return sv
}

func (opts ServerOptions) withDefaults() ServerOptions {
	if opts.BodyLimit == 0 {
		opts.BodyLimit = defaultBodyLimit
	}
	if opts.HeaderLimit == 0 {
		opts.HeaderLimit = defaultHeaderLimit
	}
	if opts.ReadLimit == 0 {
		opts.ReadLimit = defaultReadLimit
	}
	if opts.WriteLimit == 0 {
		opts.WriteLimit = defaultWriteLimit
	}
	if opts.Heartbeat == 0 {
		opts.Heartbeat = defaultHeartbeat
	}
	if opts.Linger == 0 {
		opts.Linger = defaultLinger
	}
	return opts
}

// Serve serves callers until Shutdown. It returns nil then.
func (sv *Server) Serve(ln net.Listener) error {
	if sv.opts.TLS != nil {
		ln = tls.NewListener(ln, sv.opts.TLS)
	}
	return errors.Wrap(sv.http.Serve(ln), "entry: serve")
}

// Shutdown ends each connection with its next answer, closes those that are idle after Linger, and
// waits until every request has ended, or ctx ends.
func (sv *Server) Shutdown(ctx context.Context) error {
	sv.isStopping.Store(true)
	linger, cancel := context.WithTimeout(ctx, sv.opts.Linger)
	defer cancel()
	for sv.Open() > 0 && linger.Err() == nil {
		select {
		case <-linger.Done():
		case <-sv.opts.Clock.After(lingerEvery):
		}
	}
	return errors.Wrap(sv.http.ShutdownWithContext(ctx), "entry: shutdown")
}

// Open returns how many connections of callers are open.
func (sv *Server) Open() int { return int(sv.http.GetOpenConnectionsCount()) }

func (sv *Server) handle(fc *fasthttp.RequestCtx) {
	rq := sv.read(fc)
	fc.Response.Header.Set(headerRequestID, rq.ID)
	if sv.isStopping.Load() {
		fc.SetConnectionClose()
	}
	path := string(fc.Path())
	switch {
	case path == chatPath && fc.IsPost():
		sv.serveChat(fc, rq)
	case strings.HasPrefix(path, servicePrefix):
		sv.serveService(fc, rq)
	default:
		sv.refuse(fc, rq, refusal.New(refusal.NotFound, "no such path"))
	}
}

func (sv *Server) read(fc *fasthttp.RequestCtx) *Request {
	hdr := &fc.Request.Header
	id := string(hdr.Peek(headerRequestID))
	if id == "" || len(id) > maxIDBytes || strings.ContainsFunc(id, isUnprintable) {
		id = uuid.NewString()
	}
	token, _ := strings.CutPrefix(string(hdr.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return &Request{
		ID:       id,
		Token:    token,
		Received: sv.opts.Clock.Now(),
		Call: service.Call{
			Method:      string(hdr.Method()),
			Path:        string(fc.Path()),
			ContentType: string(hdr.ContentType()),
			Key:         string(hdr.Peek(headerKey)),
			Body:        append([]byte(nil), fc.PostBody()...),
		},
	}
}

func (sv *Server) serveChat(fc *fasthttp.RequestCtx, rq *Request) {
	ctx, cancel := context.WithCancel(context.Background())
	rp, err := sv.opts.Chat(ctx, rq)
	if err != nil {
		cancel()
		sv.refuse(fc, rq, refusal.From(err, refusal.MayHaveRun))
		return
	}
	if !rq.IsStream {
		defer cancel()
		sv.writeWhole(ctx, fc, rq, rp)
		return
	}
	wr := &streamWriter{sv: sv, rq: rq, rp: rp, cancel: cancel, conn: fc.Conn()}
	fc.Response.Header.SetContentType("text/event-stream")
	fc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	fc.SetBodyStreamWriter(func(bw *bufio.Writer) { wr.write(ctx, bw) })
}

func (sv *Server) serveService(fc *fasthttp.RequestCtx, rq *Request) {
	rp, err := sv.opts.Service(context.Background(), rq)
	if err != nil {
		sv.refuse(fc, rq, refusal.From(err, refusal.MayHaveRun))
		return
	}
	defer rp.Close()
	fc.Response.SetStatusCode(rp.Service.Status)
	fc.Response.Header.SetContentType(rp.Service.ContentType)
	if rp.IsReplay {
		fc.Response.Header.Set(headerReplay, "true")
	}
	fc.Response.SetBody(rp.Service.Body)
}

func (sv *Server) refuse(fc *fasthttp.RequestCtx, rq *Request, re *refusal.Error) {
	sv.count(rq, re)
	fc.Response.SetStatusCode(re.Code().Status())
	fc.Response.Header.SetContentType("application/json")
	fc.Response.Header.Set(headerRun, re.Run().String())
	if after := re.RetryAfter(); after > 0 {
		fc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	fc.Response.SetBody(errorJSON(re))
}

func (sv *Server) count(rq *Request, re *refusal.Error) {
	sv.opts.Meter.Refused(re.Code(), rq.Class.Name)
	sv.opts.Log.WithFields(logrus.Fields{
		"request": rq.ID,
		"team":    rq.Team.Name,
		"code":    re.Code().String(),
		"run":     re.Run().String(),
	}).Info("Request refused.")
}

// handleError answers requests that could not be read.
func (sv *Server) handleError(fc *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	re := refusal.New(refusal.InvalidRequest, "the request cannot be read")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		re = refusal.New(refusal.BodyTooLarge, "the body is above %d bytes", sv.opts.BodyLimit)
	case errors.As(err, &small):
		re = refusal.New(refusal.InvalidRequest, "the header is above %d bytes", sv.opts.HeaderLimit)
	case errors.As(err, &ne) && ne.Timeout():
		re = refusal.New(refusal.InvalidRequest, "the request did not arrive within %v", sv.opts.ReadLimit)
	}
	sv.refuse(fc, &Request{ID: uuid.NewString()}, re)
	fc.SetConnectionClose()
}

func errorJSON(re *refusal.Error) []byte {
	kind := "server_error"
	if re.Code().Status() < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{Error: errorDetail{
		Message: re.Message(),
		Type:    kind,
		Code:    re.Code().String(),
		Run:     re.Run().String(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}

func isUnprintable(r rune) bool { return r < '!' || r > '~' }
