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
	// MethodGossip is the method by which two hosts exchange what they know.
	MethodGossip = "gossip"
	// MethodProbe asks a third host whether it can reach a silent one.
	MethodProbe = "probe"

	gossipPeriod    = 500 * time.Millisecond
	exchangeTimeout = 400 * time.Millisecond
	neighbourCount  = 4
	updatesPerRound = 8
	indirectProbes  = 2
	exchangeTries   = 2
	strangerPeriod  = 5 * time.Second
)

type (
	// Caller calls a method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Options configures a Gossiper.
	Options struct {
		// Clock is used for rounds and time limits.
		Clock clock.Clock
		// Caller reaches the other hosts.
		Caller Caller
		// Seeds returns addresses at which other hosts may be found, such as the platform's list.
		Seeds func() []string
		// Revision returns the revision of the configuration in force here.
		Revision func() uint64
		// Newer is called when a peer has a higher revision. It must not block for long.
		Newer func(ctx context.Context, address string)
		// Rand chooses partners; nil means a random seed.
		Rand *rand.Rand
	}

	// Gossiper spreads records, facts and the revision of the configuration between hosts. A host
	// talks to a bounded number of neighbours, however large the fleet is.
	Gossiper struct {
		opts  Options
		table *Table
		heard atomic.Int64

		neighbours atomic.Pointer[neighbours]

		mu       sync.Mutex
		stranger time.Time
		// unequal counts, for each address, the exchanges in a row that left the tables unequal.
		unequal map[string]int
	}

	neighbours struct {
		view    *View
		members []Member
	}

	message struct {
		// From is the sender: its name and incarnation; the rest of its record is in Members when
		// the receiver may not know it.
		From     Member   `json:"f"`
		Hash     uint32   `json:"h"`
		Revision uint64   `json:"r"`
		Members  []Member `json:"m,omitempty"`
		Facts    []Fact   `json:"x,omitempty"`
		// Buckets, if present, asks for the records in which the two tables differ.
		Buckets []uint32 `json:"b,omitempty"`
		// Want names the buckets whose records the answering host lacks in part.
		Want []int `json:"w,omitempty"`
		// IsRepair says that Members are records in which the two tables differ.
		IsRepair bool `json:"u,omitempty"`
	}

	probeRequest struct {
		Address string `json:"address"`
	}

	probeReply struct {
		Reached bool `json:"reached"`
	}
)

// unequalRounds is how many exchanges in a row with one host may leave the two tables unequal
// before the records in which they differ are sent.
const unequalRounds = 2

// NewGossiper returns a gossiper over table.
func NewGossiper(table *Table, opts Options) *Gossiper {
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Gossiper{opts: opts, table: table, unequal: make(map[string]int)}
}

// LastHeard returns when a peer was last heard; the zero time means never.
func (gs *Gossiper) LastHeard() time.Time {
	ns := gs.heard.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Run exchanges with a neighbour each period until ctx ends.
func (gs *Gossiper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		gs.Round(ctx)
		select {
		case <-ctx.Done():
		case <-gs.opts.Clock.After(gs.jitteredPeriod()):
		}
	}
}

// Round exchanges with one neighbour, and seldom with a host that counts as dead or is unknown,
// so that the halves of a healed partition find each other.
func (gs *Gossiper) Round(ctx context.Context) {
	gs.table.Tick()
	if address, ok := gs.pickStranger(); ok {
		_ = gs.exchange(ctx, address)
	}
	nbs := gs.Neighbours()
	if len(nbs) == 0 {
		return
	}
	m := nbs[gs.intN(len(nbs))]
	// The second try is on a new connection: an open one may be silent for good.
	for range exchangeTries {
		if gs.exchange(ctx, m.Address) == nil {
			return
		}
	}
	if ctx.Err() == nil && !gs.reachedByOthers(ctx, m, nbs) {
		gs.table.Suspect(m)
	}
}

// Announce sends a fact to every neighbour at once and returns when they have answered or the
// time limit has passed. They send it on, so it crosses the fleet in a few hops.
func (gs *Gossiper) Announce(ctx context.Context, kind, key, value string) {
	f := Fact{ID: uuid.NewString(), Kind: kind, Key: key, Value: value}
	gs.table.Merge(nil, []Fact{f})
	gs.Flood(ctx)
}

// Flood exchanges with every neighbour at once.
func (gs *Gossiper) Flood(ctx context.Context) {
	var eg errgroup.Group
	for _, m := range gs.Neighbours() {
		eg.Go(func() error { return gs.exchange(ctx, m.Address) })
	}
	_ = eg.Wait()
}

