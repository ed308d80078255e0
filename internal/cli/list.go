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

// format selects how a list is printed.
type format struct {
	Output string `enum:"table,json" default:"table" help:"Format: table or json."`
}

// table is a kind of items that can be listed.
type table[T any] struct {
	// kind names one item in errors.
	kind   string
	header string
	row    func(w io.Writer, item T)
	// name is what selects an item.
	name func(item T) string
	read func(ctx context.Context, c *connection) ([]T, error)
}

// list prints the items that match, as a table or as a JSON array.
func (t table[T]) list(ctx context.Context, c *connection, f format, out io.Writer, match func(T) bool) error {
	items, err := t.read(ctx, c)
	if err != nil {
		return err
	}
	return t.print(f, out, selected(items, match))
}

// show prints the items with a name; none is an error.
func (t table[T]) show(ctx context.Context, c *connection, f format, out io.Writer, name string) error {
	items, err := t.read(ctx, c)
	if err != nil {
		return err
	}
	found := selected(items, func(item T) bool { return t.name(item) == name })
	if len(found) == 0 {
		return exit(ExitFailed, errors.Errorf("%s %s is not known", t.kind, name))
	}
	return t.print(f, out, found)
}

func selected[T any](items []T, match func(T) bool) []T {
	found := []T{}
	for _, item := range items {
		if match(item) {
			found = append(found, item)
		}
	}
	return found
}

func all[T any](T) bool { return true }

func (t table[T]) print(f format, out io.Writer, items []T) error {
	if f.Output == "json" {
		return errors.WithStack(json.NewEncoder(out).Encode(items))
	}
	w := newTable(out)
	t.writeTo(w, items)
	return w.Flush()
}

func (t table[T]) writeTo(w io.Writer, items []T) {
	fmt.Fprintln(w, t.header)
	for _, item := range items {
		t.row(w, item)
	}
}

func (c *connection) status(ctx context.Context) (*api.Status, error) {
	got, err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil)
	if err != nil {
		return nil, err
	}
	var status api.Status
	if err := json.Unmarshal(got.body, &status); err != nil {
		return nil, exit(ExitNoAnswer, errors.Wrap(err, "read status"))
	}
	return &status, nil
}

func (c *connection) configuration(ctx context.Context) (*config.Document, error) {
	got, err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil)
	if err != nil {
		return nil, err
	}
	if got.revision == 0 {
		return &config.Document{}, nil
	}
	return config.Parse("configuration in force", got.body)
}

type teamCommands struct {
	List teamListCommand `cmd:"" help:"List the teams of the configuration in force."`
	Show teamShowCommand `cmd:"" help:"Show one team of the configuration in force."`
}

// teamEntry is a team with the number of its keys and of the services that it may use.
type teamEntry struct {
	config.Team
	Keys     int      `json:"keys"`
	Services []string `json:"services"`
}

var teamTable = table[teamEntry]{
	kind: "team", header: "TEAM\tWEIGHT\tMOST AT ONCE\tLEAVING\tKEYS\tSERVICES",
	row: func(w io.Writer, t teamEntry) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\t%d\t%v\n", t.Name, t.Weight, t.MaxConcurrency, t.Leaving, t.Keys, t.Services)
	},
	name: func(t teamEntry) string { return t.Name },
	read: func(ctx context.Context, c *connection) ([]teamEntry, error) { return c.teams(ctx) },
}

func (c *connection) teams(ctx context.Context) ([]teamEntry, error) {
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
	connection
	format
}

// Run prints all teams.
func (c *teamListCommand) Run(ctx context.Context, streams Streams) error {
	return teamTable.list(ctx, &c.connection, c.format, streams.Out, all)
}

type teamShowCommand struct {
	connection
	format
	Name string `arg:"" help:"Name of the team."`
}

// Run prints one team.
func (c *teamShowCommand) Run(ctx context.Context, streams Streams) error {
	return teamTable.show(ctx, &c.connection, c.format, streams.Out, c.Name)
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
	read: func(ctx context.Context, c *connection) ([]api.TargetStatus, error) {
		status, err := c.status(ctx)
		if err != nil {
			return nil, err
		}
		return status.Targets, nil
	},
}

type targetListCommand struct {
	connection
	format
	Service string `help:"Only targets of this service."`
	Zone    string `help:"Only targets in this availability zone."`
}

// Run prints the targets that match the flags.
func (c *targetListCommand) Run(ctx context.Context, streams Streams) error {
	return targetTable.list(ctx, &c.connection, c.format, streams.Out, func(t api.TargetStatus) bool {
		return (c.Service == "" || t.Service == c.Service) && (c.Zone == "" || t.Zone == c.Zone)
	})
}

type targetShowCommand struct {
	connection
	format
	ID string `arg:"" help:"ID of the target."`
}

// Run prints one target.
func (c *targetShowCommand) Run(ctx context.Context, streams Streams) error {
	return targetTable.show(ctx, &c.connection, c.format, streams.Out, c.ID)
}

type usageCommands struct {
	List usageListCommand `cmd:"" help:"List what an instance has served since its start, by team and service."`
	Show usageShowCommand `cmd:"" help:"Show what an instance has served one team since its start."`
}

var usageTable = table[api.TeamStatus]{
	kind: "team", header: "TEAM\tSERVICE\tSERVED\tWAITING\tIN FLIGHT",
	row: func(w io.Writer, t api.TeamStatus) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", t.Team, t.Service, optional.Value(t.Served), optional.Value(t.Waiting), optional.Value(t.InFlight))
	},
	name: func(t api.TeamStatus) string { return t.Team },
	read: func(ctx context.Context, c *connection) ([]api.TeamStatus, error) {
		status, err := c.status(ctx)
		if err != nil {
			return nil, err
		}
		return status.Teams, nil
	},
}

type usageListCommand struct {
	connection
	format
}

// Run prints all teams.
func (c *usageListCommand) Run(ctx context.Context, streams Streams) error {
	return usageTable.list(ctx, &c.connection, c.format, streams.Out, all)
}

type usageShowCommand struct {
	connection
	format
	Team string `arg:"" help:"Name of the team."`
}

// Run prints one team.
func (c *usageShowCommand) Run(ctx context.Context, streams Streams) error {
	return usageTable.show(ctx, &c.connection, c.format, streams.Out, c.Team)
}
