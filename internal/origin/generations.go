package origin

import "time"

// generations is a table of streams whose entries end together, one generation after the other.
type generations struct {
	current, previous map[streamKey]Origin
	// begunAt is the start of the current generation.
	begunAt time.Time
}

// put adds a stream that is remembered for the retention at least. A stream that is recorded with different origins has none
// that is known. A full table stays as it is.
func (ge *generations) put(key streamKey, or Origin, now time.Time, retention time.Duration) {
	ge.rotate(now, retention)
	if known, ok := ge.find(key); ok {
		or = known.merge(or)
	}
	if _, ok := ge.current[key]; ok || len(ge.current) < maxStreams {
		ge.current[key] = or
	}
}

func (ge *generations) get(key streamKey, now time.Time, retention time.Duration) (Origin, bool) {
	ge.rotate(now, retention)
	return ge.find(key)
}

func (ge *generations) find(key streamKey) (Origin, bool) {
	if or, ok := ge.current[key]; ok {
		return or, true
	}
	or, ok := ge.previous[key]
	return or, ok
}

// ofService returns the streams of a service.
func (ge *generations) ofService(service string) map[streamKey]Origin {
	out := make(map[streamKey]Origin)
	for _, streams := range []map[streamKey]Origin{ge.previous, ge.current} {
		for key, or := range streams {
			if or.Service == service {
				out[key] = or
			}
		}
	}
	return out
}

// rotate begins a new generation once the current one is older than the retention.
func (ge *generations) rotate(now time.Time, retention time.Duration) {
	age := now.Sub(ge.begunAt)
	if ge.current != nil && age < retention {
		return
	}
	ge.previous = ge.current
	if age >= 2*retention {
		ge.previous = nil
	}
	ge.current, ge.begunAt = make(map[streamKey]Origin), now
}
