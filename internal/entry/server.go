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
	chatPath               = "/v1/chat/completions"
	headerRequestID        = "X-Request-Id"
	headerIdempotencyKey   = "Idempotency-Key"
	headerIdempotentReplay = "Idempotent-Replay"
	headerRun              = "X-Run"

	defaultMaxBodyBytes      = 8 << 20
	defaultMaxHeaderBytes    = 16 << 10
	defaultReadTimeout       = 30 * time.Second
	defaultWriteTimeout      = 10 * time.Second
	defaultHeartbeatInterval = 5 * time.Second
	idleTimeout              = time.Minute
	// defaultDrainTime covers two health checks of a load balancer that checks once a second.
	defaultDrainTime = 2 * time.Second
	// drainPollInterval is the time between two checks for open connections during a shutdown.
	drainPollInterval = 10 * time.Millisecond
	// maxRequestIDBytes bounds a request ID sent by a client; a longer one is replaced.
	maxRequestIDBytes = 64
)

type (
	// ServerOptions configures a Server. Zero limits mean the defaults.
	ServerOptions struct {
		// Chat serves chat completions; Service serves plain service calls. Both are required.
		Chat    Handler
		Service Handler
		Clock   clock.Clock
		Meter   RefusalMeter
		Log     logrus.FieldLogger
		// MaxBodyBytes is the maximum size of a request body, in bytes; zero means 8 MiB.
		MaxBodyBytes int
		// MaxHeaderBytes is the maximum size of a request header, in bytes; zero means 16 KiB.
		MaxHeaderBytes int
		// ReadTimeout is how long a client may take to send a request; zero means 30 s.
		ReadTimeout time.Duration
		// WriteTimeout is how long a client may take to accept one write; zero means 10 s.
		WriteTimeout time.Duration
		// HeartbeatInterval is the longest time without a byte sent in a stream; zero means 5 s.
		HeartbeatInterval time.Duration
		// DrainTime is how long Shutdown keeps answering on open connections, so that requests
		// already on the wire are not cut off; zero means 2 s.
		DrainTime time.Duration
		// TLS, if not nil, is used for client connections.
		TLS *tls.Config
	}

	// RefusalMeter counts refusals.
	RefusalMeter interface {
		Refused(code refusal.Code, class string)
	}

	// Server serves clients over HTTP.
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

// NewServer returns a Server with the given options.
func NewServer(opts ServerOptions) *Server {
	opts = opts.withDefaults()
	sv := &Server{opts: opts}
	sv.http = &fasthttp.Server{
		Handler:               sv.handle,
		ErrorHandler:          sv.handleReadError,
		MaxRequestBodySize:    opts.MaxBodyBytes,
		ReadBufferSize:        opts.MaxHeaderBytes,
		ReadTimeout:           opts.ReadTimeout,
		WriteTimeout:          opts.WriteTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                opts.Log,
		TLSConfig:             opts.TLS,
	}
	return sv
}

func (opts ServerOptions) withDefaults() ServerOptions {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = defaultMaxBodyBytes
	}
	if opts.MaxHeaderBytes == 0 {
		opts.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if opts.ReadTimeout == 0 {
		opts.ReadTimeout = defaultReadTimeout
	}
	if opts.WriteTimeout == 0 {
		opts.WriteTimeout = defaultWriteTimeout
	}
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = defaultHeartbeatInterval
	}
	if opts.DrainTime == 0 {
		opts.DrainTime = defaultDrainTime
	}
	return opts
}

// Serve serves clients until Shutdown is called, and then returns nil.
func (sv *Server) Serve(ln net.Listener) error {
	ln = &lingerListener{Listener: ln, ck: sv.opts.Clock}
	if sv.opts.TLS != nil {
		ln = tls.NewListener(ln, sv.opts.TLS)
	}
	return errors.Wrap(sv.http.Serve(ln), "entry: serve")
}

// Shutdown closes each connection after its next response, closes the connections still idle
// after the drain time, and waits until every request has ended or ctx is done.
func (sv *Server) Shutdown(ctx context.Context) error {
	sv.isStopping.Store(true)
	drainCtx, cancel := context.WithTimeout(ctx, sv.opts.DrainTime)
	defer cancel()
	for sv.OpenConnections() > 0 && drainCtx.Err() == nil {
		select {
		case <-drainCtx.Done():
		case <-sv.opts.Clock.After(drainPollInterval):
		}
	}
	return errors.Wrap(sv.http.ShutdownWithContext(ctx), "entry: shutdown")
}

// OpenConnections returns the number of open client connections.
func (sv *Server) OpenConnections() int { return int(sv.http.GetOpenConnectionsCount()) }

