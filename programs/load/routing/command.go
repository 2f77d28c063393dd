package routing

import (
	"context"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"slices"

	"github.com/urfave/cli/v3"
)

// Command returns the command that simulates routing policies and compares them.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "routing",
		Usage: "measure the routing decision against baselines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed of the arrivals"},
			&cli.StringFlag{Name: "plot", Usage: "a directory for plots, one SVG file a workload"},
			&cli.BoolFlag{Name: "summary", Usage: "print crew p95 and recomputed share only, a line each event"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			for _, wl := range workloads {
				if err := measureWorkload(cmd, wl); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// measureWorkload simulates every event of a workload and plots the crew p95 if a plot directory is set.
func measureWorkload(cmd *cli.Command, wl workload) error {
	trace := wl.generateTrace(cmd.Uint64("seed"))
	crewP95 := make(map[string][]float64)
	for _, ev := range events {
		if err := measureEvent(cmd.Root().Writer, wl, ev, trace, cmd.Bool("summary"), crewP95); err != nil {
			return err
		}
	}
	if cmd.String("plot") == "" {
		return nil
	}
	var names []string
	for _, po := range newPolicies(eventNone) {
		names = append(names, po.name())
	}
	title := fmt.Sprintf("%s, seed %d", wl.name, cmd.Uint64("seed"))
	return plotCrewP95(filepath.Join(cmd.String("plot"), "routing-"+wl.name+".svg"), title, names, crewP95)
}

// newPolicies returns the policies to compare. Prewarming makes a difference only when weights change.
func newPolicies(ev event) []policy {
	out := []policy{
		newBergamotway(prewarmNone), &roundRobin{},
		leastOutstanding{},
		boundedAffinity{importsHistories: true},
		boundedAffinity{},
	}
	if ev == eventWeightsSwap {
		out = append(out, newBergamotway(prewarmAfter), newBergamotway(prewarmEarly))
	}
	return out
}

// measureEvent simulates every policy with one event, prints the statistics, and appends the p95 of
// the crew class to crewP95, by policy.
func measureEvent(out io.Writer, wl workload, ev event, trace []request, isSummary bool, crewP95 map[string][]float64) error {
	for i, po := range newPolicies(ev) {
		st := simulate(wl, ev, po, slices.Clone(trace))
		crewP95[po.name()] = append(crewP95[po.name()], p95(st.ttft["crew"]))
		if isSummary {
			_, err := fmt.Fprintf(out, "%-10s %-18s %-18s crew %.3f desk %.3f draft %.2f recomputed %.3f refused %.4f crashes %d bound %.3f after-event %.3f warmed %.0f\n", wl.name, ev, po.name(),
				p95(st.ttft["crew"]), p95(st.ttft["desk"]), p95(st.ttft["draft"]), st.recomputedTokens/max(1, st.historyTokens),
				float64(st.refused)/float64(st.requests), st.crashes, p95(st.lowerBound["crew"]), p95(st.crewTTFTInEvent), st.prewarmedTokens)
			if err != nil {
				return err
			}
			continue
		}
		if err := printStats(out, po.name(), wl, ev, st); err != nil {
			return err
		}
		// The lower bound is printed once, from the simulation of the first policy.
		if i > 0 {
			continue
		}
		prefix := fmt.Sprintf("lower-bound.%s.%s.", wl.name, ev)
		if _, err := fmt.Fprintf(out, "%screw-ttft-p95 %.4f s\n%sdesk-ttft-p95 %.4f s\n",
			prefix, p95(st.lowerBound["crew"]), prefix, p95(st.lowerBound["desk"])); err != nil {
			return err
		}
	}
	return nil
}

// printStats prints the measurements of a policy, one line each.
func printStats(out io.Writer, name string, wl workload, ev event, st stats) error {
	prefix := fmt.Sprintf("%s.%s.%s.", name, wl.name, ev)
	bytesPerTokenSaved := math.NaN()
	if avoidedTokens := st.historyTokens - st.recomputedTokens; avoidedTokens > 0 {
		bytesPerTokenSaved = st.importedTokens * bytesPerToken / avoidedTokens
	}
	_, err := fmt.Fprintf(out,
		"%screw-ttft-p95 %.4f s\n%sdesk-ttft-p95 %.4f s\n%srecomputed-share %.4f 1\n%slink-use-peak %.4f 1\n%srefused-share %.4f 1\n%simported-bytes-per-token-saved %.0f B\n%slate-seconds %d 1\n",
		prefix, p95(st.ttft["crew"]), prefix, p95(st.ttft["desk"]), prefix, st.recomputedTokens/max(1, st.historyTokens),
		prefix, st.peakLinkUse, prefix, float64(st.refused)/float64(max(1, st.requests)), prefix, bytesPerTokenSaved, prefix, st.lateSeconds())
	return err
}

// lateSeconds returns the number of seconds in which more than 1 in 100 of the requests that arrived
// had a time to first token above twice the target.
func (st stats) lateSeconds() int {
	n := 0
	for _, counts := range st.lateBySecond {
		if counts[0]*100 > counts[1] {
			n++
		}
	}
	return n
}

// p95 returns the 95th percentile of the values, or NaN if there are none.
func p95(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}
