// Package logging provides the structured log of one entry instance.
package logging

import (
	"fmt"
	"io"
	"log"
	"log/slog"
	"strings"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// Log is a logger whose level can be changed at run time.
type Log struct {
	*slog.Logger
	level *slog.LevelVar
}

// New returns a Log that writes to out with the level and format of the settings. Each
// line carries the instance and its zone. Long texts are shortened.
func New(out io.Writer, s settings.Log, instance settings.Instance) (*Log, error) {
	level := new(slog.LevelVar)
	l := &Log{level: level}
	if err := l.SetLevel(s.Level); err != nil {
		return nil, err
	}
	handler := newHandler(out, s.Format, &slog.HandlerOptions{Level: level, ReplaceAttr: BoundText})
	l.Logger = slog.New(handler).With("instance", string(instance.ID), "zone", string(instance.Zone))
	return l, nil
}

func newHandler(out io.Writer, format string, options *slog.HandlerOptions) slog.Handler {
	if format == "text" {
		return slog.NewTextHandler(out, options)
	}
	return slog.NewJSONHandler(out, options)
}

// Level returns the current level in upper case, such as INFO.
func (l *Log) Level() string { return l.level.Level().String() }

// SetLevel changes the level to debug, info, warn or error.
func (l *Log) SetLevel(name string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("log level %q: want debug, info, warn or error", name)
	}
	l.level.Set(level)
	return nil
}

// unsolicitedPrefix begins a line that net/http logs about bytes on an idle connection.
// These lines are dropped because entry/backend detects and counts mismatched responses
// itself.
const unsolicitedPrefix = "Unsolicited response received on idle HTTP channel"

// standardWriter writes lines of the standard logger to logger as warnings.
type standardWriter struct{ logger *slog.Logger }

// Write logs one line, unless it begins with unsolicitedPrefix.
func (w standardWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if !strings.HasPrefix(text, unsolicitedPrefix) {
		w.logger.Warn(text)
	}
	return len(line), nil
}

// RedirectStandardLoggers makes the process's default loggers of slog and log write to l.
func (l *Log) RedirectStandardLoggers() {
	slog.SetDefault(l.Logger)
	log.SetFlags(0)
	log.SetOutput(standardWriter{l.Logger})
}