func (sv *Server) handle(fc *fasthttp.RequestCtx) {
	rq := sv.newRequest(fc)
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
		sv.writeRefusal(fc, rq, refusal.New(refusal.NotFound, "no such path"))
	}
}

func (sv *Server) newRequest(fc *fasthttp.RequestCtx) *Request {
	hdr := &fc.Request.Header
	id := string(hdr.Peek(headerRequestID))
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, isUnprintable) {
		id = uuid.NewString()
	}
	token, _ := strings.CutPrefix(string(hdr.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	return &Request{
		ID:       id,
		Token:    token,
		Received: sv.opts.Clock.Now(),
		Call: service.Request{
			Method:         string(hdr.Method()),
			Path:           string(fc.Path()),
			ContentType:    string(hdr.ContentType()),
			IdempotencyKey: string(hdr.Peek(headerIdempotencyKey)),
			Body:           append([]byte(nil), fc.PostBody()...),
		},
	}
}

func (sv *Server) serveChat(fc *fasthttp.RequestCtx, rq *Request) {
	ctx, cancel := context.WithCancel(context.Background())
	rp, err := sv.opts.Chat(ctx, rq)
	if err != nil {
		cancel()
		sv.writeRefusal(fc, rq, refusal.FromError(err, refusal.MayHaveRun))
		return
	}
	if !rq.IsStream {
		defer cancel()
		sv.writeCompletion(ctx, fc, rq, rp)
		return
	}
	wr := &streamWriter{sv: sv, rq: rq, rp: rp, cancel: cancel, conn: fc.Conn()}
	fc.Response.Header.SetContentType("text/event-stream")
	fc.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	fc.SetBodyStreamWriter(func(bw *bufio.Writer) { wr.stream(ctx, bw) })
}

func (sv *Server) serveService(fc *fasthttp.RequestCtx, rq *Request) {
	rp, err := sv.opts.Service(context.Background(), rq)
	if err != nil {
		sv.writeRefusal(fc, rq, refusal.FromError(err, refusal.MayHaveRun))
		return
	}
	defer rp.Close()
	fc.Response.SetStatusCode(rp.ServiceResponse.Status)
	fc.Response.Header.SetContentType(rp.ServiceResponse.ContentType)
	if rp.IsReplay {
		fc.Response.Header.Set(headerIdempotentReplay, "true")
	}
	fc.Response.SetBody(rp.ServiceResponse.Body)
}

func (sv *Server) writeRefusal(fc *fasthttp.RequestCtx, rq *Request, re *refusal.Error) {
	sv.recordRefusal(rq, re)
	fc.Response.SetStatusCode(re.Code().Status())
	fc.Response.Header.SetContentType("application/json")
	fc.Response.Header.Set(headerRun, re.Execution().String())
	if retryAfter := re.RetryAfter(); retryAfter > 0 {
		fc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	fc.Response.SetBody(errorJSON(re))
}

// recordRefusal counts and logs a refusal.
func (sv *Server) recordRefusal(rq *Request, re *refusal.Error) {
	sv.opts.Meter.Refused(re.Code(), rq.Class.Name)
	sv.opts.Log.WithFields(logrus.Fields{
		"request": rq.ID,
		"team":    rq.Team.Name,
		"code":    re.Code().String(),
		"run":     re.Execution().String(),
	}).Info("Request refused.")
}

// handleReadError refuses a request that could not be read, and closes its connection.
func (sv *Server) handleReadError(fc *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	re := refusal.New(refusal.InvalidRequest, "the request cannot be read")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		re = refusal.New(refusal.BodyTooLarge, "the body is above %d bytes", sv.opts.MaxBodyBytes)
	case errors.As(err, &smallBuffer):
		re = refusal.New(refusal.InvalidRequest, "the header is above %d bytes", sv.opts.MaxHeaderBytes)
	case errors.As(err, &netErr) && netErr.Timeout():
		re = refusal.New(refusal.InvalidRequest, "the request did not arrive within %v", sv.opts.ReadTimeout)
	}
	sv.writeRefusal(fc, &Request{ID: uuid.NewString()}, re)
	fc.SetConnectionClose()
	linger(fc.Conn())
}

func errorJSON(re *refusal.Error) []byte {
	errorType := "server_error"
	if re.Code().Status() < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	data, err := json.Marshal(errorBody{Error: errorDetail{
		Message: re.Message(),
		Type:    errorType,
		Code:    re.Code().String(),
		Run:     re.Execution().String(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return data
}

func isUnprintable(r rune) bool { return r < '!' || r > '~' }
