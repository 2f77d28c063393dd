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
	// Editor changes the configuration with a single compare-and-swap of its head. It is safe for
	// concurrent use.
	Editor struct {
		store  keyvalue.Store
		author string
	}

	// ConflictError reports a change that was rejected because another operator changed the
	// configuration first. Nothing was changed.
	ConflictError struct {
		author   string
		revision uint64
	}

	// OutcomeUnknownError reports a change whose outcome is unknown: it may have been accepted.
	OutcomeUnknownError struct {
		revision uint64
		cause    error
	}
)

// replacedPartTTL is how long replaced parts are kept for hosts that still read the previous head.
const replacedPartTTL = time.Hour

// NewEditor returns an editor that writes as author.
func NewEditor(store keyvalue.Store, author string) *Editor {
	return &Editor{store: store, author: author}
}

// Error names the author and the revision of the change that was accepted.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: conflict: %q already made revision %d", e.author, e.revision)
}

// Author returns the author of the revision that was accepted instead.
func (e *ConflictError) Author() string { return e.author }

// Revision returns the revision that was accepted instead.
func (e *ConflictError) Revision() uint64 { return e.revision }

// Error names the revision whose outcome is unknown.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("configuration: unknown whether revision %d was accepted: %v", e.revision, e.cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// Read returns the newest configuration in the key-value store.
func (ed *Editor) Read(ctx context.Context) (*Snapshot, error) {
	hd, _, err := readHead(ctx, ed.store)
	if err != nil {
		return nil, err
	}
	content, err := readParts(ctx, ed.store, hd, nil)
	if err != nil {
		return nil, err
	}
	doc, err := joinParts(hd, content)
	if err != nil {
		return nil, err
	}
	return NewSnapshot(hd.Revision, hd.Author, doc), nil
}

// Change applies change to the newest document and returns the accepted revision. It returns a
// *ConflictError if another operator's change was accepted first, an *InvalidError if the changed
// document is invalid, and an *OutcomeUnknownError if the store became unavailable before the
// outcome of the change was known.
func (ed *Editor) Change(ctx context.Context, change func(*Document) error) (uint64, error) {
	hd, entry, err := readHead(ctx, ed.store)
	if err != nil {
		return 0, err
	}
	content, err := readParts(ctx, ed.store, hd, nil)
	if err != nil {
		return 0, err
	}
	doc, err := joinParts(hd, content)
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

// publish writes the parts of doc that changed and then swaps the head, which makes doc the newest
// revision of the configuration. entryRevision is the key-value revision of the entry with the old
// head.
func (ed *Editor) publish(ctx context.Context, old Head, entryRevision uint64, doc Document) (uint64, error) {
	parts, err := splitParts(doc)
	if err != nil {
		return 0, err
	}
	next := Head{Revision: old.Revision + 1, Author: ed.author, Parts: make(map[string]string, len(parts))}
	for _, name := range sortedKeys(parts) {
		hash := partHash(parts[name])
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
	wr := keyvalue.Write{Key: headKey, Value: data, WriteID: uuid.NewString(), Revision: entryRevision}
	if _, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr); err != nil {
		return 0, swapError(err, next.Revision)
	}
	ed.expireParts(ctx, old, next)
	return next.Revision, nil
}

func (ed *Editor) writePart(ctx context.Context, hash string, data []byte) error {
	wr := keyvalue.Write{Key: partPrefix + hash, Value: data}
	_, err := ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr)
	var ce *keyvalue.ConflictError
	if !errors.As(err, &ce) {
		return err
	}
	// The same content exists already and may have a TTL: write it again without one.
	wr.Revision = ce.Current().Revision()
	_, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr)
	return err
}

// expireParts sets a TTL on the parts that the next head no longer references. A part for which this
// fails stays in the store.
func (ed *Editor) expireParts(ctx context.Context, old, next Head) {
	for name, hash := range old.Parts {
		if next.Parts[name] == hash {
			continue
		}
		en, err := ed.store.Get(ctx, keyvalue.PurposeConfiguration, partPrefix+hash)
		if err != nil || en.Revision() == 0 {
			continue
		}
		wr := keyvalue.Write{Key: en.Key(), Value: en.Value(), Revision: en.Revision(), TTL: replacedPartTTL}
		if _, err = ed.store.CompareAndSwap(ctx, keyvalue.PurposeConfiguration, wr); err != nil {
			return
		}
	}
}

// swapError returns the error for a failed swap of the head to revision.
func swapError(err error, revision uint64) error {
	var ce *keyvalue.ConflictError
	if !errors.As(err, &ce) {
		return &OutcomeUnknownError{revision: revision, cause: err}
	}
	var accepted Head
	if jsonErr := json.Unmarshal(ce.Current().Value(), &accepted); jsonErr != nil {
		return &PartError{part: "head", cause: jsonErr}
	}
	return &ConflictError{author: accepted.Author, revision: accepted.Revision}
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

// readParts returns the content of all parts of hd by hash. It reads those that known lacks from
// the store.
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
		if en.Revision() == 0 || partHash(en.Value()) != hash {
			return nil, &PartError{part: name, cause: missingPartError(hash)}
		}
		out[hash] = en.Value()
	}
	return out, nil
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
