package membership

import "github.com/bergamotway/bergamotway/internal/rendezvous"

type (
	// View is a snapshot of the hosts that count as live. It is immutable and safe for concurrent
	// use.
	View struct {
		self   string
		nodes  []node
		byZone map[string][]node
		names  []string
	}

	node struct {
		member Member
		hash   uint64
	}
)

// View returns the hosts that count as live. The view is cached until a record changes.
func (tb *Table) View() *View {
	if v := tb.view.Load(); v != nil {
		return v
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	v := &View{self: tb.self, byZone: make(map[string][]node)}
	for _, m := range tb.usableMembers() {
		nd := node{member: m, hash: rendezvous.Hash(m.Name)}
		v.nodes = append(v.nodes, nd)
		v.byZone[m.Zone] = append(v.byZone[m.Zone], nd)
		v.names = append(v.names, m.Name)
	}
	tb.view.Store(v)
	return v
}

// Names returns the names of the hosts in ascending order. The caller must not change the slice.
func (v *View) Names() []string { return v.names }

// OwnerOf returns the host that owns a name by rendezvous hashing over the hosts in zone, or over
// all hosts if zone is empty or has no live host. Without a live host the owner is the zero Member
// and isSelf is true.
func (v *View) OwnerOf(name, zone string) (owner Member, isSelf bool) {
	nodes := v.byZone[zone]
	if len(nodes) == 0 {
		nodes = v.nodes
	}
	key := rendezvous.Hash(name)
	var bestScore uint64
	for i := range nodes {
		sc := rendezvous.Score(key, nodes[i].hash)
		if i == 0 || sc > bestScore {
			owner, bestScore = nodes[i].member, sc
		}
	}
	return owner, owner.Name == "" || owner.Name == v.self
}

// IsAmongFirst reports whether this host ranks among the first n hosts for a name in rendezvous
// hashing.
func (v *View) IsAmongFirst(name string, n int) bool {
	key := rendezvous.Hash(name)
	ownScore := rendezvous.Score(key, rendezvous.Hash(v.self))
	higherRanked := 0
	for i := range v.nodes {
		if v.nodes[i].member.Name != v.self && rendezvous.Score(key, v.nodes[i].hash) > ownScore {
			higherRanked++
		}
	}
	return higherRanked < n
}
