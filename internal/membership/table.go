package membership

import (
	"maps"
	"math/bits"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// suspicionTime is how long a suspect may refute before it counts as dead.
	suspicionTime = 3 * time.Second
	// deadRetention is how long a dead host is remembered, so that an old record cannot revive it.
	deadRetention = 10 * time.Minute
	// factRetention is how long a fact is remembered, so that it is not spread twice.
	factRetention = 10 * time.Minute
	// bucketCount is how many buckets two unequal tables are compared by.
	bucketCount = 32
	// spreadLimit is the most records that are being sent on at a time.
	spreadLimit = 32
	// extraSends is how often an update is sent on, above log2 of the fleet.
	extraSends = 2
)

type (
	// Table is the state of all hosts that this host knows. It is safe for concurrent use.
	Table struct {
		clk  clock.Clock
		self string
		view atomic.Pointer[View]

		mu      sync.Mutex
		members map[string]record
		facts   map[string]factRecord
		hash    uint64
		spread  spread
		onFact  func(Fact)
		onLive  func()
	}

	record struct {
		member  Member
		changed time.Time
	}

	factRecord struct {
		fact  Fact
		heard time.Time
	}

	// spread is what still has to be sent on, with how often it was sent.
	spread struct {
		members map[string]int
		facts   map[string]int
	}
)

// NewTable returns a table with this host as its only member.
func NewTable(clk clock.Clock, self Member) *Table {
	tb := &Table{
		clk:     clk,
		self:    self.Name,
		members: make(map[string]record),
		facts:   make(map[string]factRecord),
		spread:  spread{members: make(map[string]int), facts: make(map[string]int)},
	}
	tb.put(self)
	return tb
}

// OnFact sets what is called for each new fact. It must be set before the first merge.
func (tb *Table) OnFact(f func(Fact)) { tb.onFact = f }

// OnChange sets what is called when a host was added, left or died. It must be set before the
// first merge.
func (tb *Table) OnChange(f func()) { tb.onLive = f }

// Self returns this host's own record.
func (tb *Table) Self() Member {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.members[tb.self].member
}

// Members returns all records in the order of their names.
func (tb *Table) Members() []Member {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	out := make([]Member, 0, len(tb.members))
	for _, rec := range tb.members {
		out = append(out, rec.member)
	}
	sortMembers(out)
	return out
}

// Buckets returns a sum over the records of each bucket. Equal tables have equal sums.
func (tb *Table) Buckets() []uint32 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	out := make([]uint32, bucketCount)
	for name, rec := range tb.members {
		out[bucketOf(name)] ^= uint32(rec.member.hash())
	}
	return out
}

// Differing returns the buckets whose sums differ from those of another host.
func (tb *Table) Differing(sums []uint32) []int {
	var out []int
	for i, sum := range tb.Buckets() {
		if i < len(sums) && sums[i] != sum {
			out = append(out, i)
		}
	}
	return out
}

// InBuckets returns the records of the given buckets in the order of their names.
func (tb *Table) InBuckets(buckets []int) []Member {
	var out []Member
	for _, m := range tb.Members() {
		if slices.Contains(buckets, bucketOf(m.Name)) {
			out = append(out, m)
		}
	}
	return out
}

func bucketOf(name string) int { return int(rendezvous.Hash(name) % bucketCount) }

// Get returns the record of a host.
func (tb *Table) Get(name string) (Member, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rec, ok := tb.members[name]
	return rec.member, ok
}

// at returns the record of the host at an address.
func (tb *Table) at(address string) (Member, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, rec := range tb.members {
		if rec.member.Address == address {
			return rec.member, true
		}
	}
	return Member{}, false
}

// Len returns how many hosts are known, live or not.
func (tb *Table) Len() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.members)
}

func (tb *Table) usable() []Member {
	out := make([]Member, 0, len(tb.members))
	for _, rec := range tb.members {
		if rec.member.IsUsable() {
			out = append(out, rec.member)
		}
	}
	sortMembers(out)
	return out
}

// Hash returns a sum over all records; equal tables have equal hashes.
func (tb *Table) Hash() uint64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.hash
}

// MergeAll takes in records that another host sent because its table differs. They are not sent
// on: a host that lacks them sees that its hash differs.
func (tb *Table) MergeAll(ms []Member, fs []Fact) bool {
	tb.mu.Lock()
	before := maps.Clone(tb.spread.members)
	tb.mu.Unlock()
	isNew := tb.Merge(ms, fs)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, m := range ms {
		if _, ok := before[m.Name]; !ok && m.Name != tb.self {
			delete(tb.spread.members, m.Name)
		}
	}
	return isNew
}

