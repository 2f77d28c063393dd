// Package peering exchanges short-lived knowledge between hosts by datagrams: the load that each
// host has under way, and what it has learned of weights and of requests that crash endpoints.
package peering

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// every is the pause between two digests. Endpoints run a request for some 300 ms, so that
	// older digests would say little.
	every = 100 * time.Millisecond
	// digestBytes bounds a datagram.
	digestBytes = 60 << 10
)

type (
	// Load is the load of one host at one endpoint.
	Load struct {
		Endpoint string `json:"e"`
		Requests int    `json:"r"`
		Tokens   int    `json:"t,omitempty"`
		Unread   int    `json:"u,omitempty"`
	}

	// Weights is the version that an endpoint has, or takes now.
	Weights struct {
		Endpoint string `json:"e"`
		Model    string `json:"m"`
		Version  uint64 `json:"v,omitempty"`
		Loading  bool   `json:"l,omitempty"`
	}

	// Digest is what one host tells the others.
	Digest struct {
		Host   string `json:"h"`
		Number uint64 `json:"n"`
		// Seen is the revision of the metadata store up to which the host knows all changes.
		Seen    uint64    `json:"s,omitempty"`
		Loads   []Load    `json:"l,omitempty"`
		Weights []Weights `json:"w,omitempty"`
	}

	// Peer is another host.
	Peer struct {
		Name    string
		Zone    string
		Address netip.AddrPort
	}

	// Exchange sends and receives digests. It is safe for concurrent use.
	Exchange struct {
		ck   clock.Clock
		conn *net.UDPConn

		mu    sync.Mutex
		peers []Peer
		last  map[string]uint64
	}
)

// Listen returns an exchange at address, an IP number and a port.
func Listen(address string, ck clock.Clock) (*Exchange, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peering: address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "peering: listen")
	}
	return &Exchange{ck: ck, conn: conn, last: make(map[string]uint64)}, nil
}

// Address returns the address at which the exchange listens.
func (ex *Exchange) Address() string { return ex.conn.LocalAddr().String() }

// SetPeers sets the other hosts.
func (ex *Exchange) SetPeers(peers []Peer) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.peers = peers
}

// Run sends what compose returns to all peers, and passes what they send to receive, until ctx ends.
// Lost datagrams are not repeated, since the next one replaces them.
func (ex *Exchange) Run(ctx context.Context, compose func() Digest, receive func(Digest)) error {
	stop := context.AfterFunc(ctx, func() { _ = ex.conn.Close() })
	defer stop()
	go ex.send(ctx, compose)
	buf := make([]byte, digestBytes)
	for {
		n, _, err := ex.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "peering: read")
		}
		if err != nil {
			continue
		}
		var dg Digest
		if json.Unmarshal(buf[:n], &dg) != nil || !ex.isNewer(dg) {
			continue
		}
		receive(dg)
	}
}

func (ex *Exchange) send(ctx context.Context, compose func() Digest) {
	// Numbers begin at the time of day, so that those of a host that starts anew go on.
	number := uint64(ex.ck.Now().UnixMilli())
	for {
		select {
		case <-ctx.Done():
			return
		case <-ex.ck.After(every):
		}
		ex.mu.Lock()
		peers := ex.peers
		ex.mu.Unlock()
		if len(peers) == 0 {
			continue
		}
		dg := compose()
		number++
		dg.Number = number
		data, err := json.Marshal(dg)
		if err != nil || len(data) > digestBytes {
			continue
		}
		for _, pe := range peers {
			// A peer that cannot be reached gets the next digest.
			_, _ = ex.conn.WriteToUDPAddrPort(data, pe.Address)
		}
	}
}

// isNewer reports whether a digest is newer than those of the same host before. A number far below
// the last is taken as a new start of the host.
func (ex *Exchange) isNewer(dg Digest) bool {
	const restart = 1000
	ex.mu.Lock()
	defer ex.mu.Unlock()
	last := ex.last[dg.Host]
	if dg.Number <= last && last-dg.Number < restart {
		return false
	}
	ex.last[dg.Host] = dg.Number
	return true
}
