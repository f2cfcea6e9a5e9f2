// Package logging makes the structured log of one entry instance.
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

// New returns a Log that writes to out as the settings say.
func New(out io.Writer, s settings.Log, instance settings.Instance) (*Log, error) {
	level := new(slog.LevelVar)
	l := &Log{level: level}
	if err := l.SetLevel(s.Level); err != nil {
		return nil, err
	}
	handler := newHandler(out, s.Format, &slog.HandlerOptions{Level: level})
	l.Logger = slog.New(handler).With("instance", string(instance.ID), "zone", string(instance.Zone))
	return l, nil
}

func newHandler(out io.Writer, format string, options *slog.HandlerOptions) slog.Handler {
	if format == "text" {
		return slog.NewTextHandler(out, options)
	}
	return slog.NewJSONHandler(out, options)
}

// Level returns the level in force.
func (l *Log) Level() string { return l.level.Level().String() }

// SetLevel changes the level; it takes debug, info, warn or error.
func (l *Log) SetLevel(name string) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return fmt.Errorf("log level %q: want debug, info, warn or error", name)
	}
	l.level.Set(level)
	return nil
}

// unsolicited starts a line of net/http about bytes on an idle connection. The
// transport to backend servers notices and counts them itself.
const unsolicited = "Unsolicited response received on idle HTTP channel"

// standardWriter passes lines of the standard logger on.
type standardWriter struct{ logger *slog.Logger }

// Write logs one line, without those that are counted elsewhere.
func (w standardWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if !strings.HasPrefix(text, unsolicited) {
		w.logger.Warn(text)
	}
	return len(line), nil
}

// RedirectStandardLoggers makes the process's default and standard loggers write here.
func (l *Log) RedirectStandardLoggers() {
	slog.SetDefault(l.Logger)
	log.SetFlags(0)
	log.SetOutput(standardWriter{l.Logger})
}
