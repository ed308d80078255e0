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

// table is a list that can be printed as a table.
type table[T any] struct {
	header string
	row    func(w io.Writer, item T)
}

// print writes the items as a table or as a JSON array.
func (t table[T]) print(out io.Writer, f format, items []T) error {
	if f.Output == "json" {
		if items == nil {
			items = []T{}
		}
		return errors.WithStack(json.NewEncoder(out).Encode(items))
	}
	w := newTable(out)
	fmt.Fprintln(w, t.header)
	for _, item := range items {
		t.row(w, item)
	}
	return w.Flush()
}

// one returns the items that match; none is an error that names what was looked for.
func one[T any](items []T, kind, name string, match func(T) bool) ([]T, error) {
	var found []T
	for _, item := range items {
		if match(item) {
			found = append(found, item)
		}
	}
	if len(found) == 0 {
		return nil, exit(ExitFailed, errors.Errorf("%s %s is not known", kind, name))
	}
	return found, nil
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

var teamTable = table[teamEntry]{"TEAM\tWEIGHT\tMOST AT ONCE\tLEAVING\tKEYS\tSERVICES", func(w io.Writer, t teamEntry) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%t\t%d\t%v\n", t.Name, t.Weight, t.MaxConcurrency, t.Leaving, t.Keys, t.Services)
}}

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
	teams, err := c.teams(ctx)
	if err != nil {
		return err
	}
	return teamTable.print(streams.Out, c.format, teams)
}

type teamShowCommand struct {
	connection
	format
	Name string `arg:"" help:"Name of the team."`
}

// Run prints one team.
func (c *teamShowCommand) Run(ctx context.Context, streams Streams) error {
	teams, err := c.teams(ctx)
	if err != nil {
		return err
	}
	found, err := one(teams, "team", c.Name, func(t teamEntry) bool { return t.Name == c.Name })
	if err != nil {
		return err
	}
	return teamTable.print(streams.Out, c.format, found)
}

type targetCommands struct {
	List targetListCommand `cmd:"" help:"List the targets that an instance knows."`
	Show targetShowCommand `cmd:"" help:"Show one target that an instance knows."`
}

var targetTable = table[api.TargetStatus]{"TARGET\tSERVICE\tZONE\tSTATE\tVERSION\tSLOTS\tIN FLIGHT", func(w io.Writer, t api.TargetStatus) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", t.ID, t.Service, t.Zone, t.State,
		optional.Value(t.WeightVersion), optional.Value(t.Slots), optional.Value(t.InFlight))
}}

type targetListCommand struct {
	connection
	format
	Service string `help:"Only targets of this service."`
	Zone    string `help:"Only targets in this availability zone."`
}

// Run prints the targets that match the flags.
func (c *targetListCommand) Run(ctx context.Context, streams Streams) error {
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	var targets []api.TargetStatus
	for _, t := range status.Targets {
		if (c.Service == "" || t.Service == c.Service) && (c.Zone == "" || t.Zone == c.Zone) {
			targets = append(targets, t)
		}
	}
	return targetTable.print(streams.Out, c.format, targets)
}

type targetShowCommand struct {
	connection
	format
	ID string `arg:"" help:"ID of the target."`
}

// Run prints one target.
func (c *targetShowCommand) Run(ctx context.Context, streams Streams) error {
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	found, err := one(status.Targets, "target", c.ID, func(t api.TargetStatus) bool { return t.ID == c.ID })
	if err != nil {
		return err
	}
	return targetTable.print(streams.Out, c.format, found)
}

type usageCommands struct {
	List usageListCommand `cmd:"" help:"List what an instance has served since its start, by team and service."`
	Show usageShowCommand `cmd:"" help:"Show what an instance has served one team since its start."`
}

var usageTable = table[api.TeamStatus]{"TEAM\tSERVICE\tSERVED\tWAITING\tIN FLIGHT", func(w io.Writer, t api.TeamStatus) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", t.Team, t.Service, optional.Value(t.Served), optional.Value(t.Waiting), optional.Value(t.InFlight))
}}

type usageListCommand struct {
	connection
	format
}

// Run prints all teams.
func (c *usageListCommand) Run(ctx context.Context, streams Streams) error {
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	return usageTable.print(streams.Out, c.format, status.Teams)
}

type usageShowCommand struct {
	connection
	format
	Team string `arg:"" help:"Name of the team."`
}

// Run prints one team.
func (c *usageShowCommand) Run(ctx context.Context, streams Streams) error {
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	found, err := one(status.Teams, "team", c.Team, func(t api.TeamStatus) bool { return t.Team == c.Team })
	if err != nil {
		return err
	}
	return usageTable.print(streams.Out, c.format, found)
}
