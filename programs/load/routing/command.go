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

// Command returns the command that measures routing.
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
				if err := measureAll(cmd, wl); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func measureAll(cmd *cli.Command, wl workload) error {
	trace := wl.trace(cmd.Uint64("seed"))
	crew := make(map[string][]float64)
	for _, ev := range events {
		if err := measure(cmd.Root().Writer, wl, ev, trace, cmd.Bool("summary"), crew); err != nil {
			return err
		}
	}
	if cmd.String("plot") == "" {
		return nil
	}
	var names []string
	for _, po := range policies(eventNone) {
		names = append(names, po.name())
	}
	title := fmt.Sprintf("%s, seed %d", wl.name, cmd.Uint64("seed"))
	return drawCrew(filepath.Join(cmd.String("plot"), "routing-"+wl.name+".svg"), title, names, crew)
}

func policies(ev event) []policy {
	out := []policy{
		newBergamotway(prewarmNone), &roundRobin{},
		leastOutstanding{},
		boundedAffinity{isImporting: true},
		boundedAffinity{},
	}
	if ev == eventWeightsSwap {
		out = append(out, newBergamotway(prewarmAfter), newBergamotway(prewarmEarly))
	}
	return out
}

func measure(out io.Writer, wl workload, ev event, trace []request, isSummary bool, crew map[string][]float64) error {
	for i, po := range policies(ev) {
		st := simulate(wl, ev, po, slices.Clone(trace))
		crew[po.name()] = append(crew[po.name()], p95(st.ttft["crew"]))
		if isSummary {
			_, err := fmt.Fprintf(out, "%-10s %-18s %-18s crew %.3f desk %.3f draft %.2f recomputed %.3f refused %.4f crashes %d bound %.3f after-event %.3f warmed %.0f\n", wl.name, ev, po.name(),
				p95(st.ttft["crew"]), p95(st.ttft["desk"]), p95(st.ttft["draft"]), st.recomputed/max(1, st.history),
				float64(st.refused)/float64(st.requests), st.crashes, p95(st.bound["crew"]), p95(st.afterEvent), st.warmed)
			if err != nil {
				return err
			}
			continue
		}
		if err := printStats(out, po.name(), wl, ev, st); err != nil {
			return err
		}
		if i > 0 {
			continue
		}
		prefix := fmt.Sprintf("lower-bound.%s.%s.", wl.name, ev)
		if _, err := fmt.Fprintf(out, "%screw-ttft-p95 %.4f s\n%sdesk-ttft-p95 %.4f s\n",
			prefix, p95(st.bound["crew"]), prefix, p95(st.bound["desk"])); err != nil {
			return err
		}
	}
	return nil
}

func printStats(out io.Writer, name string, wl workload, ev event, st stats) error {
	prefix := fmt.Sprintf("%s.%s.%s.", name, wl.name, ev)
	saved := math.NaN()
	if avoided := st.history - st.recomputed; avoided > 0 {
		saved = st.imported * bytesPerToken / avoided
	}
	_, err := fmt.Fprintf(out,
		"%screw-ttft-p95 %.4f s\n%sdesk-ttft-p95 %.4f s\n%srecomputed-share %.4f 1\n%slink-use-peak %.4f 1\n%srefused-share %.4f 1\n%simported-bytes-per-token-saved %.0f B\n%slate-seconds %d 1\n",
		prefix, p95(st.ttft["crew"]), prefix, p95(st.ttft["desk"]), prefix, st.recomputed/max(1, st.history),
		prefix, st.linkPeak, prefix, float64(st.refused)/float64(max(1, st.requests)), prefix, saved, prefix, st.lateSeconds())
	return err
}

// lateSeconds returns how many seconds had more than 1 in 100 of their requests late by more than
// twice the target.
func (st stats) lateSeconds() int {
	n := 0
	for _, late := range st.lateBySec {
		if late[0]*100 > late[1] {
			n++
		}
	}
	return n
}

func p95(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(0.95*float64(len(sorted))))-1]
}
