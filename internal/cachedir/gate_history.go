package cachedir

import (
	"time"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

// maxGateSteps bounds the number of gate revisions that are remembered. Gates are lowered in about eight
// steps per version, and all hosts know each step within a second or two.
const maxGateSteps = 32

type (
	// GateHistory holds the successive revisions of the gates, which are only ever lowered, and the time
	// since which all hosts have known each of them. The zero value has no revisions: all gates are open. It
	// is not safe for concurrent use.
	GateHistory struct {
		steps []gateStep
		// floor holds the gates that were in force when the store was restored from a copy.
		floor Gates
	}

	gateStep struct {
		gates      Gates
		revision   metastore.Revision
		knownSince time.Time
	}
)

// Record records the gates of a revision of the metadata store. Revisions that are not newer than the
// last one are ignored.
func (gh *GateHistory) Record(ga Gates, revision metastore.Revision) {
	if _, last := gh.Last(); !revision.After(last) {
		return
	}
	gh.steps = append(gh.steps, gateStep{gates: ga, revision: revision})
	if len(gh.steps) > maxGateSteps {
		gh.steps = gh.steps[1:]
	}
}

// Restore states that the store was restored from a copy, which may have older gates or none. The gates that were in force
// remain so on this host. They are settled once they have been recorded again, as a host that starts later may know only
// those of the copy.
func (gh *GateHistory) Restore() {
	gh.floor = gh.InForce()
	gh.steps = nil
}

// InForce returns the gates that this host applies: the newest ones, or lower ones from before the store was restored.
func (gh *GateHistory) InForce() Gates {
	newest, _ := gh.Last()
	return newest.lowest(gh.floor)
}

// Last returns the newest gates and their revision; zero values if there are none.
func (gh *GateHistory) Last() (Gates, metastore.Revision) {
	if len(gh.steps) == 0 {
		return nil, metastore.Revision{}
	}
	st := gh.steps[len(gh.steps)-1]
	return st.gates, st.revision
}

// Settled returns the lowest gates that all hosts have known for at least delay; newer gates may still be
// propagating. It returns false if there are none. KnownRevision is the revision up to which all hosts
// currently know all changes.
func (gh *GateHistory) Settled(knownRevision metastore.Revision, now time.Time, delay time.Duration) (ga Gates, ok bool) {
	settled := -1
	for i := range gh.steps {
		st := &gh.steps[i]
		if st.knownSince.IsZero() && !st.revision.After(knownRevision) {
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
