package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/settings"
)

// submitChange applies edit to the stored configuration and prints the accepted revision. With --wait it also
// waits until the revision is in force on all hosts that --hosts names.
func submitChange(ctx context.Context, cmd *cli.Command, edit func(*configuration.Document) error) error {
	ed, err := newEditor(cmd)
	if err != nil {
		return err
	}
	revision, err := ed.Change(ctx, edit)
	if err != nil {
		return err
	}
	if err = printAccepted(cmd, revision); err != nil {
		return err
	}
	if !cmd.Bool("wait") {
		return nil
	}
	return waitUntilInForce(ctx, cmd, revision)
}

// printAccepted prints the revision of an accepted change.
func printAccepted(cmd *cli.Command, revision uint64) error {
	if cmd.Bool("json") {
		return printJSON(cmd, map[string]uint64{"accepted-revision": revision})
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "accepted revision %d\n", revision)
	return err
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "replace the configuration by a file, JSON with comments", ArgsUsage: "FILE",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var doc configuration.Document
			if err := settings.Load(cmd.Args().First(), &doc); err != nil {
				return err
			}
			return submitChange(ctx, cmd, func(old *configuration.Document) error {
				*old = doc
				return nil
			})
		},
	}
}

func classCommand() *cli.Command {
	return &cli.Command{
		Name: "class", Usage: "see and change classes of work",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "create or change a class", ArgsUsage: "CLASS",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "model", Usage: "the model that serves the class"},
					&cli.DurationFlag{Name: "first-token", Usage: "the target for the time to first token"},
					&cli.FloatFlag{Name: "cost-target", Usage: "the target for cost, in accelerator seconds"},
					&cli.IntFlag{Name: "priority", Usage: "a lower number goes first"},
				},
				Action: setClass,
			},
			{
				Name: "remove", Usage: "remove a class", ArgsUsage: "CLASS",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return submitChange(ctx, cmd, func(doc *configuration.Document) error {
						i := slices.IndexFunc(doc.Classes, func(c configuration.Class) bool { return c.Name == cmd.Args().First() })
						if i < 0 {
							return &notFoundError{kind: "class", name: cmd.Args().First()}
						}
						doc.Classes = slices.Delete(doc.Classes, i, i+1)
						return nil
					})
				},
			},
		},
	}
}

func setClass(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	return submitChange(ctx, cmd, func(doc *configuration.Document) error {
		newClass := configuration.Class{Name: name}
		c := findOrAdd(&doc.Classes, newClass, func(c configuration.Class) bool { return c.Name == name })
		if cmd.IsSet("model") {
			c.Model = cmd.String("model")
		}
		if cmd.IsSet("first-token") {
			c.FirstTokenTarget = settings.Duration(cmd.Duration("first-token"))
		}
		if cmd.IsSet("cost-target") {
			c.CostTarget = cmd.Float("cost-target")
		}
		if cmd.IsSet("priority") {
			c.Priority = cmd.Int("priority")
		}
		return nil
	})
}

func teamCommand() *cli.Command {
	return &cli.Command{
		Name: "team", Usage: "see and change teams",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "create a team or replace its token", ArgsUsage: "TEAM",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "token", Usage: "the bearer token; only its hash is kept", Required: true},
					&cli.FloatFlag{Name: "weight", Usage: "the fair share relative to other teams"},
				},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					name := cmd.Args().First()
					return submitChange(ctx, cmd, func(doc *configuration.Document) error {
						doc.Teams = slices.DeleteFunc(doc.Teams, func(t configuration.Team) bool { return t.Name == name })
						doc.Teams = append(doc.Teams, configuration.Team{
							Name:        name,
							TokenHashes: []string{configuration.HashToken(cmd.String("token"))},
							Weight:      cmd.Float("weight"),
						})
						return nil
					})
				},
			},
		},
	}
}

