// Package store is the client for store hosts, which hold pieces of KV cache.
package store

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
)

// maxResponseBytes bounds a response; it has room for some thousand pieces.
const maxResponseBytes = 1 << 20

type (
	// Client looks up pieces on store hosts. It is safe for concurrent use.
	Client struct {
		dialer *connection.Dialer
	}

	lookupResponse struct {
		Pieces []engine.Piece `json:"pieces"`
	}
)

// NewClient returns a Client that opens connections with dialer.
func NewClient(dialer *connection.Dialer) *Client {
	return &Client{dialer: dialer}
}

// Lookup returns the pieces for the longest prefix of names that the store host holds as committed
// pieces. Pieces that are being written or have been evicted are not returned.
func (c *Client) Lookup(ctx context.Context, address string, names []string) ([]engine.Piece, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + "/v1/lookup")
	req.Header.SetMethod(http.MethodPost)
	req.SetBodyString(strings.Join(names, "\n"))
	ex, err := c.dialer.Open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = ex.Close() }()
	data, err := ex.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, err
	}
	var out lookupResponse
	if err = json.Unmarshal(data, &out); err != nil {
		return nil, connection.NewBrokenError(address, false, err)
	}
	for i := range out.Pieces {
		if i >= len(names) || out.Pieces[i].Name != names[i] {
			return out.Pieces[:i], nil
		}
		out.Pieces[i].Store = address
	}
	return out.Pieces, nil
}
