// Package rendezvous orders nodes by rendezvous hashing, so that every host computes the same owner.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const goldenRatio64 = 0x9e3779b97f4a7c15

// Score returns the weight of node for key. The node with the highest score owns the key.
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

// Owner returns the node with the highest score for key; ok is false without nodes.
func Owner(key string, nodes []string) (owner string, ok bool) {
	kh := Hash(key)
	var best uint64
	for _, nd := range nodes {
		sc := Score(kh, Hash(nd))
		if !ok || sc > best || (sc == best && nd < owner) {
			owner, best, ok = nd, sc, true
		}
	}
	return owner, ok
}

// Order returns the nodes in falling order of score for key. The argument is left unchanged.
func Order(key string, nodes []string) []string {
	kh := Hash(key)
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(Score(kh, Hash(b)), Score(kh, Hash(a))); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}
