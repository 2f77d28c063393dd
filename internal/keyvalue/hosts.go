package keyvalue

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/valyala/fasthttp"
)

type (
	// HostState is what the platform's list says of a host.
	HostState string

	// ListedHost is one line of the platform's list. The list lags behind the truth.
	ListedHost struct {
		Address string    `json:"address"`
		State   HostState `json:"state"`
	}
)

const (
	// HostLive is a host that may take work.
	HostLive HostState = "live"
	// HostLeaving is a host that must get no new work.
	HostLeaving HostState = "leaving"
)

// Hosts returns the platform's list of live and leaving hosts.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	c.count(PurposeHosts, false)
	rsp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(rsp)
	if err := c.do(ctx, http.MethodGet, c.opts.HostsAddress, "/v1/hosts", nil, rsp, c.opts.CallTimeout); err != nil {
		return nil, NewUnavailableError("list of hosts", err)
	}
	var out []ListedHost
	if err := json.Unmarshal(rsp.Body(), &out); err != nil {
		return nil, NewUnavailableError("list of hosts", err)
	}
	return out, nil
}
