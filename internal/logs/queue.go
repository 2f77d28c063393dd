package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// queueLines is how many lines may wait for a slow reader of the output.
	queueLines = 2048
	// linesOfKind is how many lines of one kind are written in a second.
	linesOfKind = 150
)

type (
	// Queue is a writer that never blocks: lines wait in a bounded queue, and lines that find it
	// full are dropped and counted.
	Queue struct {
		lines   chan []byte
		dropped atomic.Int64
		done    chan struct{}
		once    sync.Once
	}

	// bounded is a formatter that holds back lines of a kind beyond a rate. The next line of the
	// kind says how many were held back.
	bounded struct {
		inner logrus.Formatter
		ck    clock.Clock

		mu    sync.Mutex
		kinds map[string]*kind
	}

	kind struct {
		second int64
		lines  int
		held   int
	}
)

// NewQueue returns a queue before out. Close writes what waits.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go func() {
		defer close(qu.done)
		for line := range qu.lines {
			// An output that fails leaves nobody to tell.
			_, _ = out.Write(line)
		}
	}()
	return qu
}

// Write queues a copy of a line. It always succeeds.
func (qu *Queue) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case qu.lines <- append([]byte(nil), line...):
	default:
		qu.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines found the queue full.
func (qu *Queue) Dropped() int64 { return qu.dropped.Load() }

// Close waits at most limit until the lines that wait are written. Nothing may be written after.
func (qu *Queue) Close(limit time.Duration) {
	qu.once.Do(func() {
		close(qu.lines)
		select {
		case <-qu.done:
		case <-time.After(limit):
		}
	})
}

// Bound makes a logger hold back lines of the same message beyond a rate.
func Bound(lg *logrus.Logger, ck clock.Clock) {
	lg.SetFormatter(&bounded{inner: lg.Formatter, ck: ck, kinds: make(map[string]*kind)})
}

// Format formats a line, or returns nothing for a line that is held back.
func (bo *bounded) Format(en *logrus.Entry) ([]byte, error) {
	second := bo.ck.Now().Unix()
	bo.mu.Lock()
	ki := bo.kinds[en.Message]
	if ki == nil {
		ki = &kind{}
		bo.kinds[en.Message] = ki
	}
	if ki.second != second {
		ki.second, ki.lines = second, 0
	}
	if ki.lines >= linesOfKind {
		ki.held++
		bo.mu.Unlock()
		return nil, nil
	}
	ki.lines++
	held := ki.held
	ki.held = 0
	bo.mu.Unlock()
	if held > 0 {
		with := en.WithField("held-back", held)
		with.Level, with.Message, with.Time = en.Level, en.Message, en.Time
		en = with
	}
	return bo.inner.Format(en)
}
