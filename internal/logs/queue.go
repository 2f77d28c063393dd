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
	// queueCapacity is the number of lines that are buffered while the output is slow.
	queueCapacity = 2048
	// maxLinesPerSecond limits the lines with the same message in a second.
	maxLinesPerSecond = 150
)

type (
	// Queue is a writer that never blocks. Lines are buffered in a bounded queue; when it is full, they
	// are dropped and counted.
	Queue struct {
		lines   chan []byte
		dropped atomic.Int64
		// done is closed when all lines have been written after Close.
		done      chan struct{}
		closeOnce sync.Once
	}

	// rateLimitedFormatter suppresses lines with the same message beyond maxLinesPerSecond. The next line
	// with the message that is written carries the number of suppressed ones.
	rateLimitedFormatter struct {
		inner logrus.Formatter
		ck    clock.Clock

		mu       sync.Mutex
		counters map[string]*messageCounter
	}

	// messageCounter counts the written lines of one message within a second, and the suppressed lines
	// since the last one written.
	messageCounter struct {
		// second is the second that lines refers to, in Unix time.
		second     int64
		lines      int
		suppressed int
	}
)

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go func() {
		defer close(qu.done)
		for line := range qu.lines {
			// A write error cannot be reported anywhere else.
			_, _ = out.Write(line)
		}
	}()
	return qu
}

// Write queues a copy of a line, or drops the line if the queue is full. It always succeeds.
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

// Dropped returns the number of lines dropped because the queue was full.
func (qu *Queue) Dropped() int64 { return qu.dropped.Load() }

// Close closes the queue and waits at most limit for the buffered lines to be written. Write must not be
// called after it.
func (qu *Queue) Close(limit time.Duration) {
	qu.closeOnce.Do(func() {
		close(qu.lines)
		select {
		case <-qu.done:
		case <-time.After(limit):
		}
	})
}

// LimitRate limits the rate at which a logger writes lines with the same message.
func LimitRate(lg *logrus.Logger, ck clock.Clock) {
	lg.SetFormatter(&rateLimitedFormatter{inner: lg.Formatter, ck: ck, counters: make(map[string]*messageCounter)})
}

// Format formats a line, or returns nothing for a suppressed line.
func (rf *rateLimitedFormatter) Format(en *logrus.Entry) ([]byte, error) {
	second := rf.ck.Now().Unix()
	rf.mu.Lock()
	mc := rf.counters[en.Message]
	if mc == nil {
		mc = &messageCounter{}
		rf.counters[en.Message] = mc
	}
	if mc.second != second {
		mc.second, mc.lines = second, 0
	}
	if mc.lines >= maxLinesPerSecond {
		mc.suppressed++
		rf.mu.Unlock()
		return nil, nil
	}
	mc.lines++
	suppressed := mc.suppressed
	mc.suppressed = 0
	rf.mu.Unlock()
	if suppressed > 0 {
		annotated := en.WithField("held-back", suppressed)
		annotated.Level, annotated.Message, annotated.Time = en.Level, en.Message, en.Time
		en = annotated
	}
	return rf.inner.Format(en)
}
