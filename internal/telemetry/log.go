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

// timeLayout has milliseconds, so that lines of one request sort in their order.
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
		FormatTimestamp:  func(v any) string { return pair("time", v) },
		FormatLevel:      func(v any) string { return pair("level", v) },
		FormatMessage:    func(v any) string { return pair("event", v) },
		FormatFieldName:  func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue: quoteValue,
	}
}

func pair(name string, value any) string { return name + "=" + quoteValue(value) }

// quoteValue quotes text that holds spaces, quotes or control characters, so that an event stays on one
// line and splits at spaces.
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
