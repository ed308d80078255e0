package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/optional"
)

// outputFormat is the flag that selects how items are printed.
type outputFormat struct {
	Output string `enum:"table,json" default:"table" help:"Format: table or json."`
}

// table describes how items of one type are read, selected by name and printed.
type table[T any] struct {
	// kind is the noun for an item in errors.
	kind   string
	header string
	row    func(w io.Writer, item T)
	// name returns the name that selects an item in show.
	name func(item T) string
	read func(ctx context.Context, c *adminClient) ([]T, error)
}

// list prints the items that match, as a table or as a JSON array.
func (t table[T]) list(ctx context.Context, c *adminClient, f outputFormat, out io.Writer, match func(T) bool) error {
	items, err := t.read(ctx, c)
	if err != nil {
		return err
	}
	return t.print(f, out, filter(items, match))
}

// show prints the items with the given name. It returns an error if there are none.
func (t table[T]) show(ctx context.Context, c *adminClient, f outputFormat, out io.Writer, name string) error {
	items, err := t.read(ctx, c)
	if err != nil {
		return err
	}
	found := filter(items, func(item T) bool { return t.name(item) == name })
	if len(found) == 0 {
		return withExitCode(ExitFailed, errors.Errorf("%s %q not found", t.kind, name))
	}
	return t.print(f, out, found)
}

func filter[T any](items []T, match func(T) bool) []T {
	found := []T{}
	for _, item := range items {
		if match(item) {
			found = append(found, item)
		}
	}
	return found
}

func matchAll[T any](T) bool { return true }

func (t table[T]) print(f outputFormat, out io.Writer, items []T) error {
	if f.Output == "json" {
		return errors.WithStack(json.NewEncoder(out).Encode(items))
	}
	w := newTabWriter(out)
	t.writeTo(w, items)
	return w.Flush()
}

func (t table[T]) writeTo(w io.Writer, items []T) {
	fmt.Fprintln(w, t.header)
	for _, item := range items {
		t.row(w, item)
	}
}

func (c *adminClient) status(ctx context.Context) (*api.Status, error) {
	response, err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil)
	if err != nil {
		return nil, err
	}
	var status api.Status
	if err := json.Unmarshal(response.body, &status); err != nil {
		return nil, withExitCode(ExitNoResponse, errors.Wrap(err, "read status"))
	}
	return &status, nil
}

func (c *adminClient) configuration(ctx context.Context) (*config.Document, error) {
	response, err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil)
	if err != nil {
		return nil, err
	}
	if response.revision == 0 {
		return &config.Document{}, nil
	}
	return config.Parse("configuration in force", response.body)
}

type teamCommands struct {
	List teamListCommand `cmd:"" help:"List the teams of the configuration in force."`
	Show teamShowCommand `cmd:"" help:"Show one team of the configuration in force."`
}

// teamEntry is a team with the number of its keys and the names of the services that it may use.
type teamEntry struct {
	config.Team
	Keys     int      `json:"keys"`
	Services []string `json:"services"`
}

var teamTable = table[teamEntry]{
	kind: "team", header: "TEAM\tWEIGHT\tMAX CONCURRENCY\tLEAVING\tKEYS\tSERVICES",
	row: func(w io.Writer, t teamEntry) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\t%d\t%v\n", t.Name, t.Weight, t.MaxConcurrency, t.Leaving, t.Keys, t.Services)
	},
	name: func(t teamEntry) string { return t.Name },
	read: func(ctx context.Context, c *adminClient) ([]teamEntry, error) { return c.teams(ctx) },
}

func (c *adminClient) teams(ctx context.Context) ([]teamEntry, error) {
	document, err := c.configuration(ctx)
	if err != nil {
		return nil, err
	}
	teams := []teamEntry{}
	for _, team := range document.Teams {
		entry := teamEntry{Team: team, Services: []string{}}
		for _, key := range document.Keys {
			if key.Team == team.Name {
				entry.Keys++
			}
		}
		for _, route := range document.Routes {
			if route.Open || slices.Contains(route.Teams, team.Name) {
				entry.Services = append(entry.Services, route.Service)
			}
		}
		teams = append(teams, entry)
	}
	return teams, nil
}