func endpointCommand() *cli.Command {
	return &cli.Command{
		Name: "endpoint", Usage: "see and change endpoints",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "create or change an endpoint", ArgsUsage: "ENDPOINT",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "address", Usage: "its ip:port"},
					&cli.StringFlag{Name: "zone", Usage: "its availability zone"},
					&cli.StringFlag{Name: "model", Usage: "the model that it serves"},
					&cli.StringFlag{Name: "provider", Usage: "its provider"},
					&cli.BoolFlag{Name: "checks-fencing", Usage: "it refuses orders with an old fencing number"},
				},
				Action: setEndpoint,
			},
			{
				Name: "remove", Usage: "remove an endpoint", ArgsUsage: "ENDPOINT",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return submitChange(ctx, cmd, func(doc *configuration.Document) error {
						n := len(doc.Endpoints)
						doc.Endpoints = slices.DeleteFunc(doc.Endpoints, func(e configuration.Endpoint) bool { return e.Name == cmd.Args().First() })
						if len(doc.Endpoints) == n {
							return &notFoundError{kind: "endpoint", name: cmd.Args().First()}
						}
						return nil
					})
				},
			},
			endpointLeavingCommand("leave", "give an endpoint no new work", true),
			endpointLeavingCommand("return", "give an endpoint new work again", false),
		},
	}
}

func setEndpoint(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	return submitChange(ctx, cmd, func(doc *configuration.Document) error {
		newEndpoint := configuration.Endpoint{Name: name}
		e := findOrAdd(&doc.Endpoints, newEndpoint, func(e configuration.Endpoint) bool { return e.Name == name })
		setString(cmd, "address", &e.Address)
		setString(cmd, "zone", &e.Zone)
		setString(cmd, "model", &e.Model)
		setString(cmd, "provider", &e.Provider)
		if cmd.IsSet("checks-fencing") {
			e.ChecksFencing = cmd.Bool("checks-fencing")
		}
		return nil
	})
}

func modelCommand() *cli.Command {
	return &cli.Command{
		Name: "model", Usage: "see and change models",
		Commands: []*cli.Command{
			{
				Name: "set", Usage: "create or change a model", ArgsUsage: "MODEL",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "version", Usage: "the weight version of a new model"},
					&cli.IntFlag{Name: "window", Usage: "the longest history, in tokens"},
					&cli.FloatFlag{Name: "prefill-rate", Usage: "the speed of reading, in tokens/s"},
					&cli.IntFlag{Name: "cold-limit", Usage: "the most requests on an endpoint in cold start"},
					&cli.DurationFlag{Name: "cold-time", Usage: "the length of a cold start"},
				},
				Action: setModel,
			},
		},
	}
}

// setModel creates or changes a model. It refuses to change the weight version of an existing model, which only a
// rollout may do.
func setModel(ctx context.Context, cmd *cli.Command) error {
	name := cmd.Args().First()
	return submitChange(ctx, cmd, func(doc *configuration.Document) error {
		newModel := configuration.Model{Name: name, Version: cmd.String("version")}
		m := findOrAdd(&doc.Models, newModel, func(m configuration.Model) bool { return m.Name == name })
		if cmd.IsSet("version") && cmd.String("version") != m.Version {
			return &usageError{message: "the version of a model in service changes by rollout"}
		}
		if cmd.IsSet("window") {
			m.ContextWindow = cmd.Int("window")
		}
		if cmd.IsSet("prefill-rate") {
			m.PrefillRate = cmd.Float("prefill-rate")
		}
		if cmd.IsSet("cold-limit") {
			m.ColdRequestLimit = cmd.Int("cold-limit")
		}
		if cmd.IsSet("cold-time") {
			m.ColdStartTime = settings.Duration(cmd.Duration("cold-time"))
		}
		return nil
	})
}

// findOrAdd returns a pointer to the first item that matches, or to newItem, appended, if there is none.
func findOrAdd[T any](items *[]T, newItem T, matches func(T) bool) *T {
	i := slices.IndexFunc(*items, matches)
	if i < 0 {
		*items = append(*items, newItem)
		i = len(*items) - 1
	}
	return &(*items)[i]
}

// setString assigns the value of a flag to target if the flag is set.
func setString(cmd *cli.Command, flag string, target *string) {
	if cmd.IsSet(flag) {
		*target = cmd.String(flag)
	}
}

