package cachedir

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// GateOpen is the value of Gate.Open that allows all parts of a salt.
const GateOpen = 1 << 16

type (
	// Gate restricts the parts of a salt that may be fetched from managed stores to those whose hash is
	// below Open and those listed in Keep.
	Gate struct {
		Open uint32   `json:"open"`
		Keep []string `json:"keep,omitempty"`
	}

	// Gates maps salts to their gates; a salt without a gate is open. Gates are only lowered, and their
	// lists of kept parts only shrink. Once every host knows a lower gate and all fetches that started
	// before that have ended, the parts that it excludes can be freed. No list of the hosts that fetch a
	// part is needed.
	Gates map[string]Gate

	// Victims are the parts of one store that no host fetches any more.
	Victims struct {
		Address string
		Epoch   uint64
		// Until is the latest arrival time of the call that frees the parts, in milliseconds of the endpoints'
		// clock.
		Until int64
		Parts []Part
	}
)

// freeTimeoutMs bounds the time that a call to free parts may be in transit, in milliseconds.
const freeTimeoutMs = 1500

var (
	modelEscaper   = strings.NewReplacer("%", "%25", ".", "%2E")
	modelUnescaper = strings.NewReplacer("%25", "%", "%2E", ".")
)

// Salt returns the salt for the KV cache of a model version. The owner is empty if all teams share it. Clients name the model, so its
// dots are escaped: no model is the salt of another one.
func Salt(model string, version uint64, owner string) string {
	out := modelEscaper.Replace(model) + "." + strconv.FormatUint(version, 10)
	if owner != "" {
		out += "." + owner
	}
	return out
}

// ParseSalt returns the model and version of a salt; ok is false if the salt was not made by Salt.
func ParseSalt(salt string) (model string, version uint64, ok bool) {
	fields := strings.SplitN(salt, ".", 3)
	if len(fields) < 2 {
		return "", 0, false
	}
	version, err := strconv.ParseUint(fields[1], 10, 64)
	return modelUnescaper.Replace(fields[0]), version, err == nil
}

// Allow reports whether the gates permit fetching a part.
func (ga Gates) Allow(pt Part) bool {
	gate, ok := ga[pt.Salt]
	return !ok || uint32(rendezvous.Hash(pt.ID)&(GateOpen-1)) < gate.Open || slices.Contains(gate.Keep, pt.ID)
}

// Lower returns the gate of a salt, lowered to open. The kept parts are chosen once, when the gate first
// excludes parts; a gate that is fully closed keeps none.
func (ga Gates) Lower(salt string, open uint32, chooseKept func() []string) Gate {
	lowered, ok := ga[salt]
	if !ok {
		lowered.Open = GateOpen
	}
	if lowered.Open == GateOpen && open < GateOpen {
		lowered.Keep = chooseKept()
	}
	lowered.Open = min(lowered.Open, open)
	if lowered.Open == 0 {
		lowered.Keep = nil
	}
	return lowered
}

// lowest returns the lower gate of each salt.
func (ga Gates) lowest(other Gates) Gates {
	if len(other) == 0 {
		return ga
	}
	out := maps.Clone(other)
	for salt, gate := range ga {
		if known, ok := out[salt]; !ok || gate.Open < known.Open {
			out[salt] = gate
		}
	}
	return out
}

// SetGates replaces the gates that Find applies.
func (di *Directory) SetGates(ga Gates) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.gates = ga
}

// SetFetchPermit sets the function that reports whether this host may fetch from managed stores at a time of
// the endpoints' clock. The function must not call the directory, whose lock is held.
func (di *Directory) SetFetchPermit(fetchPermit func(clock int64) bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.fetchPermit = fetchPermit
}

// Salts returns the sorted salts of the parts in managed stores, and the share of its capacity that the
// fullest managed store uses.
func (di *Directory) Salts() (salts []string, highestFill float64) {
	di.mu.Lock()
	defer di.mu.Unlock()
	for _, so := range di.stores {
		if !so.info.Managed {
			continue
		}
		for pt := range so.parts {
			if !slices.Contains(salts, pt.Salt) {
				salts = append(salts, pt.Salt)
			}
		}
		highestFill = max(highestFill, float64(so.usedTokens)/float64(max(1, so.info.CapacityTokens)))
	}
	slices.Sort(salts)
	return salts, highestFill
}

// Victims returns the parts of each managed store that the gates exclude, at most limit for each store.
func (di *Directory) Victims(ga Gates, limit int) []Victims {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	var out []Victims
	for address, so := range di.stores {
		if !so.info.Managed || !so.synced || so.clockMs == 0 {
			continue
		}
		vi := Victims{Address: address, Epoch: so.epoch, Until: so.clockMs + now.Sub(so.clockReadAt).Milliseconds() + freeTimeoutMs}
		for pt := range so.parts {
			if !ga.Allow(pt) && len(vi.Parts) < limit {
				vi.Parts = append(vi.Parts, pt)
			}
		}
		if len(vi.Parts) > 0 {
			out = append(out, vi)
		}
	}
	slices.SortFunc(out, func(a, b Victims) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
