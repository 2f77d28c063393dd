package peering_test

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peering"
)

// Guards against digests of ever new senders, of which a host kept the names and the reports.
func TestDigestsOfEverNewSendersTakeBoundedMemory(t *testing.T) {
	const (
		digests       = 4000
		nameBytes     = 20 << 10
		maxHeapGrowth = 24 << 20
	)
	hosts := startHosts(t, 2)
	conn, err := net.Dial("udp", hosts[0].exchange.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range digests {
		name := fmt.Sprint(i, strings.Repeat("x", nameBytes))
		data, err := peering.EncodeDigest(peering.Digest{
			Host: name, Zone: name, Sequence: uint64(i + 1), Tier: []peering.Tier{peering.TierReport, peering.TierZone}[i%2],
		})
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
		if i%8 == 7 {
			// The host reads them at its own pace.
			runtime.Gosched()
		}
	}
	require.Eventually(t, func() bool {
		runtime.GC()
		runtime.ReadMemStats(&after)
		return int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxHeapGrowth
	}, waitTimeout/4, pollInterval)
	t.Logf("growth of the heap %d KiB", (int64(after.HeapAlloc)-int64(before.HeapAlloc))>>10)
	hosts[0].reset()
	require.Eventually(t, func() bool { requests, known := hosts[0].peerTotals(); return requests == 1 && known == 1 }, waitTimeout, pollInterval)
}
