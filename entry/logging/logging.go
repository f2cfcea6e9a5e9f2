// Package logging makes the structured log of one entry instance.
package logging

import (
	"fmt"
	"io"
	"log/slog"

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
	log := &Log{level: level}
	if err := log.SetLevel(s.Level); err != nil {
		return nil, err
	}
	handler := newHandler(out, s.Format, &slog.HandlerOptions{Level: level})
	log.Logger = slog.New(handler).With("instance", string(instance.ID), "zone", string(instance.Zone))
	return log, nil
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
