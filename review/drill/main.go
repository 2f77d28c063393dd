// Command drill runs the scripts of the review: it starts hosts as processes beside stand-ins of the clients, the endpoints and
// the platform, and checks a rule from what these see.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCannot   = 2
	maxDrillTime = 110 * time.Second
)

// drills maps the name of a drill to what runs it. It returns the violations of the rule.
var drills = map[string]func(ctx context.Context, bed *testbed, trouble bool) ([]string, error){
	"cut-short":     runCutShort,
	"two-versions":  runTwoVersions,
	"ran-refused":   runRanRefused,
	"foreign-cache": runForeignCache,
	"taken-up":      runTakenUp,
	"last-key":      runLastKey,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "endpoint" {
		if err := runEndpoint(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCannot)
		}
		return
	}
	os.Exit(run())
}

func run() int {
	name := flag.String("drill", "", "the drill to run")
	gateway := flag.String("gateway", "", "the program of the deploy file")
	template := flag.String("template", "", "the template of the deploy file")
	recordPath := flag.String("record", "", "the file that receives what was sent, answered and run")
	flag.Parse()
	drill, ok := drills[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no drill %q\n", *name)
		return exitCannot
	}
	trouble := os.Getenv("TROUBLE") != "0"
	bed, err := newTestbed(*gateway, *template, *recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer bed.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(maxDrillTime):
		}
		bed.close()
		os.Exit(exitCannot)
	}()
	bed.record.printf("drill %s, disruption %v", *name, trouble)
	violations, err := drill(context.Background(), bed, trouble)
	if err != nil {
		bed.record.printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	for _, violation := range violations {
		bed.record.printf("VIOLATION %s", violation)
	}
	bed.record.printf("violations: %d", len(violations))
	fmt.Printf("%s: disruption %v, violations: %d\n", *name, trouble, len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
