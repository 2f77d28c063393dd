package slot

import "container/list"

type (
	// memory guesses which histories an endpoint has in memory, from the runs that ended there.
	memory struct {
		order *list.List
		byKey map[string]*list.Element
		total int
	}

	memoryItem struct {
		root   string
		tokens int
	}
)

func newMemory() *memory {
	return &memory{order: list.New(), byKey: make(map[string]*list.Element)}
}

func (me *memory) tokens(root string) int {
	el, ok := me.byKey[root]
	if !ok {
		return 0
	}
	me.order.MoveToFront(el)
	return itemOf(el).tokens
}

func (me *memory) put(root string, tokens, limit int) {
	if el, ok := me.byKey[root]; ok {
		me.total += tokens - itemOf(el).tokens
		itemOf(el).tokens = tokens
		me.order.MoveToFront(el)
	} else {
		me.byKey[root] = me.order.PushFront(&memoryItem{root: root, tokens: tokens})
		me.total += tokens
	}
	for me.total > limit && me.order.Len() > 1 {
		last := me.order.Back()
		me.total -= itemOf(last).tokens
		delete(me.byKey, itemOf(last).root)
		me.order.Remove(last)
	}
}

func itemOf(el *list.Element) *memoryItem {
	it, ok := el.Value.(*memoryItem)
	if !ok {
		return &memoryItem{}
	}
	return it
}
