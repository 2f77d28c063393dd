package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// MethodGossip is the RPC method with which two hosts exchange updates of their tables.
	MethodGossip = "gossip"
	// MethodProbe is the RPC method that asks a third host for an indirect probe of an unresponsive
	// one.
	MethodProbe = "probe"

	gossipPeriod         = 500 * time.Millisecond
	exchangeTimeout      = 400 * time.Millisecond
	neighbourCount       = 4
	maxUpdatesPerMessage = 8
	indirectProbes       = 2
	exchangeAttempts     = 2
	reconnectPeriod      = 5 * time.Second
)

type (
	// Caller calls an RPC method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Options configures a Gossiper.
	Options struct {
		// Clock schedules the rounds.
		Clock clock.Clock
		// Caller sends calls to the other hosts.
		Caller Caller
		// Seeds returns addresses of possible other hosts, such as those on the platform's list.
		Seeds func() []string
		// Revision returns the revision of the configuration in force on this host.
		Revision func() uint64
		// OnNewerRevision is called with the address of a peer that has a higher revision. It must not block
		// for long.
		OnNewerRevision func(ctx context.Context, address string)
		// Rand picks the hosts to exchange with and adds jitter to the period; nil means a random seed.
		Rand *rand.Rand
	}

	// Gossiper disseminates member records, facts and the configuration revision. Each host
	// exchanges with a fixed number of neighbours, whatever the size of the fleet.
	Gossiper struct {
		opts        Options
		table       *Table
		lastHeardNs atomic.Int64

		neighbourCache atomic.Pointer[neighbourCache]

		mu            sync.Mutex
		lastReconnect time.Time
		// hashMismatches counts, per address, the consecutive exchanges after which the hashes of the
		// two tables differed.
		hashMismatches map[string]int
	}

	neighbourCache struct {
		view    *View
		members []Member
	}

	message struct {
		// From is the sender's name, incarnation and state. Members holds its full record if the
		// receiver may not know it.
		From Member `json:"f"`
		// Hash is the low 32 bits of the hash of the sender's table.
		Hash uint32 `json:"h"`
		// Revision is the revision of the configuration in force on the sender.
		Revision uint64   `json:"r"`
		Members  []Member `json:"m,omitempty"`
		Facts    []Fact   `json:"x,omitempty"`
		// BucketHashes, if present, requests the records of the buckets whose hashes differ in the
		// receiver's table.
		BucketHashes []uint32 `json:"b,omitempty"`
		// WantedBuckets lists the buckets whose records the responder requests in return.
		WantedBuckets []int `json:"w,omitempty"`
		// IsRepair reports that Members holds all records of the differing buckets.
		IsRepair bool `json:"u,omitempty"`
	}

	probeRequest struct {
		Address string `json:"address"`
	}

	probeResult struct {
		Reached bool `json:"reached"`
	}
)

// maxHashMismatches is the number of consecutive exchanges with differing table hashes after which
// the next exchange with that host repairs the difference.
const maxHashMismatches = 2

// NewGossiper returns a gossiper that keeps table up to date.
func NewGossiper(table *Table, opts Options) *Gossiper {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Gossiper{opts: opts, table: table, hashMismatches: make(map[string]int)}
}

// LastHeard returns when the last message of a peer arrived; the zero time means never.
func (gs *Gossiper) LastHeard() time.Time {
	ns := gs.lastHeardNs.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Run starts a round in each gossip period until ctx ends.
func (gs *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		gs.Round(ctx)
		select {
		case <-ctx.Done():
		case <-gs.opts.Clock.After(gs.jitteredPeriod()):
		}
	}
}

// Round exchanges with one neighbour. Once per reconnectPeriod, and in each round while no other host
// is known, it also exchanges with a dead host or an unknown seed, so that the two sides of a
// partition find each other after it heals.
func (gs *Gossiper) Round(ctx context.Context) {
	gs.table.Tick()
	if address, ok := gs.pickReconnectAddress(); ok {
		_ = gs.exchange(ctx, address)
	}
	nbs := gs.Neighbours()
	if len(nbs) == 0 {
		return
	}
	m := nbs[gs.intN(len(nbs))]
	// The second attempt uses a new connection: the open one may be half-open.
	for range exchangeAttempts {
		if gs.exchange(ctx, m.Address) == nil {
			return
		}
	}
	if ctx.Err() == nil && !gs.isReachableByOthers(ctx, m, nbs) {
		gs.table.MarkSuspect(m)
	}
}

