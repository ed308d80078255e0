package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/key"
)

type keyCommands struct {
	Create   keyCreateCommand   `cmd:"" help:"Create a key. The secret is printed once and never stored."`
	Withdraw keyWithdrawCommand `cmd:"" help:"Remove a key from the configuration in force. Comments in the applied file are lost."`
}

type keyCreateCommand struct {
	Team string `required:"" help:"Team that the key belongs to."`
}

// Run prints a new key and the configuration item that adds it to the team.
func (c *keyCreateCommand) Run(streams Streams) error {
	k, err := key.Generate(rand.Reader, c.Team)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Out, "key: %s\n\nAdd to the configuration:\n\n[[keys]]\nid = %q\nteam = %q\nhash = %q\n", k.Bearer, k.Entry.ID, k.Entry.Team, k.Entry.Hash)
	return nil
}

type keyWithdrawCommand struct {
	adminClient
	ID string `arg:"" help:"Public part of the key, before the dot."`
}

// Run reads the configuration in force, removes the key and applies the result. The instance refuses it if another
// revision was applied since the read.
func (c *keyWithdrawCommand) Run(ctx context.Context, streams Streams) error {
	current, err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil)
	if err != nil {
		return err
	}
	if current.revision == 0 {
		return withExitCode(ExitRefused, errors.New("no configuration is in force"))
	}
	data, err := withoutKey(current.body, c.ID)
	if err != nil {
		return err
	}
	start := time.Now()
	result, err := c.apply(ctx, current.revision, data)
	if err != nil {
		return errors.Wrapf(err, "withdraw key from revision %d", current.revision)
	}
	printWithdrawal(result, time.Since(start).Round(time.Millisecond), streams)
	return nil
}

func printWithdrawal(result *api.ApplyResult, elapsed time.Duration, streams Streams) {
	if result.State == api.StateInForce {
		fmt.Fprintf(streams.Out, "revision %d is %s after %s\n", result.Revision, result.State, elapsed)
	} else {
		fmt.Fprintf(streams.Out, "revision %d is %s, not yet in_force after %s\n", result.Revision, result.State, elapsed)
	}
	if len(result.Unconfirmed) > 0 {
		fmt.Fprintf(streams.Out, "not confirmed by: %v\n", result.Unconfirmed)
	}
}

// withoutKey returns the configuration without the key. It edits the generic TOML tree, because the generated types
// omit zero values, and an omitted max = 0 or price_per_hour = 0 may be read back as the default.
func withoutKey(data []byte, id string) ([]byte, error) {
	const name = "configuration in force"
	older, err := config.Parse(name, data)
	if err != nil {
		return nil, withExitCode(ExitFailed, err)
	}
	index := slices.IndexFunc(older.Keys, func(k config.Key) bool { return k.ID == id })
	if index < 0 {
		return nil, withExitCode(ExitRefused, errors.Errorf("key %q is not in the configuration in force", id))
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return nil, withExitCode(ExitFailed, err)
	}
	keys, _ := tree["keys"].([]any)
	tree["keys"] = slices.Delete(keys, index, index+1)
	edited, err := toml.Marshal(tree)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	newer, err := config.Parse("configuration without the key", edited)
	if err != nil {
		return nil, withExitCode(ExitFailed, err)
	}
	return edited, checkOnlyKeyRemoved(older, newer, id)
}

// checkOnlyKeyRemoved returns an error unless the removal of the key is the only change.
func checkOnlyKeyRemoved(older, newer *config.Document, id string) error {
	want := []config.Change{{Sign: "-", Item: "key", Name: id}}
	if changes := config.Diff(older, newer); !slices.Equal(changes, want) {
		return errors.Errorf("not applied: removing key %q would change %v", id, changes)
	}
	return nil
}
