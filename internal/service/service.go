// Package service is the client for plain HTTP services that run next to the model engines.
package service

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
)

type (
	// Request is a request to a plain service. An empty IdempotencyKey means none.
	Request struct {
		Method         string
		Path           string
		ContentType    string
		IdempotencyKey string
		Body           []byte
	}

	// Response is the complete response of a service.
	Response struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type,omitempty"`
		Body        []byte `json:"body,omitempty"`
	}

	// Client sends requests to plain services and never retries them. It is safe for concurrent use.
	Client struct {
		dialer *connection.Dialer
	}
)

// MaxResponseBytes is the maximum size of a response body, in bytes.
const MaxResponseBytes = 1 << 20

// NewClient returns a Client that opens connections with dialer.
func NewClient(dialer *connection.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Do sends one request to the service at address on a new connection. It returns a
// *connection.DialError if the request certainly did not run, and a *connection.BrokenError if it
// may have run.
func (c *Client) Do(ctx context.Context, address string, rq Request) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + rq.Path)
	req.Header.SetMethod(rq.Method)
	req.Header.SetContentType(rq.ContentType)
	if rq.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", rq.IdempotencyKey)
	}
	req.SetBodyRaw(rq.Body)
	ex, err := c.dialer.Open(ctx, address, req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = ex.Close() }()
	body, err := ex.ReadAll(MaxResponseBytes)
	if err != nil {
		return Response{}, err
	}
	hdr := &ex.Response().Header
	return Response{Status: hdr.StatusCode(), ContentType: string(hdr.ContentType()), Body: body}, nil
}
