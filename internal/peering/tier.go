package peering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// flatMost is up to how many hosts each tells all others. Beyond that, the hosts of a zone tell
	// its lead, leads tell each other, and each lead tells its zone the sum, so that what a host
	// sends and receives does not grow with the number of hosts.
	flatMost = 12
	// leadSilence is how long the lead of a zone may be silent before the next host takes over, and
	// leadStep how much longer each host further behind waits.
	leadSilence = 700 * time.Millisecond
	leadStep    = 300 * time.Millisecond
	// strongShare is the share of the strongest host's weight from which a host leads like it, and
	// weakSilence how long a zone does without a lead before a weaker host leads, more slowly.
	strongShare = 0.5
	weakSilence = 4 * time.Second
	// hostsEach and statesEach are in how many digests of a lead the hosts that it sums up, and the
	// states of engines and cache stores, are told once.
	hostsEach  = 20
	statesEach = 4
	// leadsTold is how many hosts of each zone are told, in case the first does not lead.
	leadsTold = 2
	// reportAge is after how long a report counts no more.
	reportAge = 1500 * time.Millisecond
	// crashesMost bounds the crashes in a digest that sums up others, to about 10 KB.
	crashesMost = 128
)

// Tier says how a digest travels.
type Tier int

const (
	// Direct digests go from each host to all others.
	Direct Tier = iota
	// Report digests go from a host to the lead of its zone.
	Report
	// Zone digests go from lead to lead, and sum up a zone.
	Zone
	// Total digests go from a lead to the hosts of its zone, and sum up all.
	Total
)

type received struct {
	digest Digest
	from   netip.AddrPort
	at     time.Time
}

// merge sums up digests.
func merge(list ...Digest) Digest {
	var out Digest
	loads := make(map[Key]Load)
	weights := make(map[Weights]bool)
	crashes := make(map[string]Crash)
	cleared := make(map[string]bool)
	out.Hosts = make(map[string]uint64)
	out.Down = make(map[string]int)
	for _, dg := range list {
		for _, ld := range dg.Loads {
			sum := loads[ld.Endpoint]
			sum.Endpoint = ld.Endpoint
			sum.Requests += ld.Requests
			sum.Tokens += ld.Tokens
			sum.Unread += ld.Unread
			loads[ld.Endpoint] = sum
		}
		for _, we := range dg.Weights {
			weights[we] = true
		}
		for _, cr := range dg.Crashes {
			crashes[cr.Fingerprint+cr.Crash] = cr
		}
		for _, fp := range dg.Cleared {
			cleared[fp] = true
		}
		for id, count := range dg.Down {
			out.Down[id] += count
		}
		for name, seen := range dg.Hosts {
			out.Hosts[name] = max(out.Hosts[name], seen)
		}
		if dg.Tier == Direct || dg.Tier == Report {
			out.Hosts[dg.Host] = dg.Seen
		}
	}
	for _, ld := range loads {
		out.Loads = append(out.Loads, ld)
	}
	for we := range weights {
		out.Weights = append(out.Weights, we)
	}
	for _, cr := range crashes {
		out.Crashes = append(out.Crashes, cr)
	}
	// The newest crashes are told first; those left out are told by their own hosts again.
	slices.SortFunc(out.Crashes, func(a, b Crash) int { return cmp.Compare(a.AgeUs, b.AgeUs) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), crashesMost)]
	for fp := range cleared {
		out.Cleared = append(out.Cleared, fp)
	}
	return out
}

// subtract returns loads without a host's own part of them.
func subtract(loads, own Loads) Loads {
	mine := make(map[Key]Load, len(own))
	for _, ld := range own {
		mine[ld.Endpoint] = ld
	}
	out := make(Loads, 0, len(loads))
	for _, ld := range loads {
		me := mine[ld.Endpoint]
		out = append(out, Load{
			Endpoint: ld.Endpoint,
			Requests: max(0, ld.Requests-me.Requests),
			Tokens:   max(0, ld.Tokens-me.Tokens),
			Unread:   max(0, ld.Unread-me.Unread),
		})
	}
	return out
}

// ranked returns the hosts of a zone, the one that should lead first: strong hosts go before others.
func ranked(hosts []Peer, zone string) []Peer {
	var out []Peer
	for _, pe := range hosts {
		if pe.Zone == zone {
			out = append(out, pe)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if c := cmp.Compare(b.Weight, a.Weight); c != 0 {
			return c
		}
		return cmp.Compare(rendezvous.Hash(a.Name), rendezvous.Hash(b.Name))
	})
	return out
}

// Leads reports whether this host leads its zone, and so tells it what it knows of cache stores.
func (ex *Exchange) Leads() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return !ex.isFlat() && ex.isLead() && ex.isStrong()
}

// Follows reports whether this host follows cache stores itself: as the lead of its zone, or because
// there are few hosts.
func (ex *Exchange) Follows() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.isFlat() || (ex.isLead() && ex.isStrong())
}

func (ex *Exchange) isFlat() bool { return len(ex.peers)+1 <= flatMost }

func (ex *Exchange) rank() (rank int, zone []Peer) {
	zone = ranked(append([]Peer{ex.self}, ex.peers...), ex.self.Zone)
	return slices.IndexFunc(zone, func(pe Peer) bool { return pe.Name == ex.self.Name }), zone
}

