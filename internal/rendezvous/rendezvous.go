// Package rendezvous assigns keys to nodes by rendezvous hashing, so that every host computes the same owner
// of a key.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// goldenRatio64 is 2^64 divided by the golden ratio. It spreads the node hashes before the mixing steps, which
// are those of SplitMix64.
const goldenRatio64 = 0x9e3779b97f4a7c15

// Score returns the score of node for key. The node with the highest score owns the key.
func Score(key, node uint64) uint64 {
	x := key ^ (node * goldenRatio64)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Hash returns the hash of a name, for use as a key or a node.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Owner returns the node with the highest score for key; ok is false if there are no nodes.
func Owner(key string, nodes []string) (owner string, ok bool) {
	keyHash := Hash(key)
	var best uint64
	for _, node := range nodes {
		sc := Score(keyHash, Hash(node))
		if !ok || sc > best || (sc == best && node < owner) {
			owner, best, ok = node, sc, true
		}
	}
	return owner, ok
}

// Order returns the nodes in descending order of their score for key. It does not modify its argument.
func Order(key string, nodes []string) []string {
	keyHash := Hash(key)
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(Score(keyHash, Hash(b)), Score(keyHash, Hash(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// First returns the first count of the nodes in descending order of their score for a key. It does not sort the others.
func First(key uint64, nodes []string, count int) []string {
	type scoredNode struct {
		name  string
		score uint64
	}
	best := make([]scoredNode, 0, count+1)
	for _, node := range nodes {
		sn := scoredNode{name: node, score: Score(key, Hash(node))}
		if len(best) == count && (count == 0 || sn.score <= best[count-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, sn, func(a, b scoredNode) int { return cmp.Compare(b.score, a.score) })
		best = slices.Insert(best, at, sn)
		best = best[:min(len(best), count)]
	}
	out := make([]string, len(best))
	for i, sn := range best {
		out[i] = sn.name
	}
	return out
}

// IsAmongFirst reports whether node is among the first count of the nodes by their score for a key.
func IsAmongFirst(key uint64, node string, nodes []string, count int) bool {
	if count >= len(nodes) {
		return true
	}
	score := Score(key, Hash(node))
	higherRanked := 0
	for _, other := range nodes {
		if other != node && Score(key, Hash(other)) > score {
			higherRanked++
		}
	}
	return higherRanked < count
}
