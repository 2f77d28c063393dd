// Package peering exchanges short-lived state between hosts in UDP datagrams: the load that each
// host has in flight, and what it has learned about model weights and requests that crash endpoints.
//
// Up to a dozen hosts send their digests directly to each other. A larger fleet uses a tiered
// exchange: one host of each zone, the aggregator, collects the reports of its zone, exchanges the
// sums with the aggregators of the other zones and sends the total to the hosts of its zone.
package peering

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/changefeed"
	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// minDigestInterval is the minimum interval between two digests. An endpoint receives a request
	// about every 100 ms; with loads that are 250 ms old, all hosts pick the endpoints that were idle
	// at that time.
	minDigestInterval = 40 * time.Millisecond
	// minTieredInterval is the minimum interval in a tiered exchange. It is shorter because a load
	// passes through three hosts before it reaches the last one.
	minTieredInterval = 30 * time.Millisecond
	// maxLinkShare is the share of a host's link bandwidth that the digests it sends may use. An
	// aggregator with more hosts or a slower link sends less often.
	maxLinkShare = 0.15
	// maxDigestInterval caps the interval that results from maxLinkShare.
	maxDigestInterval = 800 * time.Millisecond
	// defaultLinkMbps is the link bandwidth, in Mbit/s, of a host for which none is configured.
	defaultLinkMbps = 1000
	bytesPerMbit    = 1e6 / 8
	// maxDigestBytes limits the size of a datagram.
	maxDigestBytes = 60 << 10
)

