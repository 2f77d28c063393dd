// Package service is the client for plain HTTP services that run next to the model engines.
package service

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
)

type (
	// Call is a request to a plain service. Key is its idempotency key; empty means none.
	Call struct {
		Method      string
		Path        string
		ContentType string
		Key         string
		Body        []byte
	}

	// Answer is the complete response of a service.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"content-type,omitempty"`
		Body        []byte `json:"body,omitempty"`
	}

	// Client sends requests to plain services and never retries them. It is safe for concurrent use.
	Client struct {
		dialer *connection.Dialer
	}
)

// AnswerLimit is the maximum size of a response body, in bytes.
const AnswerLimit = 1 << 20

// NewClient returns a Client that opens connections with dialer.
func NewClient(dialer *connection.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Do sends one request to the service at address on a new connection. It returns a
// *connection.DialError if the request certainly did not run, and a *connection.BrokenError if it
// may have run.
func (c *Client) Do(ctx context.Context, address string, ca Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + ca.Path)
	req.Header.SetMethod(ca.Method)
	req.Header.SetContentType(ca.ContentType)
	if ca.Key != "" {
		req.Header.Set("Idempotency-Key", ca.Key)
	}
	req.SetBodyRaw(ca.Body)
	ex, err := c.dialer.Open(ctx, address, req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = ex.Close() }()
	body, err := io.ReadAll(io.LimitReader(ex, AnswerLimit+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > AnswerLimit {
		return Answer{}, connection.NewBrokenError(address, false, io.ErrShortBuffer)
	}
	hdr := &ex.Response().Header
	return Answer{Status: hdr.StatusCode(), ContentType: string(hdr.ContentType()), Body: body}, nil
}
