package peering

import (
	"maps"
	"slices"
)

// maxUnknownSenders bounds the senders beyond the list of peers of which something is kept. A host that has just registered is not
// on that list for a moment.
const maxUnknownSenders = 64

// recordSequence records the sequence number of a digest if the digest is newer than the previous ones of
// the same host, and reports whether it is. A number that is lower by restartGap or more means that the
// host has restarted.
func (ex *Exchange) recordSequence(dg Digest) bool {
	const restartGap = 1000
	ex.mu.Lock()
	defer ex.mu.Unlock()
	lastSequence, ok := ex.lastSequence[dg.Host]
	if dg.Sequence <= lastSequence && lastSequence-dg.Sequence < restartGap {
		return false
	}
	if !ok && !ex.hasRoom(len(ex.lastSequence)) {
		maps.DeleteFunc(ex.lastSequence, func(name string, _ uint64) bool {
			return !slices.ContainsFunc(ex.peers, func(pe Peer) bool { return pe.Name == name })
		})
	}
	ex.lastSequence[dg.Host] = dg.Sequence
	return true
}

// hasRoom reports whether something may be kept of one more sender than count. The caller holds mu.
func (ex *Exchange) hasRoom(count int) bool { return count < len(ex.peers)+maxUnknownSenders }

// keep adds a received digest, unless it is of one more sender than there is room for. The caller holds mu.
func (ex *Exchange) keep(received map[string]receivedDigest, name string, re receivedDigest) {
	if _, ok := received[name]; ok || ex.hasRoom(len(received)) {
		received[name] = re
	}
}
