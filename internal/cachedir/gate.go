package cachedir

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

// GateOpen is the gate of salts of which all parts may be fetched.
const GateOpen = 1 << 16

type (
	// Gate bounds which parts of a salt may be fetched from managed stores: those whose hash is below
	// Open, and those named in Keep.
	Gate struct {
		Open uint32   `json:"open"`
		Keep []string `json:"keep,omitempty"`
	}

	// Gates are the gates by salt; salts without a gate are open. Gates only go down, and lose names.
	// Once each host has seen a lower gate and the fetches that began before have ended, the parts
	// that it excludes can be freed, with no list of readers.
	Gates map[string]Gate

	// Victims are the parts of one store that no host fetches any more.
	Victims struct {
		Address string
		Epoch   uint64
		// Until is a moment soon, in milliseconds of the endpoints' clock.
		Until int64
		Parts []Part
	}
)

// freeWithin is how long a call that frees parts may be on its way, in milliseconds.
const freeWithin = 1500

// Salt returns the salt for KV cache of a version of a model; team is empty unless it is exclusive.
func Salt(model string, version uint64, team string) string {
	out := model + "." + strconv.FormatUint(version, 10)
	if team != "" {
		out += "." + team
	}
	return out
}

// ParseSalt returns the model and version of a salt; ok is false if Salt did not make it.
func ParseSalt(salt string) (model string, version uint64, ok bool) {
	fields := strings.SplitN(salt, ".", 3)
	if len(fields) < 2 {
		return "", 0, false
	}
	version, err := strconv.ParseUint(fields[1], 10, 64)
	return fields[0], version, err == nil
}

// Allow reports whether a part may be fetched.
func (ga Gates) Allow(pt Part) bool {
	gate, ok := ga[pt.Salt]
	return !ok || uint32(rendezvous.Hash(pt.ID)&(GateOpen-1)) < gate.Open || slices.Contains(gate.Keep, pt.ID)
}

// Lower returns the gate of a salt with the share below open. Names that are kept are chosen once, when
// the gate first excludes parts; a gate that is shut keeps none.
func (ga Gates) Lower(salt string, open uint32, keep func() []string) Gate {
	have, ok := ga[salt]
	if !ok {
		have.Open = GateOpen
	}
	if have.Open == GateOpen && open < GateOpen {
		have.Keep = keep()
	}
	have.Open = min(have.Open, open)
	if have.Open == 0 {
		have.Keep = nil
	}
	return have
}

// SetGates puts gates in force.
func (di *Directory) SetGates(ga Gates) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.gates = ga
}

// SetPermit sets what tells whether this host may fetch from managed stores at all, at a time of the
// endpoints' clock. It must not call the directory.
func (di *Directory) SetPermit(permit func(clock int64) bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.permit = permit
}

// Salts returns the salts of the parts in managed stores, in order, and the fullest store's share.
func (di *Directory) Salts() (salts []string, fullest float64) {
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
		fullest = max(fullest, float64(so.used)/float64(max(1, so.info.CapacityTokens)))
	}
	slices.Sort(salts)
	return salts, fullest
}

// Victims returns at most most parts of each managed store that gates exclude.
func (di *Directory) Victims(ga Gates, most int) []Victims {
	di.mu.Lock()
	defer di.mu.Unlock()
	now := di.ck.Now()
	var out []Victims
	for address, so := range di.stores {
		if !so.info.Managed || !so.synced || so.clock == 0 {
			continue
		}
		vi := Victims{Address: address, Epoch: so.epoch, Until: so.clock + now.Sub(so.heard).Milliseconds() + freeWithin}
		for pt := range so.parts {
			if !ga.Allow(pt) && len(vi.Parts) < most {
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
