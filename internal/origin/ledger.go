package origin

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// minBatchPause is the least time from the first stream of a batch until it is written, and batchPausePerHost what each host adds
	// to it, so that all hosts together write some 50 batches a second at most.
	minBatchPause     = 300 * time.Millisecond
	batchPausePerHost = 20 * time.Millisecond
	// maxBatchStreams bounds the streams of a batch, and maxPendingStreams those that wait for one.
	maxBatchStreams   = 128
	maxPendingStreams = 1024
	// maxLedgerHosts is the number of hosts above which no batches are written: every host would receive those of all.
	maxLedgerHosts = 24
	// leaseUse is the time for which batches are written under one lease.
	leaseUse = 30 * time.Second
	// maxLedgerStreams bounds the streams in the metadata store, of all hosts together: every host that starts reads them, and a
	// state that is too large can't be read at all.
	maxLedgerStreams = 32768
	// ledgerTimeout bounds a call to the metadata store.
	ledgerTimeout = time.Second
)

type (
	// LedgerOptions configures a Ledger. All fields are required.
	LedgerOptions struct {
		Clock clock.Clock
		Store metastore.Store
		// Prefix is the prefix of the keys of the batches.
		Prefix string
		// Host is the name of this host, and HostCount the number of all hosts.
		Host      string
		HostCount func() int
		// Retention is how long a batch remains in the store at least.
		Retention time.Duration
		Log       logrus.FieldLogger
	}

	// Ledger writes the origins of streams into the metadata store, in batches. They outlive a loss of all hosts. It is safe for
	// concurrent use.
	Ledger struct {
		opts  LedgerOptions
		added chan struct{}
		// lease is the lease of batches until leaseEnd.
		lease    uint64
		leaseEnd time.Time
		batches  int
		// written is the number of streams in batches of the last leaseUse, which began at writtenSince.
		written      int
		writtenSince time.Time

		mu      sync.Mutex
		pending map[streamKey]Origin
	}
)

// NewLedger returns a ledger that writes nothing before Run is called.
func NewLedger(opts LedgerOptions) *Ledger {
	return &Ledger{opts: opts, added: make(chan struct{}, 1), pending: make(map[streamKey]Origin)}
}

// Run writes batches until ctx ends.
func (le *Ledger) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-le.added:
		}
		pause := max(minBatchPause, time.Duration(le.opts.HostCount())*batchPausePerHost)
		select {
		case <-ctx.Done():
			return
		case <-le.opts.Clock.After(pause):
		}
		if err := le.writeBatch(ctx); err != nil {
			le.opts.Log.WithField("cause", err.Error()).Info("Recording origins of streams failed.")
		}
	}
}

// add adds streams to the next batch. Those beyond maxPendingStreams are dropped.
func (le *Ledger) add(origins map[streamKey]Origin) {
	if len(origins) == 0 || le.opts.HostCount() > maxLedgerHosts {
		return
	}
	le.mu.Lock()
	for key, or := range origins {
		if known, ok := le.pending[key]; ok {
			or = known.merge(or)
		} else if len(le.pending) >= maxPendingStreams {
			continue
		}
		le.pending[key] = or
	}
	le.mu.Unlock()
	le.notify()
}

func (le *Ledger) notify() {
	select {
	case le.added <- struct{}{}:
	default:
	}
}

// allowance returns how many streams this host may write now.
func (le *Ledger) allowance() int {
	now := le.opts.Clock.Now()
	if now.Sub(le.writtenSince) >= leaseUse {
		le.written, le.writtenSince = 0, now
	}
	// A batch stays in the store for the retention and up to two periods.
	periods := int(le.opts.Retention/leaseUse) + 2
	share := maxLedgerStreams / periods / max(1, le.opts.HostCount())
	return max(0, min(maxBatchStreams, share-le.written))
}

// take removes the streams of a batch, at most limit, from those that wait.
func (le *Ledger) take(limit int) map[streamKey]Origin {
	le.mu.Lock()
	defer le.mu.Unlock()
	out := make(map[streamKey]Origin)
	for key, or := range le.pending {
		if len(out) == limit {
			break
		}
		out[key] = or
		delete(le.pending, key)
	}
	if len(le.pending) > 0 && limit > 0 {
		le.notify()
	}
	return out
}

// writeBatch writes a batch. One that could not be written waits for the next.
func (le *Ledger) writeBatch(ctx context.Context) error {
	batch := le.take(le.allowance())
	if len(batch) == 0 {
		return nil
	}
	le.written += len(batch)
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	err := le.commit(ctx, batch)
	if err != nil {
		le.add(batch)
	}
	return err
}

func (le *Ledger) commit(ctx context.Context, batch map[streamKey]Origin) error {
	now := le.opts.Clock.Now()
	if le.lease == 0 || !now.Before(le.leaseEnd) {
		lease, err := le.opts.Store.Grant(ctx, le.opts.Retention+leaseUse)
		if err != nil {
			return errors.Wrap(err, "origin: lease of batches")
		}
		le.lease, le.leaseEnd = lease, now.Add(leaseUse)
	}
	me := message{Host: le.opts.Host}
	for key, or := range batch {
		me.Origins = append(me.Origins, encodeOrigin(key, or))
	}
	// Numbers and strings always encode.
	value, _ := json.Marshal(me)
	le.batches++
	key := fmt.Sprintf("%s%s/%x-%d", le.opts.Prefix, le.opts.Host, now.UnixMilli(), le.batches)
	_, err := le.opts.Store.Commit(ctx, metastore.Transaction{Puts: []metastore.Put{{Key: key, Value: value, Lease: le.lease}}})
	if err != nil {
		le.lease = 0
	}
	return errors.Wrap(err, "origin: batch")
}

// Adopt remembers the streams of batches that hosts have written into the metadata store, at most half of what the table takes. The
// latest come last. It fails with a *MessageError, and leaves that batch out.
func (di *Directory) Adopt(batches [][]byte) error {
	var err error
	adopted := 0
	for i := len(batches) - 1; i >= 0 && adopted < maxStreams/2; i-- {
		var me message
		if jerr := json.Unmarshal(batches[i], &me); jerr != nil {
			err = &MessageError{cause: jerr}
			continue
		}
		adopted += len(me.Origins)
		if herr := di.remember(me.Origins); herr != nil {
			err = herr
		}
	}
	return err
}
