package release

import (
	"context"
	"strings"
	"time"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

const (
	// readingInterval is the least time between the starts of two readings, and readingTimeout bounds one.
	readingInterval = 100 * time.Millisecond
	readingTimeout  = 250 * time.Millisecond
	// restoreSettleTime is how long after the store was restored from a copy its records may lack what hosts write again.
	restoreSettleTime = 5 * time.Second
)

type (
	// OutdatedError reports a reading of records that may lack what an earlier era of the store had.
	OutdatedError struct{ era uint64 }

	// reading is one reading of all records, for those that wait for it.
	reading struct {
		done chan struct{}
		err  error
	}
)

// Error returns a message with the era.
func (e *OutdatedError) Error() string {
	return "release: the store was restored, and its records may lack versions"
}

// Confirm reads the records from the store, and returns once a reading that began after the call has been applied. Calls share
// readings, of which there is one at a time.
func (hi *History) Confirm(ctx context.Context) error {
	hi.mu.Lock()
	if hi.next == nil {
		hi.next = &reading{done: make(chan struct{})}
		if !hi.isReading {
			hi.isReading = true
			go hi.readUntilIdle()
		}
	}
	re := hi.next
	hi.mu.Unlock()
	select {
	case <-re.done:
		return re.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readUntilIdle makes readings until none is wanted.
func (hi *History) readUntilIdle() {
	for {
		hi.mu.Lock()
		if hi.next == nil {
			hi.isReading = false
			hi.mu.Unlock()
			return
		}
		pause := readingInterval - hi.opts.Clock.Now().Sub(hi.readAt)
		hi.mu.Unlock()
		if pause > 0 {
			<-hi.opts.Clock.After(pause)
		}
		hi.mu.Lock()
		re := hi.next
		hi.next, hi.readAt = nil, hi.opts.Clock.Now()
		hi.mu.Unlock()
		re.err = hi.read()
		close(re.done)
	}
}

// read reads all records once.
func (hi *History) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), readingTimeout)
	defer cancel()
	sn, err := hi.opts.Store.List(ctx, hi.opts.Prefix)
	if err != nil {
		return err
	}
	hi.mu.Lock()
	isOutdated := sn.Revision.Era != hi.era || hi.opts.Clock.Now().Before(hi.settledAt)
	hi.mu.Unlock()
	if isOutdated {
		return &OutdatedError{era: sn.Revision.Era}
	}
	listed := make(map[string]bool, len(sn.Items))
	for _, it := range sn.Items {
		listed[strings.TrimPrefix(it.Key, hi.opts.Prefix)] = true
		hi.apply(it, false)
	}
	hi.mu.Lock()
	defer hi.mu.Unlock()
	for name, se := range hi.services {
		if !listed[name] && !se.revision.After(sn.Revision) {
			se.recorded, se.revision = nil, metastore.Revision{}
		}
	}
	return nil
}
