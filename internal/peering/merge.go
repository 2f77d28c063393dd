package peering

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

// mergeDigests combines digests into one. It adds up loads and counts, keeps the highest revision of each host,
// and takes the union of the rest.
func mergeDigests(digests ...Digest) Digest {
	var out Digest
	loads := make(map[Key]Load)
	weights := make(map[EndpointWeights]bool)
	crashes := make(map[string]CrashReport)
	cleared := make(map[string]ClearedRequest)
	out.HostRevisions = make(map[string]metastore.Revision)
	out.UnreachableBy = make(map[string]int)
	for _, dg := range digests {
		for _, ld := range dg.Loads {
			sum := loads[ld.Endpoint]
			sum.Endpoint = ld.Endpoint
			sum.Requests += ld.Requests
			sum.Tokens += ld.Tokens
			sum.PrefillTokens += ld.PrefillTokens
			loads[ld.Endpoint] = sum
		}
		for _, we := range dg.Weights {
			weights[we] = true
		}
		for _, cr := range dg.Crashes {
			crashes[cr.Fingerprint+cr.CrashID] = cr
		}
		for _, cl := range dg.Cleared {
			if known, ok := cleared[cl.Fingerprint]; !ok || cl.AgeUs < known.AgeUs {
				cleared[cl.Fingerprint] = cl
			}
		}
		for id, count := range dg.UnreachableBy {
			out.UnreachableBy[id] += count
		}
		for name, revision := range dg.HostRevisions {
			out.HostRevisions[name] = revision.Latest(out.HostRevisions[name])
		}
		if dg.Tier == TierDirect || dg.Tier == TierReport {
			out.HostRevisions[dg.Host] = dg.AppliedRevision
		}
	}
	for _, ld := range loads {
		out.Loads = append(out.Loads, ld)
	}
	for we := range weights {
		out.Weights = append(out.Weights, we)
	}
	for _, cr := range crashes {
		out.Crashes = append(out.Crashes, cr)
	}
	// Only the newest crashes are kept. The hosts that observed the older ones report them again.
	slices.SortFunc(out.Crashes, func(a, b CrashReport) int { return cmp.Compare(a.AgeUs, b.AgeUs) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxMergedCrashes)]
	for _, cl := range cleared {
		out.Cleared = append(out.Cleared, cl)
	}
	out.Statements = mergeStatements(digests)
	mergePartState(&out, digests)
	mergeTimes(&out, digests)
	mergeRollouts(&out, digests)
	return out
}

// mergeStatements returns for each start of an endpoint the newest limit, the longest wait and whether it leaves, at most
// maxMergedStatements of them. Those that leave come first, since no later response to another host may say so.
func mergeStatements(digests []Digest) []EndpointStatement {
	type startKey struct {
		endpoint    string
		startTimeMs int64
	}
	merged := make(map[startKey]EndpointStatement)
	for _, dg := range digests {
		for _, es := range dg.Statements {
			key := startKey{es.Endpoint, es.StartTimeMs}
			known, ok := merged[key]
			if !ok {
				merged[key] = es
				continue
			}
			if es.LimitAgeUs != nil && (known.LimitAgeUs == nil || *es.LimitAgeUs < *known.LimitAgeUs) {
				known.PerSecond, known.LimitAgeUs = es.PerSecond, es.LimitAgeUs
			}
			known.IsLeaving = known.IsLeaving || es.IsLeaving
			known.WaitUs, known.HoldUs = max(known.WaitUs, es.WaitUs), max(known.HoldUs, es.HoldUs)
			if es.BrittleAgeUs != nil && (known.BrittleAgeUs == nil || *es.BrittleAgeUs < *known.BrittleAgeUs) {
				known.IsBrittle, known.Rejections, known.BrittleAgeUs = es.IsBrittle, es.Rejections, es.BrittleAgeUs
			}
			merged[key] = known
		}
	}
	out := slices.SortedFunc(maps.Values(merged), func(a, b EndpointStatement) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out[:min(len(out), maxMergedStatements)]
}

// rank orders statements by what they are worth to other hosts: those that leave, then by the age of the limit, then waits.
func (es EndpointStatement) rank() int64 {
	switch {
	case es.IsLeaving:
		return -1
	case es.HoldUs > 0:
		return 0
	case es.LimitAgeUs != nil:
		return *es.LimitAgeUs
	case es.BrittleAgeUs != nil:
		return *es.BrittleAgeUs
	default:
		return math.MaxInt64
	}
}

// mergePartState merges the reports about parts of prompts into out.
func mergePartState(out *Digest, digests []Digest) {
	type crashKey struct{ crash, reporter string }
	crashes := make(map[crashKey]PartCrash)
	verdicts := make(map[string]PartVerdict)
	cleared := make(map[string]ClearedPart)
	for _, dg := range digests {
		for _, pc := range dg.PartCrashes {
			key := crashKey{pc.CrashID, pc.Reporter}
			if known, ok := crashes[key]; !ok || pc.AgeUs > known.AgeUs {
				crashes[key] = pc
			}
		}
		for _, pv := range dg.PartVerdicts {
			if known, ok := verdicts[pv.Part]; !ok || comparePartVerdicts(pv, known) < 0 {
				verdicts[pv.Part] = pv
			}
		}
		for _, cp := range dg.ClearedParts {
			if known, ok := cleared[cp.Part]; !ok || cp.AgeUs < known.AgeUs {
				cleared[cp.Part] = cp
			}
		}
	}
	out.PartCrashes = slices.SortedFunc(maps.Values(crashes), func(a, b PartCrash) int { return cmp.Compare(a.AgeUs, b.AgeUs) })
	accused := 0
	for i, pc := range out.PartCrashes {
		if accused >= maxAccusedParts || i >= maxMergedCrashes {
			out.PartCrashes = out.PartCrashes[:i]
			break
		}
		accused += len(pc.Parts)
	}
	out.PartVerdicts = slices.SortedFunc(maps.Values(verdicts), comparePartVerdicts)
	out.PartVerdicts = out.PartVerdicts[:min(len(out.PartVerdicts), maxMergedVerdicts)]
	out.ClearedParts = slices.SortedFunc(maps.Values(cleared), func(a, b ClearedPart) int { return cmp.Compare(a.AgeUs, b.AgeUs) })
	out.ClearedParts = out.ClearedParts[:min(len(out.ClearedParts), maxClearedParts)]
}