type (
	// EndpointWeights reports the weight version of one model at an endpoint, or that the endpoint is loading
	// weights.
	EndpointWeights struct {
		Endpoint string `json:"e"`
		Model    string `json:"m"`
		Version  uint64 `json:"v,omitempty"`
		Loading  bool   `json:"l,omitempty"`
	}

	// EndpointStatement reports what an endpoint said of itself in responses to the sender; see package fleet.
	EndpointStatement struct {
		Endpoint string `json:"e"`
		// StartTimeMs is the start time of the endpoint, in Unix milliseconds.
		StartTimeMs int64 `json:"b"`
		// PerSecond is the limit in requests per second; zero means that the endpoint names none any more. LimitAgeUs is the
		// time since the response, in microseconds; nil means that nothing is known of a limit.
		PerSecond  float64 `json:"l,omitempty"`
		LimitAgeUs *int64  `json:"a,omitempty"`
		// IsLeaving reports that the endpoint is about to stop.
		IsLeaving bool `json:"v,omitempty"`
		// WaitUs is the time for which the endpoint wants no more requests from the sender, in microseconds.
		WaitUs int64 `json:"w,omitempty"`
		// IsBrittle reports that the endpoint falls over when it has to turn away more than Rejections requests in a second, and
		// BrittleAgeUs the time since
		// the response, in microseconds; nil means that nothing is known. HoldUs is the time for which it is to get no requests
		// after it has turned one away, in microseconds.
		IsBrittle    bool   `json:"r,omitempty"`
		Rejections   int    `json:"n,omitempty"`
		BrittleAgeUs *int64 `json:"g,omitempty"`
		HoldUs       int64  `json:"h,omitempty"`
	}

	// CacheStoreState holds the state of a cache store as the aggregator knows it.
	CacheStoreState struct {
		Address string `json:"a"`
		Epoch   uint64 `json:"e"`
		// Clock is the endpoints' clock when the digest is composed, in milliseconds, extrapolated from
		// the last value that the store reported.
		Clock int64 `json:"c"`
		// AgeMs is the time since the store reported its state, in milliseconds.
		AgeMs int64 `json:"g,omitempty"`
	}

	// PartChanges lists changes to the parts that a cache store holds under one salt.
	PartChanges struct {
		Address string `json:"a"`
		Salt    string `json:"s"`
		// Added maps the identifiers of new parts to their lengths in tokens.
		Added map[string]int `json:"t,omitempty"`
		// Removed lists the identifiers of removed parts.
		Removed []string `json:"g,omitempty"`
	}

	// CrashReport reports that a request was running when an endpoint crashed; see package quarantine.
	CrashReport struct {
		// Fingerprint identifies the request.
		Fingerprint string `json:"f"`
		// CrashID identifies the crash.
		CrashID string `json:"c"`
		// Reporter is the host that observed the crash.
		Reporter string `json:"h"`
		// AgeUs is the time since the crash, and RanUs the time the request had been running by then.
		// Both are in microseconds because a repeated request starts a fraction of a millisecond
		// after the previous crash.
		AgeUs int64 `json:"a"`
		RanUs int64 `json:"r"`
	}

	// PartCrash reports the parts of the prompts that waited for their first event at an endpoint when it crashed;
	// see package quarantine.
	PartCrash struct {
		// CrashID identifies the crash.
		CrashID string `json:"c"`
		// Service is the service of the endpoint.
		Service string `json:"s"`
		// Reporter is the host that observed the crash.
		Reporter string `json:"h"`
		// AgeUs is the time since the crash in microseconds.
		AgeUs int64 `json:"a"`
		// Parts identifies the parts.
		Parts []string `json:"p"`
	}

	// PartVerdict states that a part of prompts is blocked.
	PartVerdict struct {
		// Part identifies the part.
		Part string `json:"p"`
		// Crashes is the number of crashes, Strikes one more than that of the trials that crashed an endpoint.
		Crashes int `json:"n"`
		Strikes int `json:"k"`
		// AgeUs is the time since the last crash in microseconds.
		AgeUs int64 `json:"a"`
		// Reporters names some hosts that observed a crash.
		Reporters []string `json:"h,omitempty"`
		// Companions are other parts that were present in all of the crashes.
		Companions []string `json:"w,omitempty"`
	}

	// ClearedRequest reports that a request that was running during a crash has been answered.
	ClearedRequest struct {
		Fingerprint string `json:"f"`
		// AgeUs is the time since the response, in microseconds.
		AgeUs int64 `json:"a"`
	}

	// ClearedPart reports a response to a request with a part that was running during a crash.
	ClearedPart struct {
		Part string `json:"p"`
		// AgeUs is the time since the response, in microseconds.
		AgeUs int64 `json:"a"`
	}

	// Digest is the message that a host sends to other hosts.
	Digest struct {
		// Tier is the kind of digest.
		Tier Tier `json:"x,omitempty"`
		// Zone is the zone whose hosts a TierZone digest covers; it is empty in other digests.
		Zone string `json:"z,omitempty"`
		// HostRevisions maps each host that the digest covers to its AppliedRevision. It is empty in
		// digests of a single host and in most totals.
		HostRevisions map[string]metastore.Revision `json:"o,omitempty"`
		// CacheStores holds the states of the cache stores. Only aggregators set it.
		CacheStores []CacheStoreState `json:"k,omitempty"`
		// CacheChanges holds the latest changes to the contents of the cache stores. Only aggregators set it.
		CacheChanges []PartChanges `json:"p,omitempty"`
		// GateRevision is the revision of the newest cache gates that the host has. It is nil if the host is not registered
		// in the metadata store.
		GateRevision *metastore.Revision `json:"y,omitempty"`
		// EndpointClockMs is the endpoints' clock in milliseconds, read just before the revision of the gates.
		EndpointClockMs int64 `json:"c,omitempty"`

		// Feed holds recent changes of the metadata store. Only aggregators set it.
		Feed *changefeed.Update `json:"u,omitempty"`

		// IntervalMs is the digest interval of an aggregator. The hosts that report to it adopt it.
		IntervalMs int64 `json:"b,omitempty"`

		// Host is the sender.
		Host string `json:"h"`
		// Sequence increases with each digest of the sender.
		Sequence uint64 `json:"n"`
		// AppliedRevision is the metadata store revision up to which the host has applied all changes.
		AppliedRevision metastore.Revision `json:"s,omitzero"`
		// UnreachableBy counts, by endpoint identifier, the hosts that cannot reach an endpoint.
		UnreachableBy map[string]int    `json:"d,omitempty"`
		Loads         Loads             `json:"l,omitempty"`
		Weights       []EndpointWeights `json:"w,omitempty"`
		// Statements lists what endpoints say of themselves.
		Statements []EndpointStatement `json:"e,omitempty"`
		// Crashes lists requests that were running during recent crashes, Cleared those that have been answered since.
		Crashes []CrashReport    `json:"q,omitempty"`
		Cleared []ClearedRequest `json:"r,omitempty"`
		// PartCrashes lists the parts that were running during recent crashes, ClearedParts the parts that have been
		// answered since, and PartVerdicts the blocked ones.
		PartCrashes  []PartCrash   `json:"i,omitempty"`
		ClearedParts []ClearedPart `json:"j,omitempty"`
		PartVerdicts []PartVerdict `json:"v,omitempty"`
		// ServiceTimes and EngineTimes tell what hosts have observed of the times of engines. Most totals are without them.
		ServiceTimes ServiceTimes `json:"t,omitempty"`
		EngineTimes  EngineTimes  `json:"f,omitempty"`
		// Rollouts lists the rollouts of software versions, RolloutCounts the responses that hosts have observed since the orders.
		Rollouts      []Rollout       `json:"ro,omitempty"`
		RolloutCounts []RolloutCounts `json:"g,omitempty"`
	}

	// Peer describes a host of the exchange.
	Peer struct {
		Name    string
		Zone    string
		Address netip.AddrPort
		// Relay is the address on which the host takes requests from its peers; the zero value means that it takes none.
		Relay netip.AddrPort
		// TakesOrigins is set if the host reads what began a stream from a request that is passed on to it.
		TakesOrigins bool
		// Capacity is the relative capacity of the host. The host with the highest capacity in a zone
		// becomes its aggregator.
		Capacity float64
		// LinkMbps is the link bandwidth in Mbit/s; zero means 1,000. It is used for the local host only.
		LinkMbps float64
	}

	// Delegate connects an exchange to the local host.
	Delegate interface {
		// LocalDigest returns the local host's own state. It is called from one goroutine.
		LocalDigest() Digest
		// DrainZoneState returns what only aggregators send: the states of the cache stores, the oldest
		// changes of their contents that no earlier call has returned, and the recent changes of the metadata
		// store. It is called only while this host is a strong aggregator in a tiered exchange, from the
		// goroutine that calls LocalDigest.
		DrainZoneState() Digest
		// HandleDigest applies state received from peers. It is called from two goroutines.
		HandleDigest(dg Digest)
	}

	// outgoing is a digest with the peers that it is sent to.
	outgoing struct {
		digest Digest
		peers  []Peer
	}

	// Exchange sends and receives digests. It is safe for concurrent use.
	Exchange struct {
		ck   clock.Clock
		conn *net.UDPConn

		// mu guards the fields below.
		mu    sync.Mutex
		self  Peer
		peers []Peer
		// zone is derived from self and peers.
		zone zoneRanking
		// lastSequence holds the highest sequence number received, by host.
		lastSequence map[string]uint64
		// reports and zoneDigests hold the latest digests that an aggregator sums up, by host and by zone.
		reports     map[string]receivedDigest
		zoneDigests map[string]receivedDigest
		// sentLoads are the loads in this host's latest digest of a tiered exchange.
		sentLoads Loads
		interval  time.Duration
		// aggregatorSeenAt is the time of the last total from a host of this zone that ranks before this
		// one, and aggregator the name of its sender.
		aggregatorSeenAt time.Time
		aggregator       string
		// handleMessage receives messages; nil drops them.
		handleMessage func(data []byte)
		// rounds counts the rounds that this host has composed as an aggregator.
		rounds int
	}
)