// Announce sends a new fact to all neighbours concurrently and returns when they have responded or
// timed out. They forward it, so it reaches the whole fleet in a few hops.
func (gs *Gossiper) Announce(ctx context.Context, kind, key, value string) {
	f := Fact{ID: uuid.NewString(), Kind: kind, Key: key, Value: value}
	gs.table.Merge(nil, []Fact{f})
	gs.Flood(ctx)
}

// Flood exchanges with all neighbours concurrently.
func (gs *Gossiper) Flood(ctx context.Context) {
	var eg errgroup.Group
	for _, m := range gs.Neighbours() {
		eg.Go(func() error { return gs.exchange(ctx, m.Address) })
	}
	_ = eg.Wait()
}

// Neighbours returns the hosts that this one exchanges with. They stay the same until the set of
// live hosts changes, so that their connections are reused.
func (gs *Gossiper) Neighbours() []Member {
	v := gs.table.View()
	if nbs := gs.neighbourCache.Load(); nbs != nil && nbs.view == v {
		return nbs.members
	}
	byName := make(map[string]Member)
	var names []string
	for i := range v.nodes {
		if m := v.nodes[i].member; m.Name != v.self {
			byName[m.Name] = m
			names = append(names, m.Name)
		}
	}
	order := rendezvous.Order("neighbour/"+v.self, names)
	out := make([]Member, 0, neighbourCount)
	for _, name := range order[:min(neighbourCount, len(order))] {
		out = append(out, byName[name])
	}
	gs.neighbourCache.Store(&neighbourCache{view: v, members: out})
	return out
}

// HandleGossip handles MethodGossip, an exchange initiated by another host.
func (gs *Gossiper) HandleGossip(ctx context.Context, params json.RawMessage) (any, error) {
	var msg message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, err
	}
	gs.handleMessage(ctx, msg)
	reply := gs.newMessage(false)
	if msg.BucketHashes != nil {
		reply.WantedBuckets = gs.table.DifferingBuckets(msg.BucketHashes)
		reply.Members = append(reply.Members, gs.table.MembersInBuckets(reply.WantedBuckets)...)
		reply.IsRepair = true
	}
	if m, ok := gs.table.Get(msg.From.Name); ok {
		reply.addIfSuspectOrDead(m)
	}
	return reply, nil
}

// addIfSuspectOrDead adds the receiver's own record if this host considers it suspect or dead, so
// that it can refute.
func (msg *message) addIfSuspectOrDead(m Member) {
	if m.State == Suspect || m.State == Dead {
		msg.Members = append(msg.Members, m)
	}
}

// HandleProbe handles MethodProbe: it reports whether this host can reach another one.
func (gs *Gossiper) HandleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var req probeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	return probeResult{Reached: gs.exchange(ctx, req.Address) == nil}, nil
}

// exchange sends a message to the host at address and merges its response. If the two tables have
// differed for long enough, it also repairs the difference.
func (gs *Gossiper) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply message
	msg := gs.newMessage(gs.isRepairDue(address))
	if m, ok := gs.table.memberAt(address); ok {
		msg.addIfSuspectOrDead(m)
	}
	if err := gs.opts.Caller.Call(ctx, address, MethodGossip, msg, &reply); err != nil {
		return err
	}
	gs.handleMessage(ctx, reply)
	if len(reply.WantedBuckets) > 0 {
		return gs.sendBuckets(ctx, address, reply.WantedBuckets)
	}
	gs.countHashMismatch(address, reply.Hash)
	return nil
}

// sendBuckets sends all records of the buckets that the other host requested.
func (gs *Gossiper) sendBuckets(ctx context.Context, address string, buckets []int) error {
	msg := gs.newMessage(false)
	msg.Members = gs.table.MembersInBuckets(buckets)
	msg.IsRepair = true
	var reply message
	if err := gs.opts.Caller.Call(ctx, address, MethodGossip, msg, &reply); err != nil {
		return err
	}
	gs.handleMessage(ctx, reply)
	return nil
}

