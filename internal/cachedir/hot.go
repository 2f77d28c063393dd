package cachedir

import (
	"cmp"
	"slices"
)

// maxCountedParts bounds the number of parts with a use count; when it is reached, all counts are reset.
const maxCountedParts = 4096

// CountUse counts a use of a part. Callers count only parts with which many conversations begin.
func (di *Directory) CountUse(pt Part) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if len(di.useCounts) >= maxCountedParts {
		clear(di.useCounts)
	}
	di.useCounts[pt]++
}

// HotParts returns the identifiers of the most used parts of a salt, most used first, at most limit. Only
// parts with a use count are considered.
func (di *Directory) HotParts(salt string, limit int) []string {
	di.mu.Lock()
	defer di.mu.Unlock()
	var parts []Part
	for pt := range di.useCounts {
		if pt.Salt == salt {
			parts = append(parts, pt)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		if c := cmp.Compare(di.useCounts[b], di.useCounts[a]); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	out := make([]string, 0, min(len(parts), limit))
	for _, pt := range parts[:min(len(parts), limit)] {
		out = append(out, pt.ID)
	}
	return out
}
