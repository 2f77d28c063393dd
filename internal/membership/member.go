// Package membership keeps, on every entry host, the soft state of which entry hosts are live.
//
// Hosts exchange small messages with a bounded number of neighbours. Nothing here is durable and
// nothing that a promise rests on is decided here: two hosts may disagree for a while.
package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// State is what is known of a host. A higher state wins over a lower one of the same
	// incarnation.
	State int

	// Member is one entry host. A higher incarnation wins over a lower one.
	Member struct {
		Name        string `json:"n"`
		Address     string `json:"a,omitempty"`
		Zone        string `json:"z,omitempty"`
		Incarnation uint64 `json:"i"`
		State       State  `json:"s,omitempty"`
	}

	// Fact is short-lived news that every host should hear, such as an endpoint that crashed.
	Fact struct {
		ID    string `json:"id"`
		Kind  string `json:"k"`
		Key   string `json:"key"`
		Value string `json:"v,omitempty"`
	}
)

const (
	// Live is a host that answers. It is the zero value.
	Live State = iota
	// Suspect is a host that did not answer and may still refute it.
	Suspect
	// Dead is a host that stayed silent as a suspect.
	Dead
	// Left is a host that said that it is shutting down.
	Left
)

// String returns the name of the state, in kebab case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "state-" + strconv.Itoa(int(s))
	}
}

// IsNewerThan reports whether m replaces other, a record of the same host.
func (m Member) IsNewerThan(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State > other.State
}

// IsUsable reports whether the host counts as live; a suspect does until it is dead.
func (m Member) IsUsable() bool {
	return m.State == Live || m.State == Suspect
}

func (m Member) hash() uint64 {
	text := m.Name + "\x00" + strconv.FormatUint(m.Incarnation, 10) + "\x00" + strconv.Itoa(int(m.State))
	return xxhash.Sum64String(text)
}

func sortMembers(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
}
