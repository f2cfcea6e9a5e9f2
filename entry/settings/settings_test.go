package settings

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func noEnv(string) string { return "" }

// validSettings returns the text of a minimal valid settings file.
func validSettings(t *testing.T) string {
	t.Helper()
	pemFile := filepath.Join(t.TempDir(), "pem")
	assert.NilError(t, os.WriteFile(pemFile, []byte("x"), 0o600))
	return `{
  "instance": {"id": "pa-1", "zone": "palermo"}, // comments are fine
  "platform": {"url": "http://127.0.0.1:9"},
  "mesh": {"advertise": "10.0.0.1:8082", "tls": {"certFile": "` + pemFile + `", "keyFile": "` + pemFile + `", "caFile": "` + pemFile + `"}}
}`
}

func TestParseCompletesWithDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings(t)), noEnv)
	assert.NilError(t, err)
	assert.Equal(t, s.Caller.Listen, defaultCallerListen)
	assert.Equal(t, s.Log.Format, jsonFormat)
}

func TestEnvironmentOverridesTheFile(t *testing.T) {
	s, err := Parse([]byte(validSettings(t)), func(name string) string {
		return map[string]string{EnvInstanceID: "pa-2", EnvLogLevel: "debug"}[name]
	})
	assert.NilError(t, err)
	assert.Equal(t, string(s.Instance.ID), "pa-2")
	assert.Equal(t, s.Log.Level, "debug")
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := `{
  "instance": {"id": "pa-1", "zone": "palermo"},
  "platform": {"url": "platform:9"},
  "caller": {"listen": "8080", "maxBodyByte": 3},
  "log": {"level": "loud"},
  "operator": {"listen": "0.0.0.0:1"}
}`
	_, err := Parse([]byte(text), noEnv)
	for _, fault := range []string{
		`3:23: platform.url: "platform:9": want a URL`,
		`4:24: caller.listen: "8080": want host:port`,
		`4:32: caller.maxBodyByte: unknown field`,
		`5:20: log.level: "loud": want debug`,
		`6:26: operator.listen: a listener beyond loopback needs`,
		`1:1: mesh.tls: the mesh always uses mutual TLS`,
		`1:1: mesh.advertise: is missing`,
	} {
		assert.ErrorContains(t, err, fault)
	}
}

func TestLoadReportsAnUnreadableFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "absent.json"), noEnv)
	assert.ErrorContains(t, err, "read settings")
}
