package peering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// maxFlatHosts is the largest number of hosts that send their digests to all others. With more
	// hosts, the hosts of a zone report to its aggregator, the aggregators exchange the sums of their
	// zones, and each sends the total to its zone. The traffic of a host then does not grow with the
	// number of hosts.
	maxFlatHosts = 12
	// aggregatorTimeout is how long the aggregator of a zone may be silent before another host takes
	// over. Each rank below the aggregator adds takeoverStagger to it.
	aggregatorTimeout = 700 * time.Millisecond
	takeoverStagger   = 300 * time.Millisecond
	// strongCapacityShare is the share of the highest capacity in a zone from which a host counts as
	// strong. A weaker host waits for weakTakeoverTimeout instead of aggregatorTimeout, and does not
	// follow cache stores once it has taken over.
	strongCapacityShare = 0.5
	weakTakeoverTimeout = 4 * time.Second
	// tieredIntervalPerHost is the least interval of a tiered exchange per host of the zone: each round costs
	// every host some processor time, and the aggregator a datagram for each.
	tieredIntervalPerHost = 1700 * time.Microsecond
	// hostsPeriodRounds is the period, in rounds of an aggregator, of the totals that contain the
	// revisions of the hosts. statesPeriodRounds is the period of those that contain the states of
	// engines and cache stores, and the times of engines.
	hostsPeriodRounds  = 20
	statesPeriodRounds = 4
	// aggregatorCandidates is how many hosts of a zone receive the digests for its aggregator, in case
	// the first one has failed.
	aggregatorCandidates = 2
	// maxReportAge is the age from which a received digest is ignored.
	maxReportAge = 1500 * time.Millisecond
	// maxMergedCrashes limits the crashes in a merged digest, to about 10 KB.
	maxMergedCrashes = 128
	// maxMergedStatements limits the statements of endpoints in a merged digest, to about 10 KB.
	maxMergedStatements = 160
	// maxAccusedParts, maxClearedParts and maxMergedVerdicts limit what a merged digest says about parts of prompts,
	// to about 20 KB.
	maxAccusedParts   = 1024
	maxClearedParts   = 256
	maxMergedVerdicts = 32
)

// Tier is the kind of a digest: who sends it, who receives it and which hosts it covers.
type Tier int

const (
	// TierDirect digests go from each host to all others in a flat exchange.
	TierDirect Tier = iota
	// TierReport digests go from a host to the aggregator of its zone.
	TierReport
	// TierZone digests sum up a zone and go from one aggregator to another.
	TierZone
	// TierTotal digests sum up all zones and go from an aggregator to the hosts of its zone.
	TierTotal
)

type (
	receivedDigest struct {
		digest     Digest
		from       netip.AddrPort
		receivedAt time.Time
	}

	// zoneRanking holds the hosts of this host's zone by rank, its own rank from 0, and the hosts of the other
	// zones that may be their aggregators. It changes only with the list of peers: at 300 hosts, sorting them
	// for each digest took more time than the rest of the exchange.
	zoneRanking struct {
		hosts            []Peer
		rank             int
		otherAggregators []Peer
	}
)

