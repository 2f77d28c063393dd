package canary

import (
	"time"

	"github.com/bergamotway/bergamotway/internal/rendezvous"
)

const (
	// slowFactor is the ratio to the typical time from which a response counts as slow.
	slowFactor = 3
	// estimateFloor is added to estimated times, so that very short ones do not make ratios large.
	estimateFloor = 10 * time.Millisecond
	// medianStep is the relative step by which the median follows each response.
	medianStep = 0.04
	// minTypical is the number of responses after which the median is used.
	minTypical = 12
	// spreadGroups is the number of groups of endpoints by which bad responses are counted.
	spreadGroups = 16
)

type (
	// Response is a response of an endpoint as a host observed it. Attempts without a response are not observed.
	Response struct {
		Service  string
		Software string
		Route    string
		// Endpoint is the identifier of the endpoint.
		Endpoint string
		// Failed is set if the endpoint responded with an error.
		Failed bool
		// IsCutShort is set if there was no first byte until the client or the deadline ended the attempt, after FirstByte. It tells
		// something only if the response is slow already.
		IsCutShort bool
		// Cold is set if the endpoint started recently.
		Cold bool
		// FirstByte is the time to the first byte, and Estimate the expected time; zero if there is none.
		FirstByte, Estimate time.Duration
	}

	// Counts are cumulative counts of responses.
	Counts struct {
		Responses, Failed, Slow uint64
		// At counts responses, FailedAt failures and SlowAt slow responses by group of endpoints.
		At, FailedAt, SlowAt Spread
	}

	// Spread counts responses by group of endpoints, so that it shows whether they come from a single one.
	Spread = [spreadGroups]uint64

	// Evidence is what one or several hosts have observed of a route.
	Evidence struct {
		Route string
		// New and Old are the counts of the new version and of the others.
		New, Old Counts
	}

	// routeKey identifies a route of a service.
	routeKey struct{ service, route string }

	// typical follows the median of the old versions' times to the first byte, relative to the estimates.
	typical struct {
		median    float64
		responses int
	}
)

// Add returns the sum of two counts.
func (co Counts) Add(other Counts) Counts {
	return Counts{
		Responses: co.Responses + other.Responses, Failed: co.Failed + other.Failed, Slow: co.Slow + other.Slow,
		At: addSpreads(co.At, other.At), FailedAt: addSpreads(co.FailedAt, other.FailedAt), SlowAt: addSpreads(co.SlowAt, other.SlowAt),
	}
}

func addSpreads(a, b Spread) Spread {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

// sumEvidence adds up evidence by route.
func sumEvidence(lists ...[]Evidence) map[string]Evidence {
	out := make(map[string]Evidence)
	for _, list := range lists {
		for _, ev := range list {
			sum := out[ev.Route]
			out[ev.Route] = Evidence{Route: ev.Route, New: sum.New.Add(ev.New), Old: sum.Old.Add(ev.Old)}
		}
	}
	return out
}

// ratio returns the time to the first byte relative to the estimate.
func (re Response) ratio() float64 {
	return float64(re.FirstByte) / float64(re.Estimate+estimateFloor)
}

// count returns the response as counts.
func (re Response) count(isSlow bool) Counts {
	out := Counts{Responses: 1}
	group := rendezvous.Hash(re.Endpoint) % spreadGroups
	out.At[group] = 1
	if re.Failed {
		out.Failed, out.FailedAt[group] = 1, 1
	}
	if isSlow {
		out.Slow, out.SlowAt[group] = 1, 1
	}
	return out
}

// observe moves the median towards a ratio.
func (ty *typical) observe(ratio float64) {
	ty.responses++
	switch {
	case ty.responses == 1:
		ty.median = ratio
	case ratio > ty.median:
		ty.median *= 1 + medianStep
	default:
		ty.median /= 1 + medianStep
	}
}

// isSlow reports whether a ratio is several times the median.
func (ty *typical) isSlow(ratio float64) bool {
	return ty != nil && ty.responses >= minTypical && ratio > slowFactor*ty.median
}
