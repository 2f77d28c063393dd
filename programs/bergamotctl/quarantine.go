package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/metastore"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
	"github.com/bergamotway/bergamotway/platform"
)

// blockedPart is a blocked part in the output with --json.
type blockedPart struct {
	Part           string   `json:"part"`
	Crashes        int      `json:"crashes"`
	Strikes        int      `json:"strikes"`
	LastCrashMs    int64    `json:"last-crash-ms"`
	BlockedUntilMs int64    `json:"blocked-until-ms"`
	Reporters      []string `json:"reporters"`
	ByOperator     bool     `json:"by-operator"`
}

func quarantineCommand() *cli.Command {
	return &cli.Command{
		Name: "quarantine", Usage: "see and change which parts of prompts are blocked because they crash endpoints",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "metadata-store", Usage: "the ip:port of the platform's metadata store",
				Sources: cli.EnvVars("BERGAMOTCTL_METADATA_STORE"),
			},
		},
		Commands: []*cli.Command{
			{Name: "list", Usage: "print the blocked parts, the strongest evidence first", Action: listParts},
			{Name: "block", Usage: "block a part for an hour, whatever its responses are", ArgsUsage: "PART", Action: blockPart},
			{Name: "clear", Usage: "clear a part on all hosts", ArgsUsage: "PART", Action: clearPart},
		},
	}
}

func newMetadataStore(cmd *cli.Command) (metastore.Store, error) {
	address := cmd.String("metadata-store")
	if address == "" {
		return nil, &usageError{message: "--metadata-store is needed"}
	}
	return platform.NewMetadataStore(address, nil), nil
}

// newPartClient returns a client of the metadata store and the part that the command names.
func newPartClient(cmd *cli.Command) (store metastore.Store, part string, err error) {
	if part = cmd.Args().First(); part == "" || cmd.Args().Len() > 1 {
		return nil, "", &usageError{message: "one PART is needed"}
	}
	store, err = newMetadataStore(cmd)
	return store, quarantine.PartID(part), err
}

func listParts(ctx context.Context, cmd *cli.Command) error {
	store, err := newMetadataStore(cmd)
	if err != nil {
		return err
	}
	sn, err := store.List(ctx, verdicts.Prefix)
	if err != nil {
		return err
	}
	now := time.Now()
	var list []quarantine.Verdict
	for _, it := range sn.Items {
		ve, err := verdicts.Decode(it.Value, now)
		if err != nil {
			if _, err = fmt.Fprintf(cmd.Root().ErrWriter, "bergamotctl: item %s: %v\n", it.Key, err); err != nil {
				return err
			}
			continue
		}
		list = append(list, ve)
	}
	slices.SortFunc(list, quarantine.CompareVerdicts)
	if cmd.Bool("json") {
		return printPartsJSON(cmd, list)
	}
	return printParts(cmd, list, now)
}

func printPartsJSON(cmd *cli.Command, list []quarantine.Verdict) error {
	out := make([]blockedPart, 0, len(list))
	for _, ve := range list {
		out = append(out, blockedPart{
			Part: ve.Part, Crashes: ve.Crashes, Strikes: ve.Strikes, LastCrashMs: ve.LastCrash.UnixMilli(),
			BlockedUntilMs: ve.BlockedUntil().UnixMilli(), Reporters: ve.Reporters, ByOperator: ve.ByOperator,
		})
	}
	return printJSON(cmd, out)
}

func printParts(cmd *cli.Command, list []quarantine.Verdict, now time.Time) error {
	tw := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	rows := []string{"PART\tCRASHES\tSTRIKES\tLAST CRASH\tBLOCKED FOR\tBY OPERATOR\tREPORTERS"}
	for _, ve := range list {
		rows = append(rows, fmt.Sprintf("%q\t%d\t%d\t%s ago\t%s\t%t\t%s", ve.Part, ve.Crashes, ve.Strikes,
			now.Sub(ve.LastCrash).Round(time.Second), max(0, ve.BlockedUntil().Sub(now)).Round(time.Second), ve.ByOperator, strings.Join(ve.Reporters, " ")))
	}
	if _, err := fmt.Fprintln(tw, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return tw.Flush()
}

func blockPart(ctx context.Context, cmd *cli.Command) error {
	store, part, err := newPartClient(cmd)
	if err != nil {
		return err
	}
	ve := quarantine.NewOperatorVerdict(part, time.Now())
	ve.Reporters = []string{cmd.String("author")}
	value, err := verdicts.Encode(ve)
	if err != nil {
		return err
	}
	revision, err := store.Commit(ctx, metastore.Transaction{Puts: []metastore.Put{{Key: verdicts.Key(verdicts.Prefix, part), Value: value}}})
	if err != nil {
		return err
	}
	return printAccepted(cmd, revision.Number)
}

func clearPart(ctx context.Context, cmd *cli.Command) error {
	store, part, err := newPartClient(cmd)
	if err != nil {
		return err
	}
	key := verdicts.Key(verdicts.Prefix, part)
	sn, err := store.List(ctx, key)
	if err != nil {
		return err
	}
	if len(sn.Items) == 0 {
		return &notFoundError{kind: "blocked part", name: part}
	}
	revision, err := store.Commit(ctx, metastore.Transaction{Removals: []string{key}})
	if err != nil {
		return err
	}
	return printAccepted(cmd, revision.Number)
}
