// Package telemetry sets up logs and metrics.
package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/egretspar/egretspar/internal/settings"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
func NewLogger(w io.Writer, level settings.Level) zerolog.Logger {
	return newLogger(lineWriter(w), level)
}

func newLogger(w io.Writer, level settings.Level) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(string(level))
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(parsed).Hook(zerolog.HookFunc(addTime))
}

// timeLayout includes milliseconds, so that the lines of one request sort in the right order.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeLayout))
}

// lineWriter turns zerolog's JSON into lines of key=value pairs.
func lineWriter(w io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:              w,
		NoColor:          true,
		TimeFormat:       time.RFC3339Nano,
		FormatTimestamp:  func(v any) string { return formatPair("time", v) },
		FormatLevel:      func(v any) string { return formatPair("level", v) },
		FormatMessage:    func(v any) string { return formatPair("event", v) },
		FormatFieldName:  func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue: quoteValue,
	}
}

func formatPair(name string, value any) string { return name + "=" + quoteValue(value) }

// quoteValue quotes a value that is empty or contains spaces, quotes or control characters, so that every event is one
// line that can be split at spaces.
func quoteValue(value any) string {
	text := fmt.Sprint(value)
	if raw, ok := value.([]byte); ok {
		// The writer passes booleans and nested values as raw JSON.
		text = string(raw)
	}
	if unquoted, err := strconv.Unquote(text); err == nil {
		text = unquoted
	}
	if text == "" || strings.ContainsFunc(text, needsQuoting) {
		return strconv.Quote(text)
	}
	return text
}

func needsQuoting(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || !strconv.IsPrint(r)
}
