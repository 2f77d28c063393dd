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
	// suspicionTimeout is how long a suspect can refute before it is declared dead.
	suspicionTimeout = 3 * time.Second
	// deadMemberRetention is how long the record of a dead or departed host is kept as a tombstone,
	// so that a stale record cannot revive it.
	deadMemberRetention = 10 * time.Minute
	// factRetention is how long a fact is kept, so that duplicates are recognized and not broadcast
	// again.
	factRetention = 10 * time.Minute
	// bucketCount is the number of hash buckets by which two differing tables are compared.
	bucketCount = 32
	// maxQueuedMembers is the number of records in the broadcast queue above which only this host's own
	// record is added.
	maxQueuedMembers = 32
	// extraTransmissions is added to log2 of the fleet size to give the number of times that an
	// update is sent.
	extraTransmissions = 2
)

type (
	// Table holds the records of all hosts known to this host, and the recent facts. It is safe for
	// concurrent use.
	Table struct {
		clk  clock.Clock
		self string
		view atomic.Pointer[View]

		mu             sync.Mutex
		members        map[string]record
		facts          map[string]factRecord
		hash           uint64
		broadcastQueue broadcastQueue
		onFact         func(Fact)
		onChange       func()
	}

	record struct {
		member    Member
		changedAt time.Time
	}

	factRecord struct {
		fact       Fact
		receivedAt time.Time
	}

	// broadcastQueue holds the number of times that each pending update was sent, by host name or fact
	// ID.
	broadcastQueue struct {
		members map[string]int
		facts   map[string]int
	}
)

// NewTable returns a table with this host as its only member.
func NewTable(clk clock.Clock, self Member) *Table {
	tb := &Table{
		clk:            clk,
		self:           self.Name,
		members:        make(map[string]record),
		facts:          make(map[string]factRecord),
		broadcastQueue: broadcastQueue{members: make(map[string]int), facts: make(map[string]int)},
	}
	tb.setMember(self)
	return tb
}

// OnFact sets the callback for each new fact. It must be set before the first merge.
func (tb *Table) OnFact(f func(Fact)) { tb.onFact = f }

// OnChange sets the callback for a change of the live hosts: one was added, left or died. It must be
// set before the first merge.
func (tb *Table) OnChange(f func()) { tb.onChange = f }

// Self returns this host's own record.
func (tb *Table) Self() Member {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.members[tb.self].member
}

// Members returns all records, sorted by name.
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

// BucketHashes returns the hash of the records in each bucket. Equal tables have equal hashes.
func (tb *Table) BucketHashes() []uint32 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	hashes := make([]uint32, bucketCount)
	for name, rec := range tb.members {
		hashes[bucketIndex(name)] ^= uint32(rec.member.hash())
	}
	return hashes
}

// DifferingBuckets returns the buckets whose hashes differ from those of another host.
func (tb *Table) DifferingBuckets(otherHashes []uint32) []int {
	var out []int
	for i, hash := range tb.BucketHashes() {
		if i < len(otherHashes) && otherHashes[i] != hash {
			out = append(out, i)
		}
	}
	return out
}

// MembersInBuckets returns the records of the given buckets, sorted by name.
func (tb *Table) MembersInBuckets(buckets []int) []Member {
	var out []Member
	for _, m := range tb.Members() {
		if slices.Contains(buckets, bucketIndex(m.Name)) {
			out = append(out, m)
		}
	}
	return out
}

func bucketIndex(name string) int { return int(rendezvous.Hash(name) % bucketCount) }

// Get returns the record of a host.
func (tb *Table) Get(name string) (Member, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	rec, ok := tb.members[name]
	return rec.member, ok
}

// memberAt returns the record of the host at an address.
func (tb *Table) memberAt(address string) (Member, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, rec := range tb.members {
		if rec.member.Address == address {
			return rec.member, true
		}
	}
	return Member{}, false
}

// Len returns the number of known hosts, live or not.
func (tb *Table) Len() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.members)
}

// usableMembers returns the records of the hosts that count as live, sorted by name. The caller holds
// mu.
func (tb *Table) usableMembers() []Member {
	out := make([]Member, 0, len(tb.members))
	for _, rec := range tb.members {
		if rec.member.IsUsable() {
			out = append(out, rec.member)
		}
	}
	sortMembers(out)
	return out
}

// Hash returns the hash of all records. Equal tables have equal hashes.
func (tb *Table) Hash() uint64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.hash
}

// MergeRepair merges the records of a repair. It does not queue them for broadcast: a host that lacks
// them detects the difference by its own table hash.
func (tb *Table) MergeRepair(ms []Member, fs []Fact) bool {
	tb.mu.Lock()
	queuedBefore := maps.Clone(tb.broadcastQueue.members)
	tb.mu.Unlock()
	isNew := tb.Merge(ms, fs)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, m := range ms {
		if _, ok := queuedBefore[m.Name]; !ok && m.Name != tb.self {
			delete(tb.broadcastQueue.members, m.Name)
		}
	}
	return isNew
}

