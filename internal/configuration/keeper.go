package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type (
	// Update carries a revision from one host to another.
	Update struct {
		Head  Head              `json:"head"`
		Parts map[string][]byte `json:"parts"`
	}

	// Keeper holds the newest configuration that a host has seen, from the service or any peer.
	// The revision in force never falls. It is safe for concurrent use.
	Keeper struct {
		store   keyvalue.Store
		changed func(*Snapshot)

		mu      sync.Mutex
		head    Head
		content map[string][]byte
		recent  []Head

		current atomic.Pointer[Snapshot]
	}
)

// recentHeads is how many revisions back a peer gets only the parts that changed.
const recentHeads = 64

// NewKeeper returns a keeper without a configuration. It calls changed after each new revision,
// one call at a time; nil is allowed.
func NewKeeper(store keyvalue.Store, changed func(*Snapshot)) *Keeper {
	kp := &Keeper{store: store, changed: changed, content: make(map[string][]byte)}
	kp.current.Store(NewSnapshot(0, "", Document{}))
	return kp
}

// Snapshot returns the configuration in force.
func (kp *Keeper) Snapshot() *Snapshot { return kp.current.Load() }

// Revision returns the revision in force.
func (kp *Keeper) Revision() uint64 { return kp.Snapshot().Revision() }

// Pull reads the newest revision from the service and puts it in force.
func (kp *Keeper) Pull(ctx context.Context) error {
	en, err := kp.store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return err
	}
	return kp.take(ctx, en)
}

// take puts the revision of a head entry in force, after reading the parts that are not known yet.
func (kp *Keeper) take(ctx context.Context, en keyvalue.Entry) error {
	hd, err := parseHead(en)
	if err != nil || hd.Revision <= kp.Revision() {
		return err
	}
	kp.mu.Lock()
	known := kp.content
	kp.mu.Unlock()
	content, err := readParts(ctx, kp.store, hd, known)
	if err != nil {
		return err
	}
	return kp.install(hd, content)
}

// Since returns what a peer with the given revision lacks; ok is false if it lacks nothing.
func (kp *Keeper) Since(revision uint64) (up Update, ok bool) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if kp.head.Revision <= revision {
		return Update{}, false
	}
	known := make(map[string]bool)
	for _, hd := range kp.recent {
		if hd.Revision != revision {
			continue
		}
		for _, hash := range hd.Parts {
			known[hash] = true
		}
	}
	parts := make(map[string][]byte)
	for _, hash := range kp.head.Parts {
		if !known[hash] {
			parts[hash] = kp.content[hash]
		}
	}
	return Update{Head: kp.head, Parts: parts}, true
}

// Accept puts an update from a peer in force if it is newer. It returns a *PartError if the
// update lacks a part or holds a damaged one; then nothing changes.
func (kp *Keeper) Accept(up Update) error {
	if up.Head.Revision <= kp.Revision() {
		return nil
	}
	content := make(map[string][]byte, len(up.Head.Parts))
	kp.mu.Lock()
	for _, hash := range up.Head.Parts {
		if data, ok := kp.content[hash]; ok {
			content[hash] = data
		}
	}
	kp.mu.Unlock()
	for hash, data := range up.Parts {
		if hashOf(data) != hash {
			return &PartError{part: hash, cause: partMissing(hash)}
		}
		content[hash] = data
	}
	return kp.install(up.Head, content)
}

func (kp *Keeper) install(hd Head, content map[string][]byte) error {
	doc, err := join(hd, content)
	if err != nil {
		return err
	}
	sn := NewSnapshot(hd.Revision, hd.Author, doc)
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if hd.Revision <= kp.head.Revision {
		return nil
	}
	kp.head = hd
	kp.content = content
	kp.recent = append(kp.recent, hd)
	if len(kp.recent) > recentHeads {
		kp.recent = kp.recent[1:]
	}
	kp.current.Store(sn)
	if kp.changed != nil {
		kp.changed(sn)
	}
	return nil
}