// endpointLeavingCommand returns a command that sets Leaving of an endpoint to leaving.
func endpointLeavingCommand(name, usage string, leaving bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ENDPOINT",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return submitChange(ctx, cmd, func(doc *configuration.Document) error {
				for i := range doc.Endpoints {
					if doc.Endpoints[i].Name == cmd.Args().First() {
						doc.Endpoints[i].Leaving = leaving
						return nil
					}
				}
				return &notFoundError{kind: "endpoint", name: cmd.Args().First()}
			})
		},
	}
}

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name: "zone", Usage: "take availability zones out and bring them back",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "give an availability zone no new work", ArgsUsage: "ZONE",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return changeZone(ctx, cmd, func(z *configuration.Zone) { z.OutOfService = true })
				},
			},
			{
				Name: "in", Usage: "bring an availability zone back with a growing share", ArgsUsage: "ZONE",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return changeZone(ctx, cmd, func(z *configuration.Zone) {
						z.OutOfService = false
						z.InServiceSinceMs = time.Now().UnixMilli()
					})
				},
			},
		},
	}
}

func changeZone(ctx context.Context, cmd *cli.Command, edit func(*configuration.Zone)) error {
	return submitChange(ctx, cmd, func(doc *configuration.Document) error {
		for i := range doc.Zones {
			if doc.Zones[i].Name == cmd.Args().First() {
				edit(&doc.Zones[i])
				return nil
			}
		}
		return &notFoundError{kind: "availability zone", name: cmd.Args().First()}
	})
}

func hostCommand() *cli.Command {
	leavingCommand := func(name, usage string, leaving bool) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, ArgsUsage: "HOST",
			Action: func(ctx context.Context, cmd *cli.Command) error {
				return submitChange(ctx, cmd, func(doc *configuration.Document) error {
					host := cmd.Args().First()
					doc.Hosts = slices.DeleteFunc(doc.Hosts, func(h configuration.Host) bool { return h.Name == host })
					if leaving {
						doc.Hosts = append(doc.Hosts, configuration.Host{Name: host, Leaving: true})
					}
					return nil
				})
			},
		}
	}
	return &cli.Command{
		Name: "host", Usage: "order entry hosts to leave",
		Commands: []*cli.Command{
			leavingCommand("leave", "make an entry host not ready", true),
			leavingCommand("return", "make an entry host ready again", false),
		},
	}
}

func rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "bring a weight version to the endpoints of a model", ArgsUsage: "MODEL VERSION",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return changeModel(ctx, cmd, func(m *configuration.Model) { m.NextVersion = cmd.Args().Get(1) })
		},
	}
}

func providerCommand() *cli.Command {
	return &cli.Command{
		Name: "provider", Usage: "move a model between providers by shares",
		Commands: []*cli.Command{
			{
				Name: "shift", Usage: "set the share of the second provider", ArgsUsage: "MODEL FROM TO",
				Flags: []cli.Flag{&cli.FloatFlag{Name: "share", Usage: "the share of TO, from 0 to 1", Required: true}},
				Action: func(ctx context.Context, cmd *cli.Command) error {
					share := cmd.Float("share")
					if share < 0 || share > 1 {
						return &usageError{message: "--share must be from 0 to 1"}
					}
					return changeModel(ctx, cmd, func(m *configuration.Model) {
						m.PreviousShares = m.Shares
						m.Shares = []configuration.Share{
							{Provider: cmd.Args().Get(2), Share: share},
							{Provider: cmd.Args().Get(1), Share: 1 - share},
						}
					})
				},
			},
			{
				Name: "return", Usage: "return to the shares before the last shift", ArgsUsage: "MODEL",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return changeModel(ctx, cmd, func(m *configuration.Model) {
						m.Shares, m.PreviousShares = m.PreviousShares, m.Shares
					})
				},
			},
		},
	}
}

func changeModel(ctx context.Context, cmd *cli.Command, edit func(*configuration.Model)) error {
	return submitChange(ctx, cmd, func(doc *configuration.Document) error {
		for i := range doc.Models {
			if doc.Models[i].Name == cmd.Args().First() {
				edit(&doc.Models[i])
				return nil
			}
		}
		return &notFoundError{kind: "model", name: cmd.Args().First()}
	})
}
