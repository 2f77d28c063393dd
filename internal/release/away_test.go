package release_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that was away from the store while a version came and went, and removes it from the record at once.
func TestHostThatWasAwayLeavesVersionsInTheRecord(t *testing.T) {
	t.Parallel()
	ms := newMemoryStore()
	away := startHost(t, ms, "v1")
	away.awaitRecorded(t, "v1")
	for range 70 {
		away.advance(t, time.Second)
	}
	away.history.Interrupt()
	ms.mu.Lock()
	ms.watchers = nil
	ms.mu.Unlock()
	other := startHost(t, ms, "v1", "v2")
	for range 5 {
		other.advance(t, time.Second)
		away.advance(t, time.Second)
	}
	other.awaitRecorded(t, "v1", "v2")
	other.setVersions("v1")
	other.advance(t, time.Second)
	other.awaitRecorded(t, "v1", "v2")
	before := ms.snapshot().Items[0]
	require.Contains(t, string(before.Value), "v2")
	ms.mu.Lock()
	ms.watchers = append(ms.watchers, away.history)
	ms.mu.Unlock()
	away.history.ApplySnapshot(ms.snapshot())
	time.Sleep(20 * time.Millisecond)
	wrong := 0
	for range 10 {
		away.advance(t, time.Second)
		time.Sleep(5 * time.Millisecond)
		if !strings.Contains(string(ms.snapshot().Items[0].Value), "v2") {
			wrong++
		}
		other.advance(t, time.Second)
		time.Sleep(5 * time.Millisecond)
		if !strings.Contains(string(ms.snapshot().Items[0].Value), "v2") {
			wrong++
		}
	}
	require.Zero(t, wrong)
}
