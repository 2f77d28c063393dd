package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
)

// maxResponseBytes bounds the response to a control request.
const maxResponseBytes = 64 << 10

type (
	// Client sends runs and control requests to engines. It is safe for concurrent use.
	Client struct {
		dialer *connection.Dialer
	}

	chatRequest struct {
		Model     string       `json:"model"`
		Messages  []Message    `json:"messages"`
		Stream    bool         `json:"stream"`
		Priority  int          `json:"priority"`
		CacheSalt string       `json:"cache_salt"`
		MaxTokens int          `json:"max_tokens,omitempty"`
		Resume    *resumeState `json:"resume,omitempty"`
	}

	resumeState struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
	}

	importRequest struct {
		Salt   string  `json:"cache_salt"`
		Pieces []Piece `json:"pieces"`
	}

	exportRequest struct {
		Salt  string   `json:"cache_salt"`
		Store string   `json:"store"`
		Names []string `json:"names"`
	}

	loadWeightsRequest struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}

	// TransferResult counts the pieces and bytes that an import or export transferred.
	TransferResult struct {
		Pieces int   `json:"pieces"`
		Bytes  int64 `json:"bytes"`
	}
)

// NewClient returns a Client that opens connections with dialer.
func NewClient(dialer *connection.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Open starts a run and returns its stream once the engine has accepted it. It returns a
// *connection.DialError or *RefusedError if the run certainly did not start, a *VersionError if
// the engine serves another weight version, and a *connection.BrokenError if the run may have
// started.
func (c *Client) Open(ctx context.Context, address string, rn Run) (*Stream, error) {
	body := chatRequest{
		Model:     rn.Model,
		Messages:  rn.Messages,
		Stream:    true,
		Priority:  rn.Priority,
		CacheSalt: rn.Salt,
		MaxTokens: rn.MaxTokens,
	}
	if rn.ResumedTokens > 0 {
		body.Resume = &resumeState{Text: rn.Resumed, Tokens: rn.ResumedTokens}
	}
	req, err := newRequest(address, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(HeaderRequestID, rn.ID)
	req.Header.Set(HeaderVersion, rn.Version)
	ex, err := c.dialer.Open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	hdr := &ex.Response().Header
	if status := hdr.StatusCode(); status != http.StatusOK {
		_ = ex.Close()
		return nil, NewRefusedError(address, status)
	}
	if got := string(hdr.Peek(HeaderVersion)); got != rn.Version {
		_ = ex.Close()
		return nil, NewVersionError(address, rn.Version, got)
	}
	return newStream(ex, rn), nil
}

// FetchLoad fetches the load report of an engine.
func (c *Client) FetchLoad(ctx context.Context, address string) (LoadReport, error) {
	var out LoadReport
	err := c.call(ctx, address, "/load", 0, nil, &out)
	return out, err
}

// Import makes an engine load pieces from store hosts. The engine verifies the generation and the
// checksum of each piece. The first mismatch ends the import, and the rest is recomputed.
func (c *Client) Import(ctx context.Context, address, salt string, pieces []Piece) (TransferResult, error) {
	var out TransferResult
	err := c.call(ctx, address, "/orders/import", 0, importRequest{Salt: salt, Pieces: pieces}, &out)
	return out, err
}

// Export makes an engine write pieces to a store host.
func (c *Client) Export(ctx context.Context, address, salt, store string, names []string) (TransferResult, error) {
	var out TransferResult
	err := c.call(ctx, address, "/orders/export", 0, exportRequest{Salt: salt, Store: store, Names: names}, &out)
	return out, err
}

// LoadWeights makes an engine load a weight version. fencing is the fencing token of the request.
func (c *Client) LoadWeights(ctx context.Context, address, model, version string, fencing uint64) error {
	return c.call(ctx, address, "/orders/load", fencing, loadWeightsRequest{Model: model, Version: version}, nil)
}

// Cancel makes an engine cancel a run.
func (c *Client) Cancel(ctx context.Context, address, runID string) error {
	return c.call(ctx, address, "/orders/cancel/"+runID, 0, struct{}{}, nil)
}

// call sends a control request and decodes the response into result, unless result is nil. A nil
// body makes it a GET request; a fencing token of zero is not sent.
func (c *Client) call(ctx context.Context, address, path string, fencing uint64, body, result any) error {
	req, err := newRequest(address, path, body)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseRequest(req)
	if fencing > 0 {
		req.Header.Set(HeaderFencingToken, strconv.FormatUint(fencing, 10))
	}
	ex, err := c.dialer.Open(ctx, address, req)
	if err != nil {
		return err
	}
	defer func() { _ = ex.Close() }()
	if status := ex.Response().StatusCode(); status != http.StatusOK {
		return NewRefusedError(address, status)
	}
	data, err := ex.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	if err = json.Unmarshal(data, result); err != nil {
		return &ProtocolError{event: path, cause: err}
	}
	return nil
}

func newRequest(address, path string, body any) (*fasthttp.Request, error) {
	req := fasthttp.AcquireRequest()
	req.SetRequestURI("http://" + address + path)
	if body == nil {
		req.Header.SetMethod(http.MethodGet)
		return req, nil
	}
	data, err := json.Marshal(body)
	if err != nil {
		fasthttp.ReleaseRequest(req)
		return nil, &ProtocolError{event: path, cause: err}
	}
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(data)
	return req, nil
}
