package cachedir

import "time"

// maxPeerTransferAge is the time without a report after which the transfers of a peer count as ended;
// peers report many times a second.
const maxPeerTransferAge = time.Second

type (
	// transfer is a fetch started by this host. It is assumed to proceed at a constant rate from startedAt to
	// endsAt.
	transfer struct {
		tokens            int
		startedAt, endsAt time.Time
	}

	// peerTransfers is the total of the tokens that a peer is still fetching from a store.
	peerTransfers struct {
		tokens     int
		reportedAt time.Time
	}
)

// BeginTransfer records the start of a fetch of tokens from a store, with its expected duration d.
func (di *Directory) BeginTransfer(address string, tokens int, d time.Duration) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		now := di.ck.Now()
		so.ownTransfers = append(so.ownTransfers, transfer{tokens: tokens, startedAt: now, endsAt: now.Add(d)})
	}
}

// OwnTransfers returns the number of tokens that this host is still fetching from each store, by address.
func (di *Directory) OwnTransfers() map[string]int {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	out := make(map[string]int)
	for address, so := range di.stores {
		if tokens := so.ownTokens(now); tokens > 0 {
			out[address] = tokens
		}
	}
	return out
}

// SetPeerTransfers records the number of tokens that a peer is still fetching from each store.
func (di *Directory) SetPeerTransfers(peer string, tokensOf func(address string) int) {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	for address, so := range di.stores {
		tokens := tokensOf(address)
		if tokens == 0 {
			delete(so.transfersByPeer, peer)
			continue
		}
		if so.transfersByPeer == nil {
			so.transfersByPeer = make(map[string]peerTransfers)
		}
		so.transfersByPeer[peer] = peerTransfers{tokens: tokens, reportedAt: now}
	}
}

// ownTokens returns the estimated number of tokens that this host still has to fetch from the store, and
// forgets fetches that should have ended.
func (so *store) ownTokens(now time.Time) int {
	sum := 0
	active := so.ownTransfers[:0]
	for _, tr := range so.ownTransfers {
		if tr.endsAt.After(now) {
			active = append(active, tr)
			sum += int(float64(tr.tokens) * float64(tr.endsAt.Sub(now)) / float64(tr.endsAt.Sub(tr.startedAt)))
		}
	}
	so.ownTransfers = active
	return sum
}

// queuedTokens returns the number of tokens that all hosts still have to fetch over the store's link.
func (so *store) queuedTokens(now time.Time) int {
	sum := so.ownTokens(now)
	for _, pts := range so.transfersByPeer {
		if now.Sub(pts.reportedAt) <= maxPeerTransferAge {
			sum += pts.tokens
		}
	}
	return sum
}
