package cachedir

import "time"

// transfersAge is after how long without news the transfers of a peer count as ended; peers report
// many times a second.
const transfersAge = time.Second

type (
	// transfer is one fetch that this host has asked for, which is taken to go evenly from a time to
	// another.
	transfer struct {
		tokens       int
		began, until time.Time
	}

	// peerTransfers is what a peer has under way from a store.
	peerTransfers struct {
		tokens int
		at     time.Time
	}
)

// Begin counts a fetch of tokens from a store, which should last for d.
func (di *Directory) Begin(address string, tokens int, d time.Duration) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil {
		now := di.ck.Now()
		so.own = append(so.own, transfer{tokens: tokens, began: now, until: now.Add(d)})
	}
}

// Transfers returns how many tokens this host still has to get, by the address of the store.
func (di *Directory) Transfers() map[string]int {
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

// PeerTransfers records how many tokens a peer still has to get from each store.
func (di *Directory) PeerTransfers(peer string, of func(address string) int) {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	for address, so := range di.stores {
		tokens := of(address)
		if tokens == 0 {
			delete(so.peers, peer)
			continue
		}
		if so.peers == nil {
			so.peers = make(map[string]peerTransfers)
		}
		so.peers[peer] = peerTransfers{tokens: tokens, at: now}
	}
}

func (so *store) ownTokens(now time.Time) int {
	sum := 0
	kept := so.own[:0]
	for _, tr := range so.own {
		if tr.until.After(now) {
			kept = append(kept, tr)
			sum += int(float64(tr.tokens) * float64(tr.until.Sub(now)) / float64(tr.until.Sub(tr.began)))
		}
	}
	so.own = kept
	return sum
}

// queued returns the tokens that are still to pass the store's link, for all hosts.
func (so *store) queued(now time.Time) int {
	sum := so.ownTokens(now)
	for _, pt := range so.peers {
		if now.Sub(pt.at) <= transfersAge {
			sum += pt.tokens
		}
	}
	return sum
}