// comparePartVerdicts orders verdicts by strength, the strongest first.
func comparePartVerdicts(a, b PartVerdict) int {
	return cmp.Or(cmp.Compare(b.Strikes, a.Strikes), cmp.Compare(a.AgeUs, b.AgeUs), cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
}

// subtractLoads returns loads without a host's own share, so that the host does not count it twice.
func subtractLoads(loads, own Loads) Loads {
	ownByKey := make(map[Key]Load, len(own))
	for _, ld := range own {
		ownByKey[ld.Endpoint] = ld
	}
	out := make(Loads, 0, len(loads))
	for _, ld := range loads {
		ownLoad := ownByKey[ld.Endpoint]
		out = append(out, Load{
			Endpoint:      ld.Endpoint,
			Requests:      max(0, ld.Requests-ownLoad.Requests),
			Tokens:        max(0, ld.Tokens-ownLoad.Tokens),
			PrefillTokens: max(0, ld.PrefillTokens-ownLoad.PrefillTokens),
		})
	}
	return out
}

// newZoneRanking returns the ranking for the host self with the given peers.
func newZoneRanking(self Peer, peers []Peer) zoneRanking {
	zr := zoneRanking{hosts: rankZone(append([]Peer{self}, peers...), self.Zone)}
	zr.rank = slices.IndexFunc(zr.hosts, func(pe Peer) bool { return pe.Name == self.Name })
	seenZones := map[string]bool{self.Zone: true}
	for _, pe := range peers {
		if !seenZones[pe.Zone] {
			seenZones[pe.Zone] = true
			candidates := rankZone(peers, pe.Zone)
			zr.otherAggregators = append(zr.otherAggregators, candidates[:min(len(candidates), aggregatorCandidates)]...)
		}
	}
	return zr
}

// rankZone returns the hosts of a zone in the order in which they become its aggregator: by descending
// capacity, then by the hash of the name.
func rankZone(hosts []Peer, zone string) []Peer {
	var out []Peer
	for _, pe := range hosts {
		if pe.Zone == zone {
			out = append(out, pe)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if c := cmp.Compare(b.Capacity, a.Capacity); c != 0 {
			return c
		}
		return cmp.Compare(rendezvous.Hash(a.Name), rendezvous.Hash(b.Name))
	})
	return out
}

// IsZoneAggregator reports whether this host acts as the aggregator of its zone and is strong, so that it
// sends the zone the changes of the cache stores.
func (ex *Exchange) IsZoneAggregator() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return !ex.isFlat() && ex.isAggregator() && ex.isStrong()
}

// FollowsCacheStores reports whether this host follows cache stores itself, and watches the metadata store for others or
// itself: as the aggregator of its zone, or because the exchange is flat.
func (ex *Exchange) FollowsCacheStores() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.isFlat() || (ex.isAggregator() && ex.isStrong())
}

// isFlat reports whether there are few enough hosts for each to send its digests to all others.
func (ex *Exchange) isFlat() bool { return len(ex.peers)+1 <= maxFlatHosts }

// isStrong reports whether this host's capacity is close to the highest of its zone. A weak host on a
// saturated link receives nothing from its aggregator. If it took over all duties of a strong one, it
// would saturate the links of its zone as well.
func (ex *Exchange) isStrong() bool {
	return ex.self.Capacity >= strongCapacityShare*ex.zone.hosts[0].Capacity
}

// isAggregator reports whether this host acts as an aggregator, because it ranks first in its zone or
// has received no total from a host that ranks before it for longer than its timeout.
func (ex *Exchange) isAggregator() bool {
	rank := ex.zone.rank
	timeout := aggregatorTimeout + time.Duration(rank)*takeoverStagger
	if !ex.isStrong() {
		timeout = weakTakeoverTimeout + time.Duration(rank)*takeoverStagger
	}
	return rank == 0 || ex.ck.Now().Sub(ex.aggregatorSeenAt) > timeout
}

// nextInterval returns the time until the next digest.
func (ex *Exchange) nextInterval() time.Duration {
	if ex.isFlat() {
		return max(minDigestInterval, min(ex.interval, maxDigestInterval))
	}
	interval := max(ex.interval, time.Duration(len(ex.zone.hosts))*tieredIntervalPerHost)
	return max(minTieredInterval, min(interval, maxDigestInterval))
}

// adjustInterval sets the interval after a round of the given size so that digests use at most
// maxLinkShare of the link. A host that reports to an aggregator keeps the interval adopted from it.
func (ex *Exchange) adjustInterval(sentBytes int) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	mbps := ex.self.LinkMbps
	if mbps == 0 {
		mbps = defaultLinkMbps
	}
	interval := time.Duration(float64(sentBytes) / (maxLinkShare * mbps * bytesPerMbit) * float64(time.Second))
	if ex.isFlat() || ex.isAggregator() {
		ex.interval = interval
	}
}

