package unread

import (
	"cmp"
	"slices"
	"time"
)

// Blocked is a response whose client has not taken its bytes for some time.
type Blocked struct {
	// Caller is whom the response is for.
	Caller string
	// Bytes is what the host holds for it.
	Bytes int64
	// Wait is the time since the client last took bytes.
	Wait time.Duration
}

// Victims returns the indexes of the responses to cut so that the others hold at most limit bytes together. The next to be cut is that
// of the longest wait, among those of the caller that then holds most: a caller with many slow clients is cut back to the share of the
// others before one of theirs is cut.
func Victims(blocked []Blocked, limit int64) []int {
	var total int64
	held := make(map[string]int64)
	waiting := make(map[string][]int)
	for i, bl := range blocked {
		total += bl.Bytes
		held[bl.Caller] += bl.Bytes
		waiting[bl.Caller] = append(waiting[bl.Caller], i)
	}
	for _, indexes := range waiting {
		// The longest wait comes last, and is cut first.
		slices.SortFunc(indexes, func(a, b int) int { return cmp.Compare(blocked[a].Wait, blocked[b].Wait) })
	}
	var out []int
	for total > limit && len(held) > 0 {
		caller := largest(held)
		indexes := waiting[caller]
		victim := indexes[len(indexes)-1]
		waiting[caller] = indexes[:len(indexes)-1]
		total -= blocked[victim].Bytes
		if held[caller] -= blocked[victim].Bytes; len(waiting[caller]) == 0 {
			delete(held, caller)
		}
		out = append(out, victim)
	}
	return out
}

// largest returns the caller that holds most, the first by name of several.
func largest(held map[string]int64) string {
	best, found := "", false
	for caller, bytes := range held {
		if !found || bytes > held[best] || (bytes == held[best] && caller < best) {
			best, found = caller, true
		}
	}
	return best
}
