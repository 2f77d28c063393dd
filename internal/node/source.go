package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/cachedir"
	"github.com/bergamotway/bergamotway/internal/fleet"
	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/quarantine"
)

const (
	// newsMost bounds the changes of cache stores in one digest.
	newsMost = 300
	// roleEvery is the pause between looks at whether this host follows the cache stores.
	roleEvery = 250 * time.Millisecond
	// listSpread is over which time hosts that start list the cache stores.
	listSpread = 1500 * time.Millisecond
)

// source is what the exchange asks of a host.
type source Node

var _ peering.Source = (*source)(nil)

// Compose returns what this host knows itself.
func (so *source) Compose() peering.Digest {
	no := (*Node)(so)
	dg := peering.Digest{Host: no.st.Name, Seen: no.state.seen.Load(), Down: no.fleet.Down()}
	for id, ld := range no.fleet.OwnLoads() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(id), Requests: ld.Requests, Tokens: ld.Tokens, Unread: ld.Unread})
	}
	for address, tokens := range no.cache.Transfers() {
		dg.Loads = append(dg.Loads, peering.Load{Endpoint: peering.KeyOf(address), Tokens: tokens})
	}
	for _, id := range no.upgrades.Loading() {
		dg.Weights = append(dg.Weights, peering.Weights{Endpoint: id, Loading: true})
	}
	for id, models := range no.fleet.Taught(taughtFor) {
		for model, version := range models {
			dg.Weights = append(dg.Weights, peering.Weights{Endpoint: id, Model: model, Version: version})
		}
	}
	// The clock is asked first: gates that change meanwhile make the word worth less, not more.
	if clock := no.cache.Clock(); clock > 0 && no.isRegistered() {
		dg.Clock, dg.Gates = clock, no.reclaim.revision()+1
	}
	now := no.ck.Now()
	crashes, cleared := no.board.News()
	for _, cr := range crashes {
		teller := cr.Teller
		if teller == "" {
			teller = no.st.Name
		}
		dg.Crashes = append(dg.Crashes, peering.Crash{
			Fingerprint: string(cr.Fingerprint), Crash: cr.ID, Host: teller,
			AgeUs: now.Sub(cr.At).Microseconds(), RanUs: cr.At.Sub(cr.Began).Microseconds(),
		})
	}
	for _, fp := range cleared {
		dg.Cleared = append(dg.Cleared, string(fp))
	}
	return dg
}

// News returns what is new of the cache stores.
func (so *source) News() peering.Digest {
	no := (*Node)(so)
	var dg peering.Digest
	news, states := no.cache.News(newsMost)
	for _, st := range states {
		dg.Stores = append(dg.Stores, peering.Store(st))
	}
	type group struct{ address, salt string }
	groups := make(map[group]*peering.Parts)
	for _, ne := range news {
		key := group{ne.Address, ne.Salt}
		pa := groups[key]
		if pa == nil {
			pa = &peering.Parts{Address: ne.Address, Salt: ne.Salt, Added: make(map[string]int)}
			groups[key] = pa
		}
		if ne.Added {
			pa.Added[ne.ID] = ne.Tokens
		} else {
			delete(pa.Added, ne.ID)
			pa.Gone = append(pa.Gone, ne.ID)
		}
	}
	for _, pa := range groups {
		dg.Cache = append(dg.Cache, *pa)
	}
	return dg
}

// Receive takes what peers know.
func (so *source) Receive(dg peering.Digest) {
	no := (*Node)(so)
	loads := make(map[peering.Key]fleet.Load, len(dg.Loads))
	for _, ld := range dg.Loads {
		loads[ld.Endpoint] = fleet.Load{Requests: ld.Requests, Tokens: ld.Tokens, Unread: ld.Unread}
	}
	from := dg.Host
	if dg.Tier != peering.Direct {
		from = "total"
	}
	no.fleet.PeerLoads(from, func(id string) (fleet.Load, bool) {
		ld, ok := loads[peering.KeyOf(id)]
		return ld, ok
	})
	no.cache.PeerTransfers(from, func(address string) int { return loads[peering.KeyOf(address)].Tokens })
	no.fleet.PeerDown(dg.Down)
	no.mu.Lock()
	if dg.Tier == peering.Direct {
		no.seen[dg.Host] = dg.Seen
	}
	for name, seen := range dg.Hosts {
		no.seen[name] = seen
	}
	no.mu.Unlock()
	for _, we := range dg.Weights {
		if we.Loading {
			no.fleet.Loading(we.Endpoint, no.ck.Now().Add(loadingFor))
			continue
		}
		no.fleet.Newer(we.Endpoint, we.Model, we.Version)
	}
	now := no.ck.Now()
	for _, cr := range dg.Crashes {
		if cr.Host == no.st.Name {
			continue
		}
		at := now.Add(-time.Duration(cr.AgeUs) * time.Microsecond)
		no.board.Record(quarantine.Report{
			Fingerprint: quarantine.Fingerprint(cr.Fingerprint), ID: cr.Crash, Teller: cr.Host,
			Began: at.Add(-time.Duration(cr.RanUs) * time.Microsecond), At: at,
		})
	}
	for _, fp := range dg.Cleared {
		no.board.Forget(quarantine.Fingerprint(fp))
	}
	if dg.Gates > 0 {
		no.reclaim.extend(dg.Gates-1, dg.Clock)
	}
	if no.exchange.Follows() {
		return
	}
	for _, st := range dg.Stores {
		if no.cache.Hear(cachedir.State(st)) {
			go no.list(st.Address)
		}
	}
	for _, pa := range dg.Cache {
		for _, id := range pa.Gone {
			no.cache.Learn(pa.Address, cachedir.Change{Part: cachedir.Part{Salt: pa.Salt, ID: id}})
		}
		for id, tokens := range pa.Added {
			no.cache.Learn(pa.Address, cachedir.Change{Part: cachedir.Part{Salt: pa.Salt, ID: id}, Added: true, Tokens: tokens})
		}
	}
}

// list asks a cache store that another host follows what it holds, once.
func (no *Node) list(address string) {
	<-no.ck.After(rand.N(listSpread))
	li, err := no.wo.Caches.List(context.Background(), address)
	if err != nil {
		// Its parts become known as they are saved anew.
		no.log.WithFields(logrus.Fields{"address": address, "cause": err.Error()}).Warn("Cache store did not list its parts.")
		return
	}
	no.cache.Add(address, li)
}

// followCaches follows the cache stores while this host should, until ctx ends.
func (no *Node) followCaches(ctx context.Context) {
	following := make(map[string]context.CancelFunc)
	for {
		wanted := make(map[string]bool)
		no.cache.Tell(no.exchange.Leads())
		if ct := no.gateway.Catalog(); ct != nil && no.exchange.Follows() {
			for _, cs := range ct.Stores() {
				wanted[cs.Address] = true
			}
		}
		for address := range wanted {
			if following[address] == nil {
				one, cancel := context.WithCancel(ctx)
				following[address] = cancel
				go no.cache.Follow(one, no.wo.Caches, address, func(err error) { no.reportCache(address, err) })
			}
		}
		for address, cancel := range following {
			if !wanted[address] {
				cancel()
				delete(following, address)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-no.ck.After(roleEvery):
		}
	}
}

func (no *Node) reportCache(address string, err error) {
	lg := no.log.WithFields(logrus.Fields{"dependency": "cache-store", "address": address})
	if err != nil {
		lg.WithField("cause", err.Error()).Warn("Dependency is lost.")
		return
	}
	lg.Info("Dependency is back.")
}
