package peering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/peering"
)

// largeDigestTimeout is how long 30 hosts may take to exchange the largest digests on a busy machine. No bound depends on it.
const largeDigestTimeout = time.Minute

// reportParts lets a host report many crashes, cleared parts and verdicts. Hosts with a higher index report older ones.
func (ho *host) reportParts(index int) {
	var dg peering.Digest
	for i := range 20 {
		pc := peering.PartCrash{CrashID: fmt.Sprintf("engine-%d-%d@12345678", index, i), Service: "engines", Reporter: ho.name, AgeUs: int64(1000 + index*20 + i)}
		for part := range 10 {
			pc.Parts = append(pc.Parts, fmt.Sprintf("%04x%04x", i, part))
		}
		dg.PartCrashes = append(dg.PartCrashes, pc)
		dg.ClearedParts = append(dg.ClearedParts, peering.ClearedPart{Part: fmt.Sprintf("%04x%04x", index, i)})
		dg.PartVerdicts = append(dg.PartVerdicts, peering.PartVerdict{Part: fmt.Sprintf("%04x%04x", index, i), Crashes: i, Strikes: 1, AgeUs: 1, Reporters: []string{ho.name, "other"}})
	}
	dg.PartVerdicts = append(dg.PartVerdicts, peering.PartVerdict{Part: "strong", Crashes: 9, Strikes: 2, AgeUs: int64(1000 + index)})
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.extra = dg
}

// Guards against digests that grow with the number of crashes, and against leaving out the strongest verdicts.
func TestTieredExchangeKeepsNewestCrashesAndStrongestVerdicts(t *testing.T) {
	hosts := startHosts(t, 30)
	for i, ho := range hosts {
		ho.reportParts(i)
	}
	for _, ho := range hosts {
		require.Eventually(t, func() bool {
			ho.mu.Lock()
			defer ho.mu.Unlock()
			dg := ho.last
			if len(dg.PartVerdicts) < 32 || len(dg.PartCrashes) < 50 || len(dg.ClearedParts) < 200 {
				return false
			}
			return dg.PartVerdicts[0].Part == "strong" && dg.PartVerdicts[0].AgeUs == 1000 && dg.PartCrashes[0].AgeUs == 1000
		}, largeDigestTimeout, pollInterval, ho.name)
		ho.mu.Lock()
		data, err := peering.EncodeDigest(ho.last)
		ho.mu.Unlock()
		require.NoError(t, err)
		require.Less(t, len(data), 40<<10)
		decoded, err := peering.DecodeDigest(data)
		require.NoError(t, err)
		require.Equal(t, 9, decoded.PartVerdicts[0].Crashes)
	}
}
