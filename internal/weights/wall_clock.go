package weights

import "time"

const (
	// maxClockSlew is the largest change of the wall clock between two readings that is no step.
	maxClockSlew = 200 * time.Millisecond
	// clockSettleTime is how long the wall clock must keep a step before its times are used.
	clockSettleTime = time.Minute
)

// wallClock relates the boot-time clock to the wall clock, in whose times hosts tell each other when something was. A
// step of the wall clock that is soon taken back has no effect.
type wallClock struct {
	// offset is the wall-clock time at the origin of the boot-time clock.
	offset time.Time
	// steppedOffset is the offset after a step that has not settled, and steppedAt when it was noticed; both are
	// zero if there is none.
	steppedOffset time.Time
	steppedAt     time.Duration
}

// observe takes a reading of both clocks into account.
func (wc *wallClock) observe(wall time.Time, sinceBoot time.Duration) {
	// Without the monotonic reading the difference of two times follows the wall clock.
	offset := wall.Round(0).Add(-sinceBoot)
	switch {
	case wc.offset.IsZero() || isNear(offset, wc.offset):
		wc.offset, wc.steppedOffset = offset, time.Time{}
	case wc.steppedOffset.IsZero() || !isNear(offset, wc.steppedOffset):
		wc.steppedOffset, wc.steppedAt = offset, sinceBoot
	case sinceBoot-wc.steppedAt >= clockSettleTime:
		wc.offset, wc.steppedOffset = offset, time.Time{}
	}
}

// unixMilli returns the wall-clock time at a reading of the boot-time clock, in Unix milliseconds.
func (wc *wallClock) unixMilli(sinceBoot time.Duration) int64 {
	return wc.offset.Add(sinceBoot).UnixMilli()
}

// sinceBoot returns the reading of the boot-time clock at a wall-clock time in Unix milliseconds.
func (wc *wallClock) sinceBoot(unixMilli int64) time.Duration {
	return time.UnixMilli(unixMilli).Sub(wc.offset)
}

func isNear(a, b time.Time) bool {
	return a.Sub(b).Abs() <= maxClockSlew
}
