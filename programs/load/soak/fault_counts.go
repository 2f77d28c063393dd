package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// faultCounts counts the faults of each kind. The zero value is empty. It is safe for concurrent use.
type faultCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (fc *faultCounts) add(name string) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.counts == nil {
		fc.counts = make(map[string]int)
	}
	fc.counts[name]++
}

// String returns the number of each kind, sorted by name.
func (fc *faultCounts) String() string {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	var out []string
	for name, n := range fc.counts {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
