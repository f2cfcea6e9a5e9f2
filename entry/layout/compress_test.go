package layout

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Guards against values that fill the link of an owner: the progress of a job with 24 running tasks
// took 3 kB in each batch.
func TestProgressOfAWideJobIsStoredShort(t *testing.T) {
	var progress shard.Progress
	for i := range 24 {
		progress.Tasks = append(progress.Tasks, shard.TaskProgress{
			Index: i, Run: 1 + i%2, Executor: cluster.ExecutorID(fmt.Sprintf("i-%010x", i*7919+104729)),
			Born: cluster.Birth(1_771_000_000_000 + 1000*i), Address: fmt.Sprintf("10.1.66.%d:8487", 200+i),
		})
	}
	text, err := json.Marshal(progress)
	assert.NilError(t, err)
	value, err := EncodeCompressed(progress)
	assert.NilError(t, err)
	assert.Assert(t, 3*len(value) <= len(text), "%d bytes of %d", len(value), len(text))
	decoded, err := DecodeCompressed[shard.Progress]("key", value)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, progress)
}

func TestEncodedValuesAreDecoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.String(), 0, 200).Draw(t, "values")
		value, err := EncodeCompressed(values)
		assert.NilError(t, err)
		decoded, err := DecodeCompressed[[]string]("key", value)
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(values))
		plain, err := json.Marshal(values) // as earlier versions stored it
		assert.NilError(t, err)
		earlier, err := DecodeCompressed[[]string]("key", plain)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, earlier)
	})
}

// Guards against a value of another writer that ends the process for lack of memory when it is read.
func TestCompressedValuesOfOthersAreBounded(t *testing.T) {
	var value bytes.Buffer
	value.WriteByte(compressedMark)
	writer, err := flate.NewWriter(&value, flate.BestCompression)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	for range 64 {
		_, err = writer.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, writer.Close())
	_, err = DecodeCompressed[[]string]("key", value.Bytes())
	assert.ErrorIs(t, err, errTooLong)
	for _, broken := range [][]byte{{compressedMark}, {compressedMark, 0xff, 0xff}, value.Bytes()[:value.Len()/2]} {
		_, err = DecodeCompressed[[]string]("key", broken)
		assert.ErrorContains(t, err, "entry key")
	}
}
