// Package isolation judges whether requests used KV cache across the border of an exclusive team, from what engines saw.
package isolation

import (
	"fmt"
	"slices"
	"time"
)

type (
	// Run is a run of a request at an engine.
	Run struct {
		// ID identifies the request, and Team is the team whose request it is.
		ID, Team string
		// Salt and Parts are the cache salt and the parts of the prompt that the engine may share, in their order.
		Salt  string
		Parts []string
		// BeganAt is when the engine began the run.
		BeganAt time.Time
	}

	// Change is a version of the configuration.
	Change struct {
		// Exclusive holds the exclusive teams, and Removed those that are not configured and were exclusive when they last were.
		Exclusive, Removed []string
		// SentAt and AcknowledgedAt are when the operator wrote it, and when the metadata store had confirmed it.
		SentAt, AcknowledgedAt time.Time
	}

	// Use is the use of a part by a run.
	Use struct {
		Run Run
		// Part is the part, and Maker the team whose request made it.
		Part, Maker string
	}

	// Verdict is the result for one engine, from its start to its end.
	Verdict struct {
		// Uses counts parts that were found in the memory of the engine, and Shared those that another team had made.
		Uses, Shared int
		// Foreign holds the uses that cross the border of a team which was exclusive, and Removed those of a team which had been
		// taken out of the configuration.
		Foreign, Removed []Use
	}
)

// String describes the use.
func (us Use) String() string {
	return fmt.Sprintf("%s of team %s used part %s under salt %q, which team %s had made", us.Run.ID, us.Run.Team, us.Part, us.Run.Salt, us.Maker)
}

// Judge judges the runs of one start of an engine, in the order in which they began. An engine finds a part under the salt with which
// it was made, if it finds all parts before it. A team counts as exclusive if it is in each version of the configuration that may
// have been in force at the beginning of the run. A version is in force from its sending until grace after the next one was acknowledged.
func Judge(runs []Run, changes []Change, grace time.Duration) Verdict {
	type key struct{ salt, part string }
	var ve Verdict
	makers := make(map[key]string)
	for _, rn := range runs {
		isPresent := true
		for _, part := range rn.Parts {
			ky := key{rn.Salt, part}
			maker, ok := makers[ky]
			if !ok {
				makers[ky] = rn.Team
			}
			if isPresent = isPresent && ok; !isPresent {
				continue
			}
			ve.Uses++
			if maker == rn.Team {
				continue
			}
			ve.Shared++
			us := Use{Run: rn, Part: part, Maker: maker}
			switch {
			case us.isAcross(changes, grace, func(ch Change) []string { return ch.Exclusive }):
				ve.Foreign = append(ve.Foreign, us)
			case us.isAcross(changes, grace, func(ch Change) []string { return slices.Concat(ch.Exclusive, ch.Removed) }):
				ve.Removed = append(ve.Removed, us)
			}
		}
	}
	return ve
}

// isAcross reports whether the teams of a use are separated in each version that may have been in force.
func (us Use) isAcross(changes []Change, grace time.Duration, separated func(ch Change) []string) bool {
	found := false
	for i, ch := range changes {
		isOver := i+1 < len(changes) && us.Run.BeganAt.After(changes[i+1].AcknowledgedAt.Add(grace))
		if isOver || us.Run.BeganAt.Before(ch.SentAt) {
			continue
		}
		found = true
		if names := separated(ch); !slices.Contains(names, us.Run.Team) && !slices.Contains(names, us.Maker) {
			return false
		}
	}
	return found
}
