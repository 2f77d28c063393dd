package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type (
	// Update is sent to a peer and brings it to a newer revision. Parts holds only the parts that
	// the peer lacks, by hash.
	Update struct {
		Head  Head              `json:"head"`
		Parts map[string][]byte `json:"parts"`
	}

	// Keeper holds a host's local replica of the configuration: the newest revision read from the
	// store or received from a peer. The revision in force never decreases. It is safe for
	// concurrent use.
	Keeper struct {
		store    keyvalue.Store
		onChange func(*Snapshot)

		mu          sync.Mutex
		head        Head
		content     map[string][]byte
		recentHeads []Head

		current atomic.Pointer[Snapshot]
	}
)

// maxRecentHeads is how many revisions a peer may be behind and still receive only the parts that
// changed.
const maxRecentHeads = 64

// NewKeeper returns a keeper at revision zero. It calls onChange after each new revision, one call
// at a time; nil is allowed.
func NewKeeper(store keyvalue.Store, onChange func(*Snapshot)) *Keeper {
	kp := &Keeper{store: store, onChange: onChange, content: make(map[string][]byte)}
	kp.current.Store(NewSnapshot(0, "", Document{}))
	return kp
}

// Snapshot returns the configuration in force.
func (kp *Keeper) Snapshot() *Snapshot { return kp.current.Load() }

// Revision returns the revision in force.
func (kp *Keeper) Revision() uint64 { return kp.Snapshot().Revision() }

// Pull reads the newest revision from the store and puts it in force.
func (kp *Keeper) Pull(ctx context.Context) error {
	en, err := kp.store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return err
	}
	return kp.applyHead(ctx, en)
}

// applyHead puts the revision of a head entry in force, after reading the parts that are missing
// locally.
func (kp *Keeper) applyHead(ctx context.Context, en keyvalue.Entry) error {
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

// Since returns the update for a peer at the given revision; ok is false if the peer is up to date.
func (kp *Keeper) Since(revision uint64) (up Update, ok bool) {
	kp.mu.Lock()
	defer kp.mu.Unlock()
	if kp.head.Revision <= revision {
		return Update{}, false
	}
	known := make(map[string]bool)
	for _, hd := range kp.recentHeads {
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

// Accept puts an update from a peer in force if it is newer. It returns a *PartError and changes
// nothing if a part of the update is missing or corrupt.
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
		if partHash(data) != hash {
			return &PartError{part: hash, cause: missingPartError(hash)}
		}
		content[hash] = data
	}
	return kp.install(up.Head, content)
}

func (kp *Keeper) install(hd Head, content map[string][]byte) error {
	doc, err := joinParts(hd, content)
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
	kp.recentHeads = append(kp.recentHeads, hd)
	if len(kp.recentHeads) > maxRecentHeads {
		kp.recentHeads = kp.recentHeads[1:]
	}
	kp.current.Store(sn)
	if kp.onChange != nil {
		kp.onChange(sn)
	}
	return nil
}
