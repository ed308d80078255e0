package opsconfig

import (
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/rapidtest"
)

const keyHash = "00000000000000000000000000000000000000000000000000000000000000ff"

// buildShuffled adds n items of each type in a pseudo-random order that depends on seed.
func buildShuffled(n int, seed int64) *Builder {
	b := New()
	r := rand.New(rand.NewSource(seed))
	for _, i := range r.Perm(n) {
		team := b.Team(fmt.Sprintf("team-%d", i), Weight(i+1))
		b.Key(team, fmt.Sprintf("key%02d", i), keyHash)
		service := b.EngineService(fmt.Sprintf("service-%d", i), Training, Timeout(time.Duration(i+1)*time.Second))
		b.Route(service, team)
		b.Target(fmt.Sprintf("target-%d", i), service, "http://10.0.0.1:80", "a", Fencing(), Supplied(Reclaimable))
		b.Pool(Pool{Service: service, Zone: "a", Supply: OnDemand, Min: i, Max: i + 1, PricePerHour: float64(i) / 3})
		b.Budget(time.Unix(int64(i)*1000, 0), float64(n-i))
	}
	b.UsageWindows(time.Minute, 5*time.Second)
	return b
}

// Guards against output that depends on the order of calls, and against fields that are lost when the configuration is
// printed and parsed again.
func TestCallOrderAndRoundTrip(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		first, err := buildShuffled(n, rapid.Int64().Draw(t, "seed")).TOML()
		if err != nil {
			t.Fatal(err)
		}
		second, err := buildShuffled(n, rapid.Int64().Draw(t, "other")).TOML()
		if err != nil || string(first) != string(second) {
			t.Fatalf("order changes the output: %v", err)
		}
		parsed, err := config.Parse("f", first)
		if err != nil {
			t.Fatal(err)
		}
		rebuilt := &Builder{*parsed}
		third, err := rebuilt.TOML()
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := config.Parse("f", third)
		if err != nil || !reflect.DeepEqual(parsed, reparsed) {
			t.Fatalf("round trip differs: %v", err)
		}
	})
}

// Guards against an invalid configuration that is printed, and against an error that does not name the invalid item.
func TestErrorNamesTheItem(t *testing.T) {
	for _, c := range []struct {
		name, want string
		build      func(*Builder)
	}{
		{"unknown team", `routes[0] "chat": names team "ghost"`, func(b *Builder) { b.Route(b.EngineService("chat", Latency), Team{"ghost"}) }},
		{"bad name", "teams[0].name: allowed", func(b *Builder) { b.Team("Shop A"); b.PlainService("s", Latency) }},
		{"no service", "services: allowed: array, at least 1 items", func(b *Builder) { b.Team("a") }},
		{"min above max", "min 3 is above max 1", func(b *Builder) {
			b.Pool(Pool{Service: b.EngineService("chat", Latency), Zone: "a", Supply: OnDemand, Min: 3, Max: 1})
		}},
	} {
		b := New()
		c.build(b)
		if _, err := b.TOML(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
}

// Guards against an explicit staleness bound of 0 that is omitted from the output and read back as the default of 1. A
// bound of 0 admits only samples of the trainer's current version.
func TestZeroStalenessIsKept(t *testing.T) {
	b := New()
	b.EngineService("chat", Training, StalenessVersions(0))
	data, err := b.TOML()
	if err != nil {
		t.Fatal(err)
	}
	d, err := config.Parse("f", data)
	if err != nil {
		t.Fatal(err)
	}
	if bound := d.Services[0].StalenessBound(); bound != 0 {
		t.Errorf("bound %d, want 0", bound)
	}
	if bound := (config.Service{}).StalenessBound(); bound != 1 {
		t.Errorf("default bound %d, want 1", bound)
	}
}