// Merge takes in records and facts and reports whether anything was new.
func (tb *Table) Merge(ms []Member, fs []Fact) bool {
	tb.mu.Lock()
	isNew, isLiveChange := false, false
	for _, m := range ms {
		added, live := tb.merge(m)
		isNew = isNew || added
		isLiveChange = isLiveChange || live
	}
	var fresh []Fact
	for _, f := range fs {
		if _, ok := tb.facts[f.ID]; !ok {
			tb.facts[f.ID] = factRecord{fact: f, heard: tb.clk.Now()}
			tb.spread.facts[f.ID] = 0
			fresh = append(fresh, f)
		}
	}
	tb.mu.Unlock()
	for _, f := range fresh {
		if tb.onFact != nil {
			tb.onFact(f)
		}
	}
	if isLiveChange && tb.onLive != nil {
		tb.onLive()
	}
	return isNew || len(fresh) > 0
}

// Suspect marks a host that did not answer. A record that changed since is left alone.
func (tb *Table) Suspect(m Member) {
	if m.State != Live {
		return
	}
	m.State = Suspect
	tb.Merge([]Member{m}, nil)
}

// Leave marks this host as left.
func (tb *Table) Leave() {
	m := tb.Self()
	m.State = Left
	tb.mu.Lock()
	tb.put(m)
	tb.mu.Unlock()
}

// Tick turns suspects whose time has passed into dead hosts, and forgets old records.
func (tb *Table) Tick() {
	tb.mu.Lock()
	now := tb.clk.Now()
	died := false
	for name, rec := range tb.members {
		age := now.Sub(rec.changed)
		switch {
		case rec.member.State == Suspect && age >= suspicionTime:
			m := rec.member
			m.State = Dead
			tb.put(m)
			died = true
		case !rec.member.IsUsable() && age >= deadRetention && name != tb.self:
			tb.hash ^= rec.member.hash()
			delete(tb.members, name)
			delete(tb.spread.members, name)
		}
	}
	for id, fr := range tb.facts {
		if now.Sub(fr.heard) >= factRetention {
			delete(tb.facts, id)
			delete(tb.spread.facts, id)
		}
	}
	tb.mu.Unlock()
	if died && tb.onLive != nil {
		tb.onLive()
	}
}

// Pending returns at most limit records and limit facts that still have to be sent on, those
// sent least often first, and counts them as sent.
func (tb *Table) Pending(limit int) ([]Member, []Fact) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rounds := extraSends + bits.Len(uint(len(tb.members)))
	var ms []Member
	for _, name := range leastSent(tb.spread.members, limit) {
		ms = append(ms, tb.members[name].member)
		countSent(tb.spread.members, name, rounds)
	}
	var fs []Fact
	for _, id := range leastSent(tb.spread.facts, limit) {
		fs = append(fs, tb.facts[id].fact)
		countSent(tb.spread.facts, id, rounds)
	}
	return ms, fs
}

func (tb *Table) merge(m Member) (isNew, isLiveChange bool) {
	rec, known := tb.members[m.Name]
	if known && !m.IsNewerThan(rec.member) {
		return false, false
	}
	if m.Name == tb.self && rec.member.State != Left {
		// Another host has a newer record of this one, such as a suspicion: a higher incarnation
		// refutes it.
		own := rec.member
		own.Incarnation = m.Incarnation + 1
		tb.put(own)
		return true, false
	}
	tb.put(m)
	return true, !known || rec.member.IsUsable() != m.IsUsable()
}

func (tb *Table) put(m Member) {
	if old, ok := tb.members[m.Name]; ok {
		tb.hash ^= old.member.hash()
	}
	tb.members[m.Name] = record{member: m, changed: tb.clk.Now()}
	tb.hash ^= m.hash()
	// While very many hosts change, comparing tables is cheaper than sending each record on.
	if len(tb.spread.members) < spreadLimit || m.Name == tb.self {
		tb.spread.members[m.Name] = 0
	}
	tb.view.Store(nil)
}

func leastSent(sent map[string]int, limit int) []string {
	var out []string
	for name := range sent {
		i := len(out)
		for i > 0 && lessSent(sent, name, out[i-1]) {
			i--
		}
		if i >= limit {
			continue
		}
		out = append(out, "")
		copy(out[i+1:], out[i:])
		out[i] = name
		if len(out) > limit {
			out = out[:limit]
		}
	}
	return out
}

func lessSent(sent map[string]int, a, b string) bool {
	if sent[a] != sent[b] {
		return sent[a] < sent[b]
	}
	return a < b
}

func countSent(sent map[string]int, name string, rounds int) {
	sent[name]++
	if sent[name] >= rounds {
		delete(sent, name)
	}
}
