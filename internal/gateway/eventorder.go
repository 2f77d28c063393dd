package gateway

import "strconv"

// eventOrder checks that the events of an answer follow each other, also where another endpoint continues it. The zero value is the
// beginning of a stream.
type eventOrder struct {
	// lastID is the identifier of the last event; empty if there is none.
	lastID string
	// steps counts the numbers that followed another, and gaps those of them that were not the next.
	steps, gaps int
}

// newEventOrder returns the order of the events after the one with an identifier; empty if there is none.
func newEventOrder(lastID string) eventOrder { return eventOrder{lastID: lastID} }

// Check fails if an event may not be the next. At a seam, the first event of an endpoint, numbers that went up by one must go on so.
// Endpoints may leave out numbers by themselves, but not only where they take over from another.
func (eo *eventOrder) Check(id string, isSeam bool) error {
	if eo.lastID == "" {
		return nil
	}
	last, err := strconv.ParseUint(eo.lastID, 10, 64)
	if err != nil {
		if isSeam && id == eo.lastID {
			return errEventRepeated
		}
		return nil
	}
	next, err := strconv.ParseUint(id, 10, 64)
	switch {
	case err != nil || next <= last:
		return errEventOrder
	case isSeam && eo.steps > 0 && eo.gaps == 0 && next != last+1:
		return errEventMissing
	}
	return nil
}

// Record records that an event has been forwarded.
func (eo *eventOrder) Record(id string) {
	last, lastErr := strconv.ParseUint(eo.lastID, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	eo.lastID = id
	if lastErr != nil || nextErr != nil {
		return
	}
	eo.steps++
	if next != last+1 {
		eo.gaps++
	}
}
