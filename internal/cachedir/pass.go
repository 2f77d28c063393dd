package cachedir

// passFor is how long a pass is valid, in milliseconds of the endpoints' clock. With the longest fetch it
// must end before the parts behind a gate are freed that all registered hosts know.
const passFor = 600

// Pass lets a host fetch that the metadata store does not know any more, on the word of a registered
// host that the gates have not changed. Whoever frees parts waits for registered hosts only, so that a
// pass ends soon after the word was given, by the endpoints' clock: a word that arrives late is worth
// less. The zero value is not valid.
type Pass struct {
	until int64
}

// Extend takes the word that a registered host has given at clock: told is the revision of the gates
// that it knows, own that of this host's. A host that does not know the newest gates may not fetch.
func (pa *Pass) Extend(told, own uint64, clock int64) {
	if own < told {
		pa.until = 0
		return
	}
	pa.until = max(pa.until, clock+passFor)
}

// IsValid reports whether the host may fetch at clock.
func (pa *Pass) IsValid(clock int64) bool { return clock < pa.until }
