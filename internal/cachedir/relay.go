package cachedir

// newsKept bounds the changes that wait to be told; a host that misses some only reads again.
const newsKept = 20000

type (
	// News is a change of what a store holds, to be told to other hosts.
	News struct {
		Address string
		Change
	}

	// State is what is known of a store besides its parts.
	State struct {
		Address string
		Epoch   uint64
		Clock   int64
	}
)

// Tell sets whether changes are collected for News.
func (di *Directory) Tell(on bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.tells = on
	if !on {
		di.news = nil
	}
}

// News returns at most most changes that were not returned before, and the states of the stores that
// this host follows.
func (di *Directory) News(most int) ([]News, []State) {
	di.mu.Lock()
	defer di.mu.Unlock()
	n := min(most, len(di.news))
	out := di.news[:n:n]
	di.news = di.news[n:]
	now := di.ck.Now()
	var states []State
	for address, so := range di.stores {
		if clock, ok := so.clockAt(now); ok && so.synced {
			states = append(states, State{Address: address, Epoch: so.epoch, Clock: clock})
		}
	}
	return out, states
}

// Hear takes the state of a store from another host that follows it. It reports true if the store
// was not known so far, so that a listing would help.
func (di *Directory) Hear(st State) (unknown bool) {
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
	so.hear(st.Clock, di.ck.Now())
	return unknown
}

// Learn takes changes of a store from another host that follows it.
func (di *Directory) Learn(address string, ch Change) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if so := di.stores[address]; so != nil && so.synced {
		so.change(ch)
	}
}

// Add takes the listing of a store that another host follows.
func (di *Directory) Add(address string, li Listing) {
	di.mu.Lock()
	defer di.mu.Unlock()
	so := di.stores[address]
	if so == nil || so.epoch != li.Epoch {
		return
	}
	for _, ch := range li.Held {
		ch.Added = true
		so.change(ch)
	}
}

func (di *Directory) tell(address string, ch Change) {
	if di.tells && len(di.news) < newsKept {
		di.news = append(di.news, News{Address: address, Change: ch})
	}
}