// Listen returns an exchange that listens on address, an IP address with a port.
//
// Self describes the local host; its Address field is not used.
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
		ck: ck, conn: conn, self: self, zone: newZoneRanking(self, nil), aggregatorSeenAt: ck.Now(),
		lastSequence: make(map[string]uint64), reports: make(map[string]receivedDigest), zoneDigests: make(map[string]receivedDigest),
	}, nil
}

// Address returns the address on which the exchange listens.
func (ex *Exchange) Address() string { return ex.conn.LocalAddr().String() }

// SetPeers replaces the list of other hosts.
func (ex *Exchange) SetPeers(peers []Peer) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.peers, ex.zone = peers, newZoneRanking(ex.self, peers)
}

// Run sends the host's digests to the peers and passes the peers' digests to the host, until ctx ends.
// Lost datagrams are not resent, since the next one replaces them.
func (ex *Exchange) Run(ctx context.Context, delegate Delegate) error {
	stop := context.AfterFunc(ctx, func() { _ = ex.conn.Close() })
	defer stop()
	go ex.sendLoop(ctx, delegate)
	buf := make([]byte, maxDigestBytes)
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
		if n > 0 && buf[0] == messageMark {
			ex.deliverMessage(buf[1:n])
			continue
		}
		dg, err := DecodeDigest(buf[:n])
		if err != nil || !ex.recordSequence(dg) {
			continue
		}
		if dg, ok := ex.accept(dg, from); ok {
			delegate.HandleDigest(dg)
		}
	}
}

func (ex *Exchange) sendLoop(ctx context.Context, delegate Delegate) {
	// Sequence numbers start at the wall-clock time in milliseconds, so that they keep increasing when
	// a host restarts.
	sequence := uint64(ex.ck.Now().UnixMilli())
	for {
		ex.mu.Lock()
		interval, alone := ex.nextInterval(), len(ex.peers) == 0
		ex.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ex.ck.After(interval):
		}
		if alone {
			continue
		}
		out, local := ex.composeRound(delegate.LocalDigest(), delegate.DrainZoneState)
		if local != nil {
			delegate.HandleDigest(*local)
		}
		sentBytes := 0
		for _, og := range out {
			sequence++
			og.digest.Sequence = sequence
			data, err := EncodeDigest(og.digest)
			if err != nil || len(data) > maxDigestBytes {
				continue
			}
			sentBytes += len(data) * len(og.peers)
			for _, pe := range og.peers {
				// The next digest replaces one that could not be sent.
				_, _ = ex.conn.WriteToUDPAddrPort(data, pe.Address)
			}
		}
		ex.adjustInterval(sentBytes)
	}
}