// isStrong reports whether this host is about as strong as the strongest of its zone. A weak host
// whose link is choked hears nothing of its lead; if it led as well as the strong ones do, its zone
// would be choked with it.
func (ex *Exchange) isStrong() bool {
	_, zone := ex.rank()
	return ex.self.Weight >= strongShare*zone[0].Weight
}

func (ex *Exchange) isLead() bool {
	rank, _ := ex.rank()
	silence := leadSilence + time.Duration(rank)*leadStep
	if !ex.isStrong() {
		silence = weakSilence + time.Duration(rank)*leadStep
	}
	return rank == 0 || ex.ck.Now().Sub(ex.leadHeard) > silence
}

// pace returns the pause before the next digest.
func (ex *Exchange) pace() time.Duration {
	if ex.isFlat() {
		return max(every, min(ex.pause, everyMost))
	}
	return max(everyTier, min(ex.pause, everyMost))
}

// spent sets the pause after a round of digests so that they take no more than their part of the
// link. Hosts that report keep the pause of their lead.
func (ex *Exchange) spent(bytes int) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	mbps := ex.self.LinkMbps
	if mbps == 0 {
		mbps = defaultLinkMbps
	}
	pause := time.Duration(float64(bytes) / (linkShare * mbps * bytesPerMbit) * float64(time.Second))
	if ex.isFlat() || ex.isLead() {
		ex.pause = pause
	}
}

// targets returns what is sent in one round: the digest for each set of peers.
func (ex *Exchange) targets(own Digest, news func() Digest) (out []outgoing, local *Digest) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.isFlat() {
		own.Tier = Direct
		return []outgoing{{digest: own, peers: ex.peers}}, nil
	}
	now := ex.ck.Now()
	rank, zone := ex.rank()
	ex.sent = own.Loads
	own.Tier = Report
	if !ex.isLead() {
		told := slices.Clone(zone[:min(rank, leadsTold)])
		for _, pe := range zone[len(told):rank] {
			if pe.Name == ex.lead {
				told = append(told, pe)
			}
		}
		return []outgoing{{digest: own, peers: told}}, nil
	}
	sums := []Digest{own}
	for name, re := range ex.reports {
		if now.Sub(re.at) > reportAge {
			delete(ex.reports, name)
			continue
		}
		sums = append(sums, re.digest)
	}
	mine := merge(sums...)
	mine.Host, mine.Tier, mine.Zone = ex.self.Name, Zone, ex.self.Zone
	var others []Peer
	zones := make(map[string]bool)
	for _, pe := range ex.peers {
		if pe.Zone != ex.self.Zone && !zones[pe.Zone] {
			zones[pe.Zone] = true
			far := ranked(ex.peers, pe.Zone)
			others = append(others, far[:min(len(far), leadsTold)]...)
		}
	}
	all := []Digest{mine}
	for name, re := range ex.zones {
		if now.Sub(re.at) > reportAge {
			delete(ex.zones, name)
			continue
		}
		all = append(all, re.digest)
	}
	total := merge(all...)
	total.Host, total.Tier, total.PauseMs = ex.self.Name, Total, ex.pace().Milliseconds()
	total.Gates, total.Clock = own.Gates, own.Clock
	if ex.isStrong() {
		added := news()
		total.Stores, total.Cache = added.Stores, added.Cache
	}
	known, weights := total.Hosts, total.Weights
	ex.rounds++
	if ex.rounds%hostsEach != 0 {
		total.Hosts = nil
	}
	if ex.rounds%statesEach != 0 {
		total.Weights, total.Stores = nil, nil
	}
	members := make([]Peer, 0, len(zone))
	for _, pe := range zone {
		if pe.Name != ex.self.Name {
			members = append(members, pe)
		}
	}
	// Hosts that the metadata store has lost go on reporting, and are told as before.
	for name, re := range ex.reports {
		if !slices.ContainsFunc(zone, func(pe Peer) bool { return pe.Name == name }) {
			members = append(members, Peer{Name: name, Address: re.from})
		}
	}
	at := total
	at.Hosts, at.Weights = known, weights
	at.Loads = subtract(total.Loads, own.Loads)
	at.Stores, at.Cache, at.Gates = nil, nil, 0
	return []outgoing{{digest: mine, peers: others}, {digest: total, peers: members}}, &at
}

// take sorts in what has arrived. It returns what the host should know, if anything.
func (ex *Exchange) take(dg Digest, from netip.AddrPort) (Digest, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	now := ex.ck.Now()
	switch dg.Tier {
	case Report:
		ex.reports[dg.Host] = received{digest: dg, from: from, at: now}
		return Digest{}, false
	case Zone:
		ex.zones[dg.Zone] = received{digest: dg, at: now}
		return Digest{}, false
	case Total:
		rank, zone := ex.rank()
		at := slices.IndexFunc(zone, func(pe Peer) bool { return pe.Name == dg.Host })
		if at >= 0 && at < rank {
			ex.leadHeard, ex.lead = now, dg.Host
			ex.pause = time.Duration(dg.PauseMs) * time.Millisecond
		}
		dg.Loads = subtract(dg.Loads, ex.sent)
		return dg, true
	default:
		return dg, true
	}
}
