package keys

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestWrittenFilesLoadWithTheInstanceID(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	files, err := authority.WriteFiles(t.TempDir(), "entry-1")
	assert.NilError(t, err)
	config, err := Load(files.Certificate, files.Key, files.Authority)
	assert.NilError(t, err)
	assert.Equal(t, config.Certificates[0].Leaf.Subject.CommonName, "entry-1")
}

func TestWriteFilesErrorNamesThePath(t *testing.T) {
	authority, err := NewAuthority()
	assert.NilError(t, err)
	_, err = authority.WriteFiles("absent", "entry-1")
	assert.ErrorContains(t, err, "absent/entry-1.pem")
}
