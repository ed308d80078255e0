// Package configcheck finds mistakes in a configuration before it is put in force, and the differences in effect between
// two configurations. It does no I/O.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/egretspar/egretspar/internal/live"
)

// Document is a configuration with its entries in the order of its file, including those that Config does not keep.
type Document struct {
	// Config is the configuration as the instances use it.
	Config   *live.Config
	Routes   []Route
	Services []Service
	Teams    []Team
	// KeysRequired is whether requests of routes that are not public need a key.
	KeysRequired bool
	// KindNames holds the names of the known kinds of routes.
	KindNames []string
}

// Route is a route with the name of its kind in the file.
type Route struct {
	live.Route
	KindName string
}

// Service is a service with the rate of its cold targets in the file. A rate that is not positive means no warm-up.
type Service struct {
	live.Service
	WarmUpRate float64
}

// Team is a team with its keys.
type Team struct {
	live.Team
	Keys []string
}

// Severity tells what a finding means for the configuration.
type Severity string

// Severities.
const (
	// Error marks what the instances reject or read as something else.
	Error Severity = "error"
	// Warning marks what the instances accept although it cannot have the effect that it appears to have.
	Warning Severity = "warning"
	// Difference marks what has another effect than in the other configuration.
	Difference Severity = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
	// Remedy is empty for differences.
	Remedy string
}

// Section is a part of a configuration.
type Section string

// Sections.
const (
	Whole    Section = ""
	Routes   Section = "routes"
	Services Section = "services"
	Teams    Section = "teams"
	Limits   Section = "limits"
)

// Field is a property of an entry, or of the whole configuration.
type Field string

// Fields.
const (
	Version          Field = "version"
	Name             Field = "name"
	Host             Field = "host"
	Prefix           Field = "prefix"
	Kind             Field = "kind"
	Timeout          Field = "timeout"
	LatencyObjective Field = "latency objective"
	Priority         Field = "priority"
	ServiceName      Field = "service"
	MaxAttempts      Field = "attempts"
	ItemTTL          Field = "item lifetime"
	JobObjective     Field = "job objective"
	SingleVersion    Field = "single version"
	Public           Field = "public"
	Resumable        Field = "resumable"
	Split            Field = "split"
	Slots            Field = "slots"
	EventTokens      Field = "tokens of an event"
	Models           Field = "models"
	WarmUpDuration   Field = "warm-up time"
	WarmUpRate       Field = "warm-up rate"
	ScalingMin       Field = "minimum of targets"
	ScalingMax       Field = "maximum of targets"
	ZonePrices       Field = "prices of zones"
	Keys             Field = "keys"
	MaxHeaderBytes   Field = "header limit"
	MaxBodyBytes     Field = "body limit"
	HeaderTimeout    Field = "header timeout"
	IdleTimeout      Field = "idle timeout"
)

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	// Index and Name identify the entry of a section that is a list; Index is -1 for the whole section.
	Index int
	Name  string
	// Field is empty for a whole entry.
	Field Field
	// Older is whether the place is in the configuration that is compared with.
	Older bool
}

// keyHash returns a short digest of a key, which identifies the key without revealing it.
func keyHash(key string) string {
	const hashBytes = 4
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:hashBytes])
}

// routeID identifies the requests of a route.
type routeID struct{ host, prefix string }

func idOf(r Route) routeID { return routeID{strings.ToLower(r.Host), r.Prefix} }
