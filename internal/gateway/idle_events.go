package gateway

import "time"

const (
	// maxIdleEvents bounds the events without data or ID that may arrive at once; minIdleInterval is the mean time between
	// further ones. Comments that keep a connection alive are seconds apart.
	maxIdleEvents   = 1024
	minIdleInterval = 10 * time.Millisecond
	// idleEventBytes is the size above which one event counts as several.
	idleEventBytes = 64
)

const errIdleEvents = forwardError("the stream has too many events without data")

// idleEvents counts the events without data or ID since the last other one. Writing each of them to the client takes a host
// more time than it takes an endpoint to send it.
type idleEvents struct {
	count int
	since time.Time
}

// isFlood adds an event and reports whether there are too many by now.
func (ie *idleEvents) isFlood(event []byte, now time.Time) bool {
	if ie.count == 0 {
		ie.since = now
	}
	ie.count += 1 + len(event)/idleEventBytes
	return ie.count > maxIdleEvents+int(now.Sub(ie.since)/minIdleInterval)
}

// reset states that an event with data or ID has arrived.
func (ie *idleEvents) reset() { ie.count = 0 }