func (gs *Gossiper) newMessage(isRepair bool) message {
	msg := message{From: gs.table.Self(), Revision: gs.opts.Revision()}
	msg.Members, msg.Facts = gs.table.NextBroadcasts(maxUpdatesPerMessage)
	if isRepair {
		msg.BucketHashes = gs.table.BucketHashes()
		msg.Members = append(msg.Members, msg.From)
	}
	msg.From = Member{Name: msg.From.Name, Incarnation: msg.From.Incarnation, State: msg.From.State}
	msg.Hash = uint32(gs.table.Hash())
	return msg
}

func (gs *Gossiper) handleMessage(ctx context.Context, msg message) {
	gs.lastHeardNs.Store(gs.opts.Clock.Now().UnixNano())
	// From lacks the address and zone, so it is merged only if the sender's record is known.
	if m, ok := gs.table.Get(msg.From.Name); ok {
		m.Incarnation, m.State = msg.From.Incarnation, msg.From.State
		msg.Members = append(msg.Members, m)
	}
	merge := gs.table.Merge
	if msg.IsRepair {
		merge = gs.table.MergeRepair
	}
	isNew := merge(msg.Members, msg.Facts)
	if isNew && len(msg.Facts) > 0 {
		go gs.Flood(context.WithoutCancel(ctx))
	}
	if msg.Revision > gs.opts.Revision() && gs.opts.OnNewerRevision != nil {
		if m, ok := gs.table.Get(msg.From.Name); ok {
			gs.opts.OnNewerRevision(context.WithoutCancel(ctx), m.Address)
		}
	}
}

// countHashMismatch counts the consecutive exchanges with one host after which the hashes of the two
// tables differ.
func (gs *Gossiper) countHashMismatch(address string, hash uint32) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if hash == uint32(gs.table.Hash()) {
		delete(gs.hashMismatches, address)
		return
	}
	gs.hashMismatches[address]++
}

// isRepairDue reports whether the next exchange with the host at address is to repair the difference
// of the tables. If so, it resets the host's mismatch count. While no other host is known, a repair is
// always due.
func (gs *Gossiper) isRepairDue(address string) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.table.Len() == 1 {
		return true
	}
	if gs.hashMismatches[address] < maxHashMismatches {
		return false
	}
	delete(gs.hashMismatches, address)
	return true
}

// pickReconnectAddress returns the address of a random dead host or unknown seed, if an exchange with
// one is due.
func (gs *Gossiper) pickReconnectAddress() (string, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	now := gs.opts.Clock.Now()
	isAlone := gs.table.Len() == 1
	if !isAlone && now.Sub(gs.lastReconnect) < reconnectPeriod {
		return "", false
	}
	gs.lastReconnect = now
	known := make(map[string]bool)
	var candidates []string
	for _, m := range gs.table.Members() {
		known[m.Address] = true
		if m.State == Dead {
			candidates = append(candidates, m.Address)
		}
	}
	if gs.opts.Seeds != nil {
		for _, address := range gs.opts.Seeds() {
			if !known[address] {
				candidates = append(candidates, address)
			}
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.Sort(candidates)
	return candidates[gs.opts.Rand.IntN(len(candidates))], true
}

// isReachableByOthers asks some neighbours for indirect probes of a host that did not respond, and
// reports whether one of them reached it.
func (gs *Gossiper) isReachableByOthers(ctx context.Context, silent Member, nbs []Member) bool {
	asked := 0
	for _, m := range nbs {
		if m.Name == silent.Name || asked == indirectProbes {
			continue
		}
		asked++
		var reply probeResult
		err := gs.opts.Caller.Call(ctx, m.Address, MethodProbe, probeRequest{Address: silent.Address}, &reply)
		if err == nil && reply.Reached {
			return true
		}
	}
	return false
}

func (gs *Gossiper) jitteredPeriod() time.Duration {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gossipPeriod*3/4 + time.Duration(gs.opts.Rand.Int64N(int64(gossipPeriod/2)))
}

func (gs *Gossiper) intN(n int) int {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.opts.Rand.IntN(n)
}
