package cachedir

import "time"

// maxPendingChanges bounds the number of changes that wait to be sent to other hosts; further changes are
// dropped. A host that misses changes only prefills more itself.
const maxPendingChanges = 20000

type (
	// StoreChange is a change of the content of the store at an address, to be sent to other hosts.
	StoreChange struct {
		Address string
		Change
	}

	// State is the known state of a store besides its parts.
	State struct {
		Address string
		Epoch   uint64
		// Clock is the endpoints' clock in milliseconds.
		Clock int64
		// Age is the time since the store reported its state.
		Age time.Duration
	}
)

// SetCollectChanges sets whether changes are collected for other hosts.
func (di *Directory) SetCollectChanges(on bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.collectsChanges = on
	if !on {
		di.pendingChanges = nil
	}
}

// DrainChanges removes and returns at most limit collected changes, and returns the states of the stores that
// this host follows.
func (di *Directory) DrainChanges(limit int) ([]StoreChange, []State) {
	di.mu.Lock()
	defer di.mu.Unlock()
	n := min(limit, len(di.pendingChanges))
	out := di.pendingChanges[:n:n]
	di.pendingChanges = di.pendingChanges[n:]
	now := di.ck.Now()
	var states []State
	for address, so := range di.stores {
		if clock, ok := so.clockAt(now); ok && so.synced {
			states = append(states, State{Address: address, Epoch: so.epoch, Clock: clock, Age: now.Sub(so.clockReadAt)})
		}
	}
	return out, states
}

// ApplyState applies the state of a store that was sent by a host that follows the store. It returns true if
// the state of the store was unknown before, so that a listing is useful.
func (di *Directory) ApplyState(st State) (unknown bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[st.Address]
	if so == nil {
		return false
	}
	if so.epoch != st.Epoch {
		unknown = so.epoch == 0
		so.reset()
	}
	so.epoch, so.synced = st.Epoch, true
	// Time passes for the state while it is relayed, so that a store which may have restarted is not used.
	so.setClock(st.Clock-st.Age.Milliseconds(), di.ck.Now().Add(-st.Age))
	return unknown
}

// ApplyChange applies a change of a store that was sent by a host that follows the store.
func (di *Directory) ApplyChange(address string, ch Change) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil && so.synced {
		so.applyChange(ch)
	}
}

// AddListing adds the parts in the listing of a store that another host follows.
func (di *Directory) AddListing(address string, li Listing) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil || so.epoch != li.Epoch {
		return
	}
	for _, ch := range li.Parts {
		ch.Added = true
		so.applyChange(ch)
	}
}

// collectChange keeps a change to be sent to other hosts, if that is enabled.
func (di *Directory) collectChange(address string, ch Change) {
	if di.collectsChanges && len(di.pendingChanges) < maxPendingChanges {
		di.pendingChanges = append(di.pendingChanges, StoreChange{Address: address, Change: ch})
	}
}
