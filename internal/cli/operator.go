package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/api"
	"github.com/egretspar/egretspar/internal/config"
)

const (
	operatorTimeout  = 15 * time.Second
	maxResponseBytes = 16 << 20
)

// adminClient holds the flags that select an entry instance, and calls its operator API.
type adminClient struct {
	URL   string `required:"" env:"EGRETSPAR_URL" help:"Base URL of an entry instance or of the balancer."`
	Token string `required:"" env:"EGRETSPAR_ADMIN_TOKEN" help:"Operator token of the instance's settings."`
}

// adminResponse is a successful response of the operator API.
type adminResponse struct {
	body     []byte
	revision int
}

// call sends one request. It returns a refusal as an error that contains the reason and has the exit code ExitRefused.
func (c *adminClient) call(ctx context.Context, method, path string, body []byte) (*adminResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	if u, err := user.Current(); err == nil {
		request.Header.Set("Egretspar-Author", u.Username)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, withExitCode(ExitNoResponse, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, withExitCode(ExitNoResponse, errors.Wrap(err, "read response"))
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, withExitCode(ExitRefused, refusalError(response.Status, data))
	}
	revision, _ := strconv.Atoi(response.Header.Get("Egretspar-Revision"))
	return &adminResponse{data, revision}, nil
}

// apply makes data the next configuration. The instance refuses it if revision is no longer the current revision.
func (c *adminClient) apply(ctx context.Context, revision int, data []byte) (*api.ApplyResult, error) {
	response, err := c.call(ctx, http.MethodPost, fmt.Sprintf("/admin/v1/config?revision=%d", revision), data)
	if err != nil {
		return nil, err
	}
	var result api.ApplyResult
	if err := json.Unmarshal(response.body, &result); err != nil {
		return nil, withExitCode(ExitNoResponse, errors.Wrap(err, "decode response to apply"))
	}
	return &result, nil
}

func refusalError(status string, body []byte) error {
	var refusal api.Refusal
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Reason == "" {
		return errors.Errorf("refused: %s", status)
	}
	return errors.Errorf("refused: %s (%s): %s", refusal.Reason, refusal.Outcome, refusal.Message)
}

type configCommands struct {
	Check   checkCommand   `cmd:"" help:"Check a settings or configuration file."`
	Diff    diffCommand    `cmd:"" help:"List the items in which two configurations differ."`
	Apply   applyCommand   `cmd:"" help:"Apply a configuration and wait until it is in force."`
	Get     getCommand     `cmd:"" help:"Print the configuration in force."`
	History historyCommand `cmd:"" help:"List applied revisions with author and time."`
}

type applyCommand struct {
	adminClient
	File     string `arg:"" help:"Configuration file, or - for standard input."`
	Revision int    `default:"-1" help:"Revision that the change is based on; the revision in force if absent."`
}

// Run checks the file, applies it and prints the changes.
func (c *applyCommand) Run(ctx context.Context, streams Streams) error {
	data, err := readFile(c.File, streams)
	if err != nil {
		return err
	}
	newer, err := config.Parse(c.File, data)
	if err != nil {
		return err
	}
	current, err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil)
	if err != nil {
		return err
	}
	if c.Revision < 0 {
		c.Revision = current.revision
	}
	result, err := c.apply(ctx, c.Revision, data)
	if err != nil {
		return err
	}
	c.printChanges(current, newer, streams)
	fmt.Fprintf(streams.Out, "revision %d is %s\n", result.Revision, result.State)
	if len(result.Unconfirmed) > 0 {
		fmt.Fprintf(streams.Out, "not confirmed by: %v\n", result.Unconfirmed)
	}
	return nil
}

func (c *applyCommand) printChanges(current *adminResponse, newer *config.Document, streams Streams) {
	if current.revision == 0 {
		return
	}
	older, err := config.Parse("configuration in force", current.body)
	if err != nil {
		return
	}
	for _, change := range config.Diff(older, newer) {
		fmt.Fprintln(streams.Out, change)
	}
}

type getCommand struct {
	adminClient
}

// Run prints the configuration to standard output and its revision to standard error, so that the output can be edited
// and applied again.
func (c *getCommand) Run(ctx context.Context, streams Streams) error {
	response, err := c.call(ctx, http.MethodGet, "/admin/v1/config", nil)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.Err, "revision %d\n", response.revision)
	_, err = streams.Out.Write(response.body)
	return err
}

type historyCommand struct {
	adminClient
	outputFormat
}

// Run prints the applied revisions, newest first.
func (c *historyCommand) Run(ctx context.Context, streams Streams) error {
	response, err := c.call(ctx, http.MethodGet, "/admin/v1/config/history", nil)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err := streams.Out.Write(response.body)
		return err
	}
	var history api.History
	if err := json.Unmarshal(response.body, &history); err != nil {
		return withExitCode(ExitNoResponse, err)
	}
	w := newTabWriter(streams.Out)
	fmt.Fprintln(w, "REVISION\tAPPLIED\tAUTHOR")
	for _, e := range history.Entries {
		fmt.Fprintf(w, "%d\t%s\t%s\n", e.Revision, e.Applied.Format(time.RFC3339), e.Author)
	}
	return w.Flush()
}

func newTabWriter(out io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

type drainCommand struct {
	adminClient
}

// Run starts a graceful shutdown of the instance at the URL.
func (c *drainCommand) Run(ctx context.Context, streams Streams) error {
	if _, err := c.call(ctx, http.MethodPost, "/admin/v1/drain", nil); err != nil {
		return err
	}
	fmt.Fprintln(streams.Out, "the instance is draining; it stops when its requests have finished")
	return nil
}

type statusCommand struct {
	adminClient
	outputFormat
}

// Run prints the state of an instance and its view of the other instances.
func (c *statusCommand) Run(ctx context.Context, streams Streams) error {
	response, err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		_, err := streams.Out.Write(response.body)
		return err
	}
	var status api.Status
	if err := json.Unmarshal(response.body, &status); err != nil {
		return withExitCode(ExitNoResponse, err)
	}
	return printStatus(streams.Out, &status)
}