type teamListCommand struct {
	adminClient
	outputFormat
}

// Run prints all teams.
func (c *teamListCommand) Run(ctx context.Context, streams Streams) error {
	return teamTable.list(ctx, &c.adminClient, c.outputFormat, streams.Out, matchAll)
}

type teamShowCommand struct {
	adminClient
	outputFormat
	Name string `arg:"" help:"Name of the team."`
}

// Run prints one team.
func (c *teamShowCommand) Run(ctx context.Context, streams Streams) error {
	return teamTable.show(ctx, &c.adminClient, c.outputFormat, streams.Out, c.Name)
}

type targetCommands struct {
	List targetListCommand `cmd:"" help:"List the targets that an instance knows."`
	Show targetShowCommand `cmd:"" help:"Show one target that an instance knows."`
}

var targetTable = table[api.TargetStatus]{
	kind: "target", header: "TARGET\tSERVICE\tZONE\tSTATE\tVERSION\tSLOTS\tIN FLIGHT",
	row: func(w io.Writer, t api.TargetStatus) {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", t.ID, t.Service, t.Zone, t.State,
			optional.Value(t.WeightVersion), optional.Value(t.Slots), optional.Value(t.InFlight))
	},
	name: func(t api.TargetStatus) string { return t.ID },
	read: func(ctx context.Context, c *adminClient) ([]api.TargetStatus, error) {
		status, err := c.status(ctx)
		if err != nil {
			return nil, err
		}
		return status.Targets, nil
	},
}

type targetListCommand struct {
	adminClient
	outputFormat
	Service string `help:"Only targets of this service."`
	Zone    string `help:"Only targets in this availability zone."`
}

// Run prints the targets that match the flags.
func (c *targetListCommand) Run(ctx context.Context, streams Streams) error {
	return targetTable.list(ctx, &c.adminClient, c.outputFormat, streams.Out, func(t api.TargetStatus) bool {
		return (c.Service == "" || t.Service == c.Service) && (c.Zone == "" || t.Zone == c.Zone)
	})
}

type targetShowCommand struct {
	adminClient
	outputFormat
	ID string `arg:"" help:"ID of the target."`
}

// Run prints one target.
func (c *targetShowCommand) Run(ctx context.Context, streams Streams) error {
	return targetTable.show(ctx, &c.adminClient, c.outputFormat, streams.Out, c.ID)
}

type usageCommands struct {
	List usageListCommand `cmd:"" help:"List how many requests an instance has served since its start, by team and service."`
	Show usageShowCommand `cmd:"" help:"Show how many requests of one team an instance has served since its start, by service."`
}

var usageTable = table[api.TeamStatus]{
	kind: "team", header: "TEAM\tSERVICE\tSERVED\tWAITING\tIN FLIGHT",
	row: func(w io.Writer, t api.TeamStatus) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", t.Team, t.Service, optional.Value(t.Served), optional.Value(t.Waiting), optional.Value(t.InFlight))
	},
	name: func(t api.TeamStatus) string { return t.Team },
	read: func(ctx context.Context, c *adminClient) ([]api.TeamStatus, error) {
		status, err := c.status(ctx)
		if err != nil {
			return nil, err
		}
		return status.Teams, nil
	},
}

type usageListCommand struct {
	adminClient
	outputFormat
}

// Run prints the usage of all teams.
func (c *usageListCommand) Run(ctx context.Context, streams Streams) error {
	return usageTable.list(ctx, &c.adminClient, c.outputFormat, streams.Out, matchAll)
}

type usageShowCommand struct {
	adminClient
	outputFormat
	Team string `arg:"" help:"Name of the team."`
}

// Run prints the usage of one team.
func (c *usageShowCommand) Run(ctx context.Context, streams Streams) error {
	return usageTable.show(ctx, &c.adminClient, c.outputFormat, streams.Out, c.Team)
}
