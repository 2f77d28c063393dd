package slot

import "container/list"

type (
	// cacheModel estimates which histories an endpoint has in its prefix cache, as an LRU cache
	// of the runs that ended there.
	cacheModel struct {
		recency     *list.List
		byRoot      map[string]*list.Element
		totalTokens int
	}

	// cacheEntry holds the root name of a history and how many of its tokens are cached.
	cacheEntry struct {
		root   string
		tokens int
	}
)

func newCacheModel() *cacheModel {
	return &cacheModel{recency: list.New(), byRoot: make(map[string]*list.Element)}
}

// cachedTokens returns how many tokens of a history are likely cached, and marks the history as
// recently used.
func (cm *cacheModel) cachedTokens(root string) int {
	el, ok := cm.byRoot[root]
	if !ok {
		return 0
	}
	cm.recency.MoveToFront(el)
	return entryOf(el).tokens
}

// record stores how many tokens of a history are cached and evicts the least recently used
// histories while the total exceeds capacity, in tokens. The history just recorded always stays.
func (cm *cacheModel) record(root string, tokens, capacity int) {
	if el, ok := cm.byRoot[root]; ok {
		cm.totalTokens += tokens - entryOf(el).tokens
		entryOf(el).tokens = tokens
		cm.recency.MoveToFront(el)
	} else {
		cm.byRoot[root] = cm.recency.PushFront(&cacheEntry{root: root, tokens: tokens})
		cm.totalTokens += tokens
	}
	for cm.totalTokens > capacity && cm.recency.Len() > 1 {
		last := cm.recency.Back()
		cm.totalTokens -= entryOf(last).tokens
		delete(cm.byRoot, entryOf(last).root)
		cm.recency.Remove(last)
	}
}

func entryOf(el *list.Element) *cacheEntry {
	ce, ok := el.Value.(*cacheEntry)
	if !ok {
		return &cacheEntry{}
	}
	return ce
}
