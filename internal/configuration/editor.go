package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/keyvalue"
)

type (
	// Editor changes the configuration by one compare-and-swap of its head. It is safe for
	// concurrent use.
	Editor struct {
		store  keyvalue.Store
		author string
	}

	// RaceError reports a change that lost against another operator's. Nothing was changed.
	RaceError struct {
		winner   string
		revision uint64
	}

	// UnsettledError reports a change whose fate could not be read back.
	UnsettledError struct {
		revision uint64
		cause    error
	}
)

// retiredTTL is how long replaced parts stay for hosts that still read the head before.
const retiredTTL = time.Hour

// NewEditor returns an editor that writes as author.
func NewEditor(store keyvalue.Store, author string) *Editor {
	return &Editor{store: store, author: author}
}

// Error names the winner.
func (e *RaceError) Error() string {
	return fmt.Sprintf("configuration: lost against %q, who made revision %d", e.winner, e.revision)
}

// Winner returns the author of the revision that won.
func (e *RaceError) Winner() string { return e.winner }

// Revision returns the revision that won.
func (e *RaceError) Revision() uint64 { return e.revision }

// Error names the revision in doubt.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("configuration: it is not known whether revision %d was accepted: %v", e.revision, e.cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.cause }

// Read returns the configuration that the service holds now.
func (ed *Editor) Read(ctx context.Context) (*Snapshot, error) {
	hd, _, err := readHead(ctx, ed.store)
	if err != nil {
		return nil, err
	}
	content, err := readParts(ctx, ed.store, hd, nil)
	if err != nil {
		return nil, err
	}
	doc, err := join(hd, content)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(hd.Revision, hd.Author, doc), nil
}

// Change applies change to the newest document and returns the accepted revision. It returns a
// *RaceError when another operator's change came first, *InvalidError when the result breaks a rule,
// and *UnsettledError when the service went away before the fate of the change could be read.
func (ed *Editor) Change(ctx context.Context, change func(*Document) error) (uint64, error) {
	hd, entry, err := readHead(ctx, ed.store)
	if err != nil {
		return 0, err
	}
	content, err := readParts(ctx, ed.store, hd, nil)
	if err != nil {
		return 0, err
	}
	doc, err := join(hd, content)
	if err != nil {
		return 0, err
	}
	if err := change(&doc); err != nil {
		return 0, err
	}
	if err := Validate(doc); err != nil {
		return 0, err
	}
	return ed.publish(ctx, hd, entry.Revision(), doc)
}

func (ed *Editor) publish(ctx context.Context, old Head, swapRevision uint64, doc Document) (uint64, error) {
	parts, err := split(doc)
	if err != nil {
		return 0, err
	}
	next := Head{Revision: old.Revision + 1, Author: ed.author, Parts: make(map[string]string, len(parts))}
	for _, name := range sortedKeys(parts) {
		hash := hashOf(parts[name])
		next.Parts[name] = hash
		if old.Parts[name] == hash {
			continue
		}
		if err := ed.writePart(ctx, hash, parts[name]); err != nil {
			return 0, err
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, &PartError{part: "head", cause: err}
	}
	wr := keyvalue.Write{Key: headKey, Value: data, WriteID: uuid.NewString(), Revision: swapRevision}
	if _, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr); err != nil {
		return 0, raceOf(err, next.Revision)
	}
	ed.retire(ctx, old, next)
	return next.Revision, nil
}

func (ed *Editor) writePart(ctx context.Context, hash string, data []byte) error {
	wr := keyvalue.Write{Key: partPrefix + hash, Value: data}
	_, err := ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr)
	var ce *keyvalue.ConflictError
	if !errors.As(err, &ce) {
		return err
	}
	// The same content is there already, perhaps retired: write it again to keep it for good.
	wr.Revision = ce.Current().Revision()
	_, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr)
	return err
}

// retire lets the parts that the new head no longer names expire. A failure only leaves them.
func (ed *Editor) retire(ctx context.Context, old, next Head) {
	for name, hash := range old.Parts {
		if next.Parts[name] == hash {
			continue
		}
		en, err := ed.store.Get(ctx, keyvalue.PurposeConfiguration, partPrefix+hash)
		if err != nil || en.Revision() == 0 {
			continue
		}
		wr := keyvalue.Write{Key: en.Key(), Value: en.Value(), Revision: en.Revision(), TTL: retiredTTL}
		if _, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr); err != nil {
			return
		}
	}
}

func raceOf(err error, revision uint64) error {
	var ce *keyvalue.ConflictError
	if !errors.As(err, &ce) {
		return &UnsettledError{revision: revision, cause: err}
	}
	var won Head
	if jsonErr := json.Unmarshal(ce.Current().Value(), &won); jsonErr != nil {
		return &PartError{part: "head", cause: jsonErr}
	}
	return &RaceError{winner: won.Author, revision: won.Revision}
}

func readHead(ctx context.Context, store keyvalue.Store) (Head, keyvalue.Entry, error) {
	en, err := store.Get(ctx, keyvalue.PurposeConfiguration, headKey)
	if err != nil {
		return Head{}, en, err
	}
	hd, err := parseHead(en)
	return hd, en, err
}

func parseHead(en keyvalue.Entry) (Head, error) {
	var hd Head
	if en.Revision() == 0 {
		return hd, nil
	}
	if err := json.Unmarshal(en.Value(), &hd); err != nil {
		return hd, &PartError{part: "head", cause: err}
	}
	return hd, nil
}

// readParts reads the parts of hd that known lacks, and returns the content of all.
func readParts(ctx context.Context, store keyvalue.Store, hd Head, known map[string][]byte) (map[string][]byte, error) {
	out := make(map[string][]byte, len(hd.Parts))
	for name, hash := range hd.Parts {
		if data, ok := known[hash]; ok {
			out[hash] = data
			continue
		}
		en, err := store.Get(ctx, keyvalue.PurposeConfiguration, partPrefix+hash)
		if err != nil {
			return nil, err
		}
		if en.Revision() == 0 || hashOf(en.Value()) != hash {
			return nil, &PartError{part: name, cause: partMissing(hash)}
		}
		out[hash] = en.Value()
	}
	return out, nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
