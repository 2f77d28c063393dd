package cachedir

import (
	"cmp"
	"slices"
)

// usesKept bounds the parts whose uses are counted; beyond that counting starts anew.
const usesKept = 4096

// Use counts a use of a part with which many conversations begin.
func (di *Directory) Use(pt Part) {
	di.mu.Lock()
	defer di.mu.Unlock()
	if len(di.uses) >= usesKept {
		clear(di.uses)
	}
	di.uses[pt]++
}

// Hot returns at most most of the parts of a salt with which many conversations begin, those that were
// used most first.
func (di *Directory) Hot(salt string, most int) []string {
	di.mu.Lock()
	defer di.mu.Unlock()
	var parts []Part
	for pt := range di.uses {
		if pt.Salt == salt {
			parts = append(parts, pt)
		}
	}
	slices.SortFunc(parts, func(a, b Part) int {
		if c := cmp.Compare(di.uses[b], di.uses[a]); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	out := make([]string, 0, min(len(parts), most))
	for _, pt := range parts[:min(len(parts), most)] {
		out = append(out, pt.ID)
	}
	return out
}