// Merge merges records and facts, queues the new ones for broadcast and reports whether there were
// any.
func (tb *Table) Merge(ms []Member, fs []Fact) bool {
	tb.mu.Lock()
	isNew, isLivenessChange := false, false
	for _, m := range ms {
		added, livenessChanged := tb.mergeMember(m)
		isNew = isNew || added
		isLivenessChange = isLivenessChange || livenessChanged
	}
	var newFacts []Fact
	for _, f := range fs {
		if _, ok := tb.facts[f.ID]; !ok {
			tb.facts[f.ID] = factRecord{fact: f, receivedAt: tb.clk.Now()}
			tb.broadcastQueue.facts[f.ID] = 0
			newFacts = append(newFacts, f)
		}
	}
	tb.mu.Unlock()
	for _, f := range newFacts {
		if tb.onFact != nil {
			tb.onFact(f)
		}
	}
	if isLivenessChange && tb.onChange != nil {
		tb.onChange()
	}
	return isNew || len(newFacts) > 0
}

// MarkSuspect marks a host that did not respond as suspect, unless its record has changed since.
func (tb *Table) MarkSuspect(m Member) {
	if m.State != Live {
		return
	}
	m.State = Suspect
	tb.Merge([]Member{m}, nil)
}

// MarkLeft marks this host as left.
func (tb *Table) MarkLeft() {
	m := tb.Self()
	m.State = Left
	tb.mu.Lock()
	tb.setMember(m)
	tb.mu.Unlock()
}

// Tick declares suspects dead after suspicionTimeout and removes expired records and facts.
func (tb *Table) Tick() {
	tb.mu.Lock()
	now := tb.clk.Now()
	died := false
	for name, rec := range tb.members {
		age := now.Sub(rec.changedAt)
		switch {
		case rec.member.State == Suspect && age >= suspicionTimeout:
			m := rec.member
			m.State = Dead
			tb.setMember(m)
			died = true
		case !rec.member.IsUsable() && age >= deadMemberRetention && name != tb.self:
			tb.hash ^= rec.member.hash()
			delete(tb.members, name)
			delete(tb.broadcastQueue.members, name)
		}
	}
	for id, fr := range tb.facts {
		if now.Sub(fr.receivedAt) >= factRetention {
			delete(tb.facts, id)
			delete(tb.broadcastQueue.facts, id)
		}
	}
	tb.mu.Unlock()
	if died && tb.onChange != nil {
		tb.onChange()
	}
}

// NextBroadcasts returns at most limit records and limit facts from the broadcast queue, the least often
// sent first, and counts them as sent.
func (tb *Table) NextBroadcasts(limit int) ([]Member, []Fact) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	maxSends := extraTransmissions + bits.Len(uint(len(tb.members)))
	var ms []Member
	for _, name := range leastSentKeys(tb.broadcastQueue.members, limit) {
		ms = append(ms, tb.members[name].member)
		countSent(tb.broadcastQueue.members, name, maxSends)
	}
	var fs []Fact
	for _, id := range leastSentKeys(tb.broadcastQueue.facts, limit) {
		fs = append(fs, tb.facts[id].fact)
		countSent(tb.broadcastQueue.facts, id, maxSends)
	}
	return ms, fs
}

// mergeMember replaces the record of a host if m is newer. It reports whether m was newer, and whether
// the set of live hosts may have changed. The caller holds mu.
func (tb *Table) mergeMember(m Member) (isNew, isLivenessChange bool) {
	rec, known := tb.members[m.Name]
	if known && !m.IsNewerThan(rec.member) {
		return false, false
	}
	if m.Name == tb.self && rec.member.State != Left {
		// Another host has a newer record of this one, such as a suspicion. Refute it with a
		// higher incarnation.
		own := rec.member
		own.Incarnation = m.Incarnation + 1
		tb.setMember(own)
		return true, false
	}
	tb.setMember(m)
	return true, !known || rec.member.IsUsable() != m.IsUsable()
}

// setMember stores a record and queues it for broadcast. The caller holds mu.
func (tb *Table) setMember(m Member) {
	if old, ok := tb.members[m.Name]; ok {
		tb.hash ^= old.member.hash()
	}
	tb.members[m.Name] = record{member: m, changedAt: tb.clk.Now()}
	tb.hash ^= m.hash()
	// When many hosts change at once, comparing tables is cheaper than broadcasting each record.
	if len(tb.broadcastQueue.members) < maxQueuedMembers || m.Name == tb.self {
		tb.broadcastQueue.members[m.Name] = 0
	}
	tb.view.Store(nil)
}

// leastSentKeys returns at most limit keys, the least often sent first and otherwise in ascending
// order.
func leastSentKeys(sendCounts map[string]int, limit int) []string {
	var out []string
	for name := range sendCounts {
		i := len(out)
		for i > 0 && isSentLessOften(sendCounts, name, out[i-1]) {
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

func isSentLessOften(sendCounts map[string]int, a, b string) bool {
	if sendCounts[a] != sendCounts[b] {
		return sendCounts[a] < sendCounts[b]
	}
	return a < b
}

// countSent counts one more send of an update and removes it once it was sent maxSends times.
func countSent(sendCounts map[string]int, name string, maxSends int) {
	sendCounts[name]++
	if sendCounts[name] >= maxSends {
		delete(sendCounts, name)
	}
}
