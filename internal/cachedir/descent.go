package cachedir

import "time"

// descentKept bounds the gates that are remembered. They go down in some eight steps a version, and
// hosts know each step within a second or two.
const descentKept = 32

type (
	// Descent is the gates in the order in which they went down, and since when all hosts know them.
	// The zero value is open. It is not safe for concurrent use.
	Descent struct {
		steps []step
	}

	step struct {
		gates    Gates
		revision uint64
		known    time.Time
	}
)

// Take takes gates that were recorded at a revision of the metadata store.
func (de *Descent) Take(ga Gates, revision uint64) {
	if _, last := de.Last(); revision <= last {
		return
	}
	de.steps = append(de.steps, step{gates: ga, revision: revision})
	if len(de.steps) > descentKept {
		de.steps = de.steps[1:]
	}
}

// Last returns the newest gates and their revision; zero if there are none.
func (de *Descent) Last() (Gates, uint64) {
	if len(de.steps) == 0 {
		return nil, 0
	}
	st := de.steps[len(de.steps)-1]
	return st.gates, st.revision
}

// Settled returns the lowest gates that all hosts have known for a time, while newer ones may still be
// on their way; ok is false if there are none. Known is the revision up to which all hosts know all
// changes now.
func (de *Descent) Settled(known uint64, now time.Time, after time.Duration) (ga Gates, ok bool) {
	settled := -1
	for i := range de.steps {
		st := &de.steps[i]
		if st.known.IsZero() && st.revision <= known {
			st.known = now
		}
		if !st.known.IsZero() && now.Sub(st.known) >= after {
			settled = i
		}
	}
	if settled < 0 {
		return nil, false
	}
	de.steps = de.steps[settled:]
	return de.steps[0].gates, true
}
