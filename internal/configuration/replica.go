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

	// Replica is a host's local replica of the configuration: the newest revision read from the
	// store or received from a peer. The revision in force never decreases. It is safe for
	// concurrent use.
	Replica struct {
		store    keyvalue.Store
		onChange func(*Snapshot)

		mu          sync.Mutex
		head        Head
		content     map[string][]byte
		recentHeads []Head

		current atomic.Pointer[Snapshot]
	}
)

// maxRecentHeads is how many of the newest heads are kept. A peer at one of these revisions receives
// only the parts that changed since.
const maxRecentHeads = 64

// NewReplica returns a replica at revision zero. It calls onChange after each new revision, one call
// at a time; nil is allowed.
func NewReplica(store keyvalue.Store, onChange func(*Snapshot)) *Replica {
	rp := &Replica{store: store, onChange: onChange, content: make(map[string][]byte)}
	rp.current.Store(NewSnapshot(0, "", Document{}))
	return rp
}

// Snapshot returns the configuration in force.
func (rp *Replica) Snapshot() *Snapshot { return rp.current.Load() }

// Revision returns the revision in force.
func (rp *Replica) Revision() uint64 { return rp.Snapshot().Revision() }

// Pull reads the newest revision from the store and puts it in force.
func (rp *Replica) Pull(ctx context.Context) error {
	en, err := rp.store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return err
	}
	return rp.applyHead(ctx, en)
}

// applyHead puts the revision of a head entry in force, after reading the parts that are missing
// locally.
func (rp *Replica) applyHead(ctx context.Context, en keyvalue.Entry) error {
	hd, err := parseHead(en)
	if err != nil || hd.Revision <= rp.Revision() {
		return err
	}
	rp.mu.Lock()
	known := rp.content
	rp.mu.Unlock()
	content, err := readParts(ctx, rp.store, hd, known)
	if err != nil {
		return err
	}
	return rp.install(hd, content)
}

// UpdateSince returns the update for a peer at the given revision; ok is false if the peer is up to date.
func (rp *Replica) UpdateSince(revision uint64) (up Update, ok bool) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if rp.head.Revision <= revision {
		return Update{}, false
	}
	known := make(map[string]bool)
	for _, hd := range rp.recentHeads {
		if hd.Revision != revision {
			continue
		}
		for _, hash := range hd.Parts {
			known[hash] = true
		}
	}
	parts := make(map[string][]byte)
	for _, hash := range rp.head.Parts {
		if !known[hash] {
			parts[hash] = rp.content[hash]
		}
	}
	return Update{Head: rp.head, Parts: parts}, true
}

// ApplyUpdate puts an update from a peer in force if it is newer. It returns a *PartError and changes
// nothing if a part of the update is missing or corrupt.
func (rp *Replica) ApplyUpdate(up Update) error {
	if up.Head.Revision <= rp.Revision() {
		return nil
	}
	content := make(map[string][]byte, len(up.Head.Parts))
	rp.mu.Lock()
	for _, hash := range up.Head.Parts {
		if data, ok := rp.content[hash]; ok {
			content[hash] = data
		}
	}
	rp.mu.Unlock()
	for hash, data := range up.Parts {
		if partHash(data) != hash {
			return &PartError{part: hash, cause: missingPartError(hash)}
		}
		content[hash] = data
	}
	return rp.install(up.Head, content)
}

// install puts a revision in force, unless the one in force is as new or newer.
func (rp *Replica) install(hd Head, content map[string][]byte) error {
	doc, err := joinParts(hd, content)
	if err != nil {
		return err
	}
	sn := NewSnapshot(hd.Revision, hd.Author, doc)
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if hd.Revision <= rp.head.Revision {
		return nil
	}
	rp.head = hd
	rp.content = content
	rp.recentHeads = append(rp.recentHeads, hd)
	if len(rp.recentHeads) > maxRecentHeads {
		rp.recentHeads = rp.recentHeads[1:]
	}
	rp.current.Store(sn)
	if rp.onChange != nil {
		rp.onChange(sn)
	}
	return nil
}
