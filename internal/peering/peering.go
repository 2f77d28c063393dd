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
	// every is the least pause between two digests. Endpoints get a request every 100 ms or so; hosts
	// that see loads as they were 250 ms ago all send to the endpoints that were idle then.
	every = 40 * time.Millisecond
	// everyTier is the least pause where leads sum up, since a digest passes three hosts then.
	everyTier = 30 * time.Millisecond
	// linkShare is the part of a lead's link that its digests may take; a lead with more hosts or a
	// weaker link pauses longer.
	linkShare = 0.15
	// everyMost bounds that pause.
	everyMost = 800 * time.Millisecond
	// defaultLinkMbps is the link of a host that does not say.
	defaultLinkMbps = 1000
	bytesPerMbit    = 1e6 / 8
	// digestBytes bounds a datagram.
	digestBytes = 60 << 10
)

type (
	// Weights is the version that an endpoint has, or takes now.
	Weights struct {
		Endpoint string `json:"e"`
		Model    string `json:"m"`
		Version  uint64 `json:"v,omitempty"`
		Loading  bool   `json:"l,omitempty"`
	}

	// Store is what a lead knows of a cache store.
	Store struct {
		Address string `json:"a"`
		Epoch   uint64 `json:"e"`
		Clock   int64  `json:"c"`
	}

	// Parts are changes of what a cache store holds under one salt.
	Parts struct {
		Address string `json:"a"`
		Salt    string `json:"s"`
		// Added has the lengths by part, Gone the parts that are gone.
		Added map[string]int `json:"t,omitempty"`
		Gone  []string       `json:"g,omitempty"`
	}

	// Crash says that a request was running when an endpoint crashed, see package quarantine.
	Crash struct {
		Fingerprint string `json:"f"`
		Crash       string `json:"c"`
		// Host is the host that noticed it.
		Host string `json:"h"`
		// AgeUs is how long ago that was, RanUs how long the request had been running, in
		// microseconds: a repeat begins a fraction of a millisecond after the crash before.
		AgeUs int64 `json:"a"`
		RanUs int64 `json:"r"`
	}

	// Digest is what one host tells the others.
	Digest struct {
		// Tier says how it travels, and Zone which zone it sums up.
		Tier Tier   `json:"x,omitempty"`
		Zone string `json:"z,omitempty"`
		// Hosts is Seen of the hosts that the digest sums up.
		Hosts map[string]uint64 `json:"o,omitempty"`
		// Stores and Cache are what a lead knows of cache stores.
		Stores []Store `json:"k,omitempty"`
		Cache  []Parts `json:"p,omitempty"`
		// Gates is one more than the revision of the cache's gates that the host knows, if the
		// metadata store knows the host; else zero. Clock is the endpoints' clock at that moment.
		Gates uint64 `json:"g,omitempty"`
		Clock int64  `json:"c,omitempty"`

		// PauseMs is the pause of a lead, which the hosts that report to it keep as well.
		PauseMs int64 `json:"b,omitempty"`

		Host   string `json:"h"`
		Number uint64 `json:"n"`
		// Seen is the revision of the metadata store up to which the host knows all changes.
		Seen uint64 `json:"s,omitempty"`
		// Down counts the hosts that cannot reach an endpoint now, by its identifier.
		Down    map[string]int `json:"d,omitempty"`
		Loads   Loads          `json:"l,omitempty"`
		Weights []Weights      `json:"w,omitempty"`
		// Crashes has the requests that were running at crashes lately, and Cleared those that were
		// answered since, by their fingerprints.
		Crashes []Crash  `json:"q,omitempty"`
		Cleared []string `json:"f,omitempty"`
	}

	// Peer is another host.
	Peer struct {
		Name    string
		Zone    string
		Address netip.AddrPort
		// Weight is the strength of the host; strong hosts lead.
		Weight float64
		// LinkMbps is the host's own link, needed for this host only; zero means 1,000.
		LinkMbps float64
	}

	// Source is what an exchange asks of its host. Its methods are called from one goroutine.
	Source interface {
		// Compose returns what the host knows itself.
		Compose() Digest
		// News returns what is new of the cache stores, if this host leads its zone.
		News() Digest
		// Receive takes what peers know. It is called from two goroutines.
		Receive(dg Digest)
	}

	outgoing struct {
		digest Digest
		peers  []Peer
	}

	// Exchange sends and receives digests. It is safe for concurrent use.
	Exchange struct {
		ck   clock.Clock
		conn *net.UDPConn

		mu        sync.Mutex
		self      Peer
		peers     []Peer
		last      map[string]uint64
		reports   map[string]received
		zones     map[string]received
		sent      Loads
		pause     time.Duration
		leadHeard time.Time
		lead      string
		rounds    int
	}
)

// Listen returns an exchange at address, an IP number and a port.
//
// Self is this host; its address is taken from address.
func Listen(address string, self Peer, ck clock.Clock) (*Exchange, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "peering: address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "peering: listen")
	}
	return &Exchange{
		ck: ck, conn: conn, self: self, leadHeard: ck.Now(),
		last: make(map[string]uint64), reports: make(map[string]received), zones: make(map[string]received),
	}, nil
}

// Address returns the address at which the exchange listens.
func (ex *Exchange) Address() string { return ex.conn.LocalAddr().String() }

// SetPeers sets the other hosts.
func (ex *Exchange) SetPeers(peers []Peer) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.peers = peers
}

// Run tells the peers what the host knows, and the host what they tell, until ctx ends. Lost
// datagrams are not repeated, since the next one replaces them.
func (ex *Exchange) Run(ctx context.Context, host Source) error {
	stop := context.AfterFunc(ctx, func() { _ = ex.conn.Close() })
	defer stop()
	go ex.send(ctx, host)
	buf := make([]byte, digestBytes)
	for {
		n, from, err := ex.conn.ReadFromUDPAddrPort(buf)
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
		if dg, ok := ex.take(dg, from); ok {
			host.Receive(dg)
		}
	}
}

func (ex *Exchange) send(ctx context.Context, host Source) {
	// Numbers begin at the time of day, so that those of a host that starts anew go on.
	number := uint64(ex.ck.Now().UnixMilli())
	for {
		ex.mu.Lock()
		pause, alone := ex.pace(), len(ex.peers) == 0
		ex.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ex.ck.After(pause):
		}
		if alone {
			continue
		}
		out, local := ex.targets(host.Compose(), host.News)
		if local != nil {
			host.Receive(*local)
		}
		sent := 0
		for _, og := range out {
			number++
			og.digest.Number = number
			data, err := json.Marshal(og.digest)
			if err != nil || len(data) > digestBytes {
				continue
			}
			sent += len(data) * len(og.peers)
			for _, pe := range og.peers {
				// A peer that cannot be reached gets the next digest.
				_, _ = ex.conn.WriteToUDPAddrPort(data, pe.Address)
			}
		}
		ex.spent(sent)
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
