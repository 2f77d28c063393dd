package cachedir

import "time"

// maxGateSteps bounds the number of gate revisions that are remembered. Gates are lowered in about eight
// steps per version, and all hosts know each step within a second or two.
const maxGateSteps = 32

type (
	// GateHistory holds the successive revisions of the gates, which are only ever lowered, and the time
	// since which all hosts have known each of them. The zero value has no revisions: all gates are open. It
	// is not safe for concurrent use.
	GateHistory struct {
		steps []gateStep
	}

	gateStep struct {
		gates      Gates
		revision   uint64
		knownSince time.Time
	}
)

// Record records the gates of a revision of the metadata store. Revisions that are not newer than the
// last one are ignored.
func (gh *GateHistory) Record(ga Gates, revision uint64) {
	if _, last := gh.Last(); revision <= last {
		return
	}
	gh.steps = append(gh.steps, gateStep{gates: ga, revision: revision})
	if len(gh.steps) > maxGateSteps {
		gh.steps = gh.steps[1:]
	}
}

// Last returns the newest gates and their revision; zero values if there are none.
func (gh *GateHistory) Last() (Gates, uint64) {
	if len(gh.steps) == 0 {
		return nil, 0
	}
	st := gh.steps[len(gh.steps)-1]
	return st.gates, st.revision
}

// Settled returns the lowest gates that all hosts have known for at least delay; newer gates may still be
// propagating. It returns false if there are none. KnownRevision is the revision up to which all hosts
// currently know all changes.
func (gh *GateHistory) Settled(knownRevision uint64, now time.Time, delay time.Duration) (ga Gates, ok bool) {
	settled := -1
	for i := range gh.steps {
		st := &gh.steps[i]
		if st.knownSince.IsZero() && st.revision <= knownRevision {
			st.knownSince = now
		}
		if !st.knownSince.IsZero() && now.Sub(st.knownSince) >= delay {
			settled = i
		}
	}
	if settled < 0 {
		return nil, false
	}
	gh.steps = gh.steps[settled:]
	return gh.steps[0].gates, true
}
