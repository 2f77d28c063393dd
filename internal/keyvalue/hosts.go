package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/valyala/fasthttp"
)

type (
	// HostState is the state of a host on the platform's list.
	HostState string

	// ListedHost is one host on the platform's list. The list is eventually consistent.
	ListedHost struct {
		Address string    `json:"address"`
		State   HostState `json:"state"`
	}
)

const (
	// HostLive is a host that may receive work.
	HostLive HostState = "live"
	// HostLeaving is a host that must not receive new work.
	HostLeaving HostState = "leaving"
)

// Hosts returns the platform's list of live and leaving hosts.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	c.countCall(PurposeHosts, false)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	if err := c.send(ctx, http.MethodGet, c.opts.HostListAddress, "/v1/hosts", nil, rsp, c.opts.CallTimeout); err != nil {
		return nil, NewUnavailableError("list of hosts", err)
	}
	var out []ListedHost
	if err := json.Unmarshal(rsp.Body(), &out); err != nil {
		return nil, NewUnavailableError("list of hosts", err)
	}
	return out, nil
}
