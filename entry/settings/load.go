package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/tarragonreach/tarragonreach/api/strictjson"
)

// ErrInvalid is wrapped by the errors of settings that can be read but not used.
var ErrInvalid = errors.New("settings are not valid")

// Environment variables that override the file.
const (
	EnvInstanceID  = "TARRAGON_INSTANCE_ID"
	EnvZone        = "TARRAGON_ZONE"
	EnvPlatformURL = "TARRAGON_PLATFORM_URL"
	EnvLogLevel    = "TARRAGON_LOG_LEVEL"
)

// Load reads, completes and checks a settings file. getenv gives the environment.
// The error names every fault with line and column and wraps ErrInvalid, or says
// why the file could not be read.
func Load(path string, getenv func(string) string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(text, getenv)
	if err != nil {
		return Settings{}, fmt.Errorf("%w: %s:\n%w", ErrInvalid, path, err)
	}
	return s, nil
}

// Parse completes and checks the text of a settings file; its error is of type
// strictjson.Faults.
func Parse(text []byte, getenv func(string) string) (Settings, error) {
	s := Default()
	doc, err := strictjson.Decode(text, &s)
	if doc == nil {
		return Settings{}, err
	}
	override(&s, getenv)
	check(&s, doc)
	return s, doc.Err()
}

func override(s *Settings, getenv func(string) string) {
	set(&s.Instance.ID, getenv(EnvInstanceID))
	set(&s.Instance.Zone, getenv(EnvZone))
	set(&s.Platform.URL, getenv(EnvPlatformURL))
	set(&s.Log.Level, getenv(EnvLogLevel))
}

func set[T ~string](field *T, value string) {
	if value != "" {
		*field = T(value)
	}
}
