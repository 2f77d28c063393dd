package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	revisionHeader = "X-Revision"
	writeIDHeader  = "X-Write-Id"

	defaultCallTimeout = time.Second
	watchTimeoutMargin = 500 * time.Millisecond
	maxSwapAttempts    = 3
)

type (
	// Options configures a Client.
	Options struct {
		// Address is the ip:port of the key-value service.
		Address string
		// HostListAddress is the ip:port of the platform's list of hosts.
		HostListAddress string
		// CallTimeout bounds each call except watches; zero means 1 s.
		CallTimeout time.Duration
		// Meter counts the calls; nil counts nothing.
		Meter Meter
		// Clock is used for deadlines; nil means the system clock.
		Clock clock.Clock
	}

	// Client is an HTTP client of the key-value service. It is safe for concurrent use.
	Client struct {
		opts       Options
		httpClient *fasthttp.Client
	}

	wireEntry struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		WriteID  string `json:"write-id"`
		Revision uint64 `json:"revision"`
	}
)

var _ Store = (*Client)(nil)

// NewClient returns a client. It connects on the first call.
func NewClient(opts Options) *Client {
	if opts.CallTimeout == 0 {
		opts.CallTimeout = defaultCallTimeout
	}
	if opts.Clock == nil {
		opts.Clock = clock.System()
	}
	return &Client{
		opts: opts,
		httpClient: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize:       64 * ValueLimit,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Get returns the entry of key; its revision is zero if the key is absent.
func (c *Client) Get(ctx context.Context, purpose Purpose, key string) (Entry, error) {
	return c.read(ctx, purpose, key, "/v1/keys/"+url.PathEscape(key), c.opts.CallTimeout)
}

// Watch waits at most timeout for a revision of key above after and returns the newest entry.
func (c *Client) Watch(ctx context.Context, purpose Purpose, key string, after uint64, timeout time.Duration) (Entry, error) {
	path := "/v1/watch/" + url.PathEscape(key) +
		"?after=" + strconv.FormatUint(after, 10) +
		"&wait-ms=" + strconv.FormatInt(timeout.Milliseconds(), 10)
	return c.read(ctx, purpose, key, path, timeout+watchTimeoutMargin)
}

// List returns the entries whose keys begin with prefix, sorted by key.
func (c *Client) List(ctx context.Context, purpose Purpose, prefix string) ([]Entry, error) {
	c.countCall(purpose, false)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	path := "/v1/list?prefix=" + url.QueryEscape(prefix)
	if err := c.send(ctx, http.MethodGet, c.opts.Address, path, nil, rsp, c.opts.CallTimeout); err != nil {
		return nil, NewUnavailableError("list "+prefix, err)
	}
	if rsp.StatusCode() != http.StatusOK {
		return nil, NewUnavailableError("list "+prefix, statusError(rsp.StatusCode()))
	}
	var wes []wireEntry
	if err := json.Unmarshal(rsp.Body(), &wes); err != nil {
		return nil, NewUnavailableError("list "+prefix, err)
	}
	out := make([]Entry, 0, len(wes))
	for _, we := range wes {
		out = append(out, NewEntry(we.Key, we.Value, we.WriteID, we.Revision))
	}
	return out, nil
}

// CompareAndSwap writes a value if the key still has the expected revision.
//
// If a response is lost, the same write is sent again: a conflict with the write ID of this call
// means that an earlier attempt took effect. A *ConflictError means that another write came first.
// An *UnavailableError means that the write may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, purpose Purpose, wr Write) (Entry, error) {
	if len(wr.Value) > ValueLimit {
		return Entry{}, &SizeError{key: wr.Key, size: len(wr.Value)}
	}
	if wr.WriteID == "" {
		wr.WriteID = uuid.NewString()
	}
	var lastErr error
	for range maxSwapAttempts {
		en, err := c.swapOnce(ctx, purpose, wr)
		var ce *ConflictError
		switch {
		case err == nil:
			return en, nil
		case errors.As(err, &ce) && ce.current.writeID == wr.WriteID:
			return ce.current, nil
		case errors.As(err, &ce):
			return Entry{}, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return Entry{}, lastErr
}

func (c *Client) swapOnce(ctx context.Context, purpose Purpose, wr Write) (Entry, error) {
	c.countCall(purpose, true)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	path := "/v1/keys/" + url.PathEscape(wr.Key) +
		"?revision=" + strconv.FormatUint(wr.Revision, 10) +
		"&write-id=" + url.QueryEscape(wr.WriteID) +
		"&ttl-ms=" + strconv.FormatInt(wr.TTL.Milliseconds(), 10)
	if err := c.send(ctx, http.MethodPut, c.opts.Address, path, wr.Value, rsp, c.opts.CallTimeout); err != nil {
		return Entry{}, NewUnavailableError("write "+wr.Key, err)
	}
	switch rsp.StatusCode() {
	case http.StatusOK:
		rev, err := strconv.ParseUint(string(rsp.Header.Peek(revisionHeader)), 10, 64)
		if err != nil {
			return Entry{}, NewUnavailableError("write "+wr.Key, err)
		}
		return NewEntry(wr.Key, wr.Value, wr.WriteID, rev), nil
	case http.StatusConflict:
		return Entry{}, NewConflictError(entryFromResponse(wr.Key, rsp))
	default:
		return Entry{}, NewUnavailableError("write "+wr.Key, statusError(rsp.StatusCode()))
	}
}

func (c *Client) read(ctx context.Context, purpose Purpose, key, path string, timeout time.Duration) (Entry, error) {
	c.countCall(purpose, false)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	if err := c.send(ctx, http.MethodGet, c.opts.Address, path, nil, rsp, timeout); err != nil {
		return Entry{}, NewUnavailableError("read "+key, err)
	}
	switch rsp.StatusCode() {
	case http.StatusOK:
		return entryFromResponse(key, rsp), nil
	case http.StatusNotFound:
		return Entry{key: key}, nil
	default:
		return Entry{}, NewUnavailableError("read "+key, statusError(rsp.StatusCode()))
	}
}

// send sends one request. If it fails, it also closes the idle connections, because an unresponsive
// connection suggests that the network path of the others is broken too.
func (c *Client) send(ctx context.Context, method, address, path string, body []byte, rsp *fasthttp.Response, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	deadline := c.opts.Clock.Now().Add(timeout)
	if dl, ok := ctx.Deadline(); ok && dl.Before(deadline) {
		deadline = dl
	}
	err := c.httpClient.DoDeadline(req, rsp, deadline)
	if err != nil {
		c.httpClient.CloseIdleConnections()
	}
	return err
}

func (c *Client) countCall(purpose Purpose, isWrite bool) {
	if c.opts.Meter != nil {
		c.opts.Meter.CountPlatformCall(purpose, isWrite)
	}
}

func entryFromResponse(key string, rsp *fasthttp.Response) Entry {
	rev, err := strconv.ParseUint(string(rsp.Header.Peek(revisionHeader)), 10, 64)
	if err != nil {
		return Entry{key: key}
	}
	value := append([]byte(nil), rsp.Body()...)
	return NewEntry(key, value, string(rsp.Header.Peek(writeIDHeader)), rev)
}
