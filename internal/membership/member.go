// Package membership maintains, on every entry host, a view of which entry hosts are live.
//
// It is a gossip protocol: each host exchanges small messages with a bounded number of neighbours.
// The state is not durable and only eventually consistent: two hosts may disagree for a while, so no
// guarantee of the system may depend on it.
package membership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

type (
	// State is the liveness of a host. Of two records with the same incarnation, the one with the
	// higher state replaces the other.
	State int

	// Member is the record of one entry host. A record with a higher incarnation replaces one with
	// a lower incarnation.
	Member struct {
		Name        string `json:"n"`
		Address     string `json:"a,omitempty"`
		Zone        string `json:"z,omitempty"`
		Incarnation uint64 `json:"i"`
		State       State  `json:"s,omitempty"`
	}

	// Fact is a short-lived notification that is broadcast to every host, such as the crash of an
	// endpoint.
	Fact struct {
		ID    string `json:"id"`
		Kind  string `json:"k"`
		Key   string `json:"key"`
		Value string `json:"v,omitempty"`
	}
)

const (
	// Live is a host that responds. It is the zero value.
	Live State = iota
	// Suspect is a host that did not respond and can still refute the suspicion.
	Suspect
	// Dead is a suspect that did not refute within the suspicion timeout.
	Dead
	// Left is a host that announced its shutdown.
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

// IsUsable reports whether the host counts as live. A suspect does until it is declared dead.
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
