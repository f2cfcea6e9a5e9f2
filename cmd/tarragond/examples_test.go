package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/settings"
)

const examplesDir = "../../examples"

// TestExampleSettingsAreValid creates the key files with the command that the examples
// name and then parses the example settings.
func TestExampleSettingsAreValid(t *testing.T) {
	for name, id := range map[string]string{"agrisportello": "entry-palermo-1", "magnolia": "entry-biloxi-1"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(examplesDir, name+".json"))
			assert.NilError(t, err)
			t.Chdir(t.TempDir())
			output, err := tarragond("keys", "--dir", "keys", id).CombinedOutput()
			assert.NilError(t, err, "%s", output)
			_, err = settings.Parse(text, os.Getenv)
			assert.NilError(t, err)
		})
	}
}

func TestExampleConfigurationsAreValid(t *testing.T) {
	for _, name := range []string{"agrisportello-fleet.json", "magnolia-fleet.json"} {
		text, err := os.ReadFile(filepath.Join(examplesDir, name))
		assert.NilError(t, err)
		edit, err := object.Parse(text)
		assert.NilError(t, err)
		config := (&object.Config{}).Apply(object.Change{Put: edit.Put})
		assert.NilError(t, object.Validate(config, nil).Err())
		assert.Equal(t, len(config.Services), 5)
	}
}