// Neighbours returns the hosts that this one exchanges with: a fixed few, the same until the
// fleet changes, so that connections stay open.
func (gs *Gossiper) Neighbours() []Member {
	v := gs.table.View()
	if nbs := gs.neighbours.Load(); nbs != nil && nbs.view == v {
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
	gs.neighbours.Store(&neighbours{view: v, members: out})
	return out
}

// HandleGossip answers an exchange that another host began.
func (gs *Gossiper) HandleGossip(ctx context.Context, params json.RawMessage) (any, error) {
	var msg message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, err
	}
	gs.take(ctx, msg)
	reply := gs.compose(false)
	if msg.Buckets != nil {
		reply.Want = gs.table.Differing(msg.Buckets)
		reply.Members = append(reply.Members, gs.table.InBuckets(reply.Want)...)
		reply.IsRepair = true
	}
	if m, ok := gs.table.Get(msg.From.Name); ok {
		reply.accuse(m)
	}
	return reply, nil
}

// accuse tells a host that counts as suspect or dead here, so that it can refute.
func (msg *message) accuse(m Member) {
	if m.State == Suspect || m.State == Dead {
		msg.Members = append(msg.Members, m)
	}
}

// HandleProbe reports whether this host can reach another one.
func (gs *Gossiper) HandleProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var req probeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, err
	}
	return probeReply{Reached: gs.exchange(ctx, req.Address) == nil}, nil
}

func (gs *Gossiper) exchange(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply message
	msg := gs.compose(gs.isRepairDue(address))
	if m, ok := gs.table.at(address); ok {
		msg.accuse(m)
	}
	if err := gs.opts.Caller.Call(ctx, address, MethodGossip, msg, &reply); err != nil {
		return err
	}
	gs.take(ctx, reply)
	if len(reply.Want) > 0 {
		return gs.repair(ctx, address, reply.Want)
	}
	gs.compare(address, reply.Hash)
	return nil
}

// repair sends the records of the buckets in which the other host's table differs.
func (gs *Gossiper) repair(ctx context.Context, address string, buckets []int) error {
	msg := gs.compose(false)
	msg.Members = gs.table.InBuckets(buckets)
	msg.IsRepair = true
	var reply message
	if err := gs.opts.Caller.Call(ctx, address, MethodGossip, msg, &reply); err != nil {
		return err
	}
	gs.take(ctx, reply)
	return nil
}

func (gs *Gossiper) compose(isRepair bool) message {
	msg := message{From: gs.table.Self(), Revision: gs.opts.Revision()}
	msg.Members, msg.Facts = gs.table.Pending(updatesPerRound)
	if isRepair {
		msg.Buckets = gs.table.Buckets()
		msg.Members = append(msg.Members, msg.From)
	}
	msg.From = Member{Name: msg.From.Name, Incarnation: msg.From.Incarnation, State: msg.From.State}
	msg.Hash = uint32(gs.table.Hash())
	return msg
}

func (gs *Gossiper) take(ctx context.Context, msg message) {
	gs.heard.Store(gs.opts.Clock.Now().UnixNano())
	// A sender in short form counts only if its record is known.
	if m, ok := gs.table.Get(msg.From.Name); ok {
		m.Incarnation, m.State = msg.From.Incarnation, msg.From.State
		msg.Members = append(msg.Members, m)
	}
	merge := gs.table.Merge
	if msg.IsRepair {
		merge = gs.table.MergeAll
	}
	isNew := merge(msg.Members, msg.Facts)
	if isNew && len(msg.Facts) > 0 {
		go gs.Flood(context.WithoutCancel(ctx))
	}
	if msg.Revision > gs.opts.Revision() && gs.opts.Newer != nil {
		if m, ok := gs.table.Get(msg.From.Name); ok {
			gs.opts.Newer(context.WithoutCancel(ctx), m.Address)
		}
	}
}

// compare counts the exchanges in a row with one host that left the two tables unequal.
func (gs *Gossiper) compare(address string, hash uint32) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if hash == uint32(gs.table.Hash()) {
		delete(gs.unequal, address)
		return
	}
	gs.unequal[address]++
}

func (gs *Gossiper) isRepairDue(address string) bool {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if gs.table.Len() == 1 {
		return true
	}
	if gs.unequal[address] < unequalRounds {
		return false
	}
	delete(gs.unequal, address)
	return true
}

func (gs *Gossiper) pickStranger() (string, bool) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	now := gs.opts.Clock.Now()
	isAlone := gs.table.Len() == 1
	if !isAlone && now.Sub(gs.stranger) < strangerPeriod {
		return "", false
	}
	gs.stranger = now
	known := make(map[string]bool)
	var strangers []string
	for _, m := range gs.table.Members() {
		known[m.Address] = true
		if m.State == Dead {
			strangers = append(strangers, m.Address)
		}
	}
	if gs.opts.Seeds != nil {
		for _, address := range gs.opts.Seeds() {
			if !known[address] {
				strangers = append(strangers, address)
			}
		}
	}
	if len(strangers) == 0 {
		return "", false
	}
	slices.Sort(strangers)
	return strangers[gs.opts.Rand.IntN(len(strangers))], true
}

func (gs *Gossiper) reachedByOthers(ctx context.Context, silent Member, nbs []Member) bool {
	asked := 0
	for _, m := range nbs {
		if m.Name == silent.Name || asked == indirectProbes {
			continue
		}
		asked++
		var reply probeReply
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
