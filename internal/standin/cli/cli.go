// Package cli declares the commands that run the emulated services as processes: `egretspar standin platform`,
// `egretspar standin engine` and `egretspar standin plain`. The caller binds a context.Context, and each
// command runs until that context is done.
package cli

import (
	"context"
	"net/http"
	"time"

	"github.com/egretspar/egretspar/internal/standin"
	"github.com/egretspar/egretspar/internal/standin/engine"
	"github.com/egretspar/egretspar/internal/standin/plain"
	"github.com/egretspar/egretspar/internal/standin/platform"
)

// Command groups the commands of the emulated services.
type Command struct {
	Platform PlatformCommand `cmd:"" help:"Run an emulated platform."`
	Engine   EngineCommand   `cmd:"" help:"Run an emulated model engine."`
	Plain    PlainCommand    `cmd:"" help:"Run an emulated plain service."`
}

// PlatformCommand runs an emulated platform.
type PlatformCommand struct {
	Listen               string        `help:"IP address and port." default:"127.0.0.1:7900"`
	Token                string        `help:"Bearer token that callers must send."`
	InstanceLag          time.Duration `help:"Time by which the instance list lags behind." default:"1s"`
	Fencing              bool          `help:"Refuse orders with a stale term."`
	WritesPerSecond      int           `help:"Limit of table and object writes per second; 0 means no limit."`
	ReadsPerSecond       int           `help:"Limit of table and object reads per second; 0 means no limit."`
	WeightReadsPerSecond int           `help:"Limit of weight store reads per second; 0 means no limit."`
}

// Run serves until ctx ends.
func (c *PlatformCommand) Run(ctx context.Context) error {
	p := platform.New(platform.Options{
		Token: c.Token, InstanceLag: c.InstanceLag, Fencing: c.Fencing, WritesPerSecond: c.WritesPerSecond,
		ReadsPerSecond: c.ReadsPerSecond, WeightReadsPerSecond: c.WeightReadsPerSecond,
	})
	defer p.Close()
	return serve(ctx, c.Listen, p)
}

// EngineCommand runs an emulated model engine.
type EngineCommand struct {
	Listen       string        `help:"IP address and port." default:"127.0.0.1:7910"`
	ID           string        `help:"Name in responses." default:"engine"`
	Model        string        `help:"Model that requests must name; empty accepts any model."`
	Slots        int           `help:"Largest number of sequences in a batch." default:"16"`
	TokenTime    time.Duration `help:"Base time of a decoding step." default:"5ms"`
	BatchTime    time.Duration `help:"Time that each sequence adds to a step." default:"200us"`
	PrefillTime  time.Duration `help:"Prefill time of a prompt token that is not cached." default:"20us"`
	LengthMedian int           `help:"Median length of a sequence in tokens." default:"64"`
	LengthSigma  float64       `help:"Sigma of the log-normal length distribution." default:"1"`
	Version      int           `help:"Initial weight version." default:"1"`
	HideVersion  bool          `help:"Report no version."`
	Fencing      bool          `help:"Refuse weight orders with a stale term."`
	LoadTime     time.Duration `help:"Time to load weights." default:"2s"`
	SwapTime     time.Duration `help:"Time to swap weights." default:"100ms"`
	PoisonMarker string        `help:"Prompt text that crashes the engine."`
	RestartAfter time.Duration `help:"Time from a crash to the restart; 0 means no restart." default:"2s"`
}

// Run serves until ctx ends.
func (c *EngineCommand) Run(ctx context.Context) error {
	e := engine.New(engine.Options{
		ID: c.ID, Model: c.Model, Slots: c.Slots, TokenTime: c.TokenTime, BatchTime: c.BatchTime,
		PrefillTime: c.PrefillTime, LengthMedian: c.LengthMedian, LengthSigma: c.LengthSigma, Version: c.Version,
		HideVersion: c.HideVersion, Fencing: c.Fencing, LoadTime: c.LoadTime, SwapTime: c.SwapTime,
		PoisonMarker: c.PoisonMarker, RestartAfter: c.RestartAfter,
	})
	defer func() { _ = e.Close() }()
	if _, err := e.Listen(c.Listen); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// PlainCommand runs an emulated plain service.
type PlainCommand struct {
	Listen   string        `help:"IP address and port." default:"127.0.0.1:7920"`
	ID       string        `help:"Name in responses." default:"plain"`
	Latency  time.Duration `help:"Time of a run." default:"2ms"`
	Jitter   time.Duration `help:"Largest random addition to the time of a run."`
	FailRate float64       `help:"Fraction of runs whose response has status 500."`
	LoseRate float64       `help:"Fraction of runs whose response is lost."`
}

// Run serves until ctx ends.
func (c *PlainCommand) Run(ctx context.Context) error {
	behavior := plain.Behavior{Latency: c.Latency, Jitter: c.Jitter, FailRate: c.FailRate, ResponseLossRate: c.LoseRate}
	return serve(ctx, c.Listen, plain.New(plain.Options{ID: c.ID, Behavior: behavior}))
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	server, err := standin.Listen(address, handler)
	if err != nil {
		return err
	}
	defer server.Crash()
	<-ctx.Done()
	return nil
}
