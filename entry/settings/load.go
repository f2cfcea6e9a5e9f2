package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/tarragonreach/tarragonreach/api/strictjson"
)

// ErrInvalid is wrapped by errors about settings that can be read but are not valid.
var ErrInvalid = errors.New("settings are not valid")

// Environment variables that override fields of the settings file.
const (
	EnvInstanceID  = "TARRAGON_INSTANCE_ID"
	EnvZone        = "TARRAGON_ZONE"
	EnvPlatformURL = "TARRAGON_PLATFORM_URL"
	EnvLogLevel    = "TARRAGON_LOG_LEVEL"
)

// Load reads a settings file, applies the defaults and the environment, and checks the
// result. getenv returns the value of an environment variable. The error wraps
// ErrInvalid and lists every fault with line and column, unless the file can't be read.
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

// Parse decodes the text of a settings file, applies the defaults and the environment,
// and checks the result. Its error is of type strictjson.Faults.
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
	setIfNotEmpty(&s.Instance.ID, getenv(EnvInstanceID))
	setIfNotEmpty(&s.Instance.Zone, getenv(EnvZone))
	setIfNotEmpty(&s.Platform.URL, getenv(EnvPlatformURL))
	setIfNotEmpty(&s.Log.Level, getenv(EnvLogLevel))
}

func setIfNotEmpty[T ~string](field *T, value string) {
	if value != "" {
		*field = T(value)
	}
}