// composeRound returns the digests of one round with their recipients. An aggregator also gets local,
// the total that its own host must receive.
func (ex *Exchange) composeRound(own Digest, drainZoneState func() Digest) (out []outgoing, local *Digest) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.isFlat() {
		own.Tier = TierDirect
		return []outgoing{{digest: own, peers: ex.peers}}, nil
	}
	now := ex.ck.Now()
	rank, zoneHosts := ex.zone.rank, ex.zone.hosts
	ex.sentLoads = own.Loads
	own.Tier = TierReport
	if !ex.isAggregator() {
		recipients := slices.Clone(zoneHosts[:min(rank, aggregatorCandidates)])
		for _, pe := range zoneHosts[len(recipients):rank] {
			if pe.Name == ex.aggregator {
				recipients = append(recipients, pe)
			}
		}
		return []outgoing{{digest: own, peers: recipients}}, nil
	}
	digests := []Digest{own}
	for name, re := range ex.reports {
		if now.Sub(re.receivedAt) > maxReportAge {
			delete(ex.reports, name)
			continue
		}
		digests = append(digests, re.digest)
	}
	zoneSum := mergeDigests(digests...)
	zoneSum.Host, zoneSum.Tier, zoneSum.Zone = ex.self.Name, TierZone, ex.self.Zone
	zoneSums := []Digest{zoneSum}
	for name, re := range ex.zoneDigests {
		if now.Sub(re.receivedAt) > maxReportAge {
			delete(ex.zoneDigests, name)
			continue
		}
		zoneSums = append(zoneSums, re.digest)
	}
	total := mergeDigests(zoneSums...)
	total.Host, total.Tier, total.IntervalMs = ex.self.Name, TierTotal, ex.nextInterval().Milliseconds()
	total.GateRevision, total.EndpointClockMs = own.GateRevision, own.EndpointClockMs
	if ex.isStrong() {
		state := drainZoneState()
		total.CacheStores, total.CacheChanges, total.Feed = state.CacheStores, state.CacheChanges, state.Feed
	}
	revisions, weights, services, engines := total.HostRevisions, total.Weights, total.ServiceTimes, total.EngineTimes
	ex.rounds++
	if ex.rounds%hostsPeriodRounds != 0 {
		total.HostRevisions = nil
	}
	if ex.rounds%statesPeriodRounds != 0 {
		total.Weights, total.CacheStores = nil, nil
		total.ServiceTimes, total.EngineTimes = nil, nil
	}
	totalRecipients := make([]Peer, 0, len(zoneHosts))
	for _, pe := range zoneHosts {
		if pe.Name != ex.self.Name {
			totalRecipients = append(totalRecipients, pe)
		}
	}
	// Hosts whose entry in the metadata store was lost keep reporting, so they still receive the totals.
	for name, re := range ex.reports {
		if !slices.ContainsFunc(zoneHosts, func(pe Peer) bool { return pe.Name == name }) {
			totalRecipients = append(totalRecipients, Peer{Name: name, Address: re.from})
		}
	}
	localTotal := total
	localTotal.HostRevisions, localTotal.Weights = revisions, weights
	localTotal.ServiceTimes, localTotal.EngineTimes = services, engines
	localTotal.Loads = subtractLoads(total.Loads, own.Loads)
	localTotal.CacheStores, localTotal.CacheChanges, localTotal.Feed, localTotal.GateRevision = nil, nil, nil, nil
	return []outgoing{{digest: zoneSum, peers: ex.zone.otherAggregators}, {digest: total, peers: totalRecipients}}, &localTotal
}

// accept stores a received report or zone sum for the next round, and returns any other digest for the
// local host. From a total it subtracts this host's own loads. A total from a host of this zone that
// ranks before this one also shows that the aggregator is alive, and sets the interval.
func (ex *Exchange) accept(dg Digest, from netip.AddrPort) (Digest, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	now := ex.ck.Now()
	switch dg.Tier {
	case TierReport:
		ex.keep(ex.reports, dg.Host, receivedDigest{digest: dg, from: from, receivedAt: now})
		return Digest{}, false
	case TierZone:
		ex.keep(ex.zoneDigests, dg.Zone, receivedDigest{digest: dg, receivedAt: now})
		return Digest{}, false
	case TierTotal:
		rank, zoneHosts := ex.zone.rank, ex.zone.hosts
		senderRank := slices.IndexFunc(zoneHosts, func(pe Peer) bool { return pe.Name == dg.Host })
		if senderRank >= 0 && senderRank < rank {
			ex.aggregatorSeenAt, ex.aggregator = now, dg.Host
			ex.interval = time.Duration(dg.IntervalMs) * time.Millisecond
		}
		dg.Loads = subtractLoads(dg.Loads, ex.sentLoads)
		return dg, true
	default:
		return dg, true
	}
}
