package duty

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var goldenClaim = claim{Holder: "entry-1", Token: "token", At: time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)}

// TestHolderKeepsItsForm guards against a renamed key or field, with which instances of two
// versions would both hold a duty. The file was written by commit 81f8b51.
func TestHolderKeepsItsForm(t *testing.T) {
	data, err := os.ReadFile("testdata/holder.txt")
	assert.NilError(t, err)
	key, text, _ := strings.Cut(strings.TrimSpace(string(data)), " ")
	assert.Equal(t, Key("palermo", "fleet"), key)
	var decoded claim
	assert.NilError(t, json.Unmarshal([]byte(text), &decoded))
	assert.DeepEqual(t, decoded, goldenClaim)
	encoded, err := json.Marshal(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), text)
}
