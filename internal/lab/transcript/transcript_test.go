package transcript

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSumDependsOnEveryNumberAndByte(t *testing.T) {
	sumOf := func(payload string, numbers ...int64) string {
		transcript := New()
		transcript.Add([]byte(payload), numbers...)
		return transcript.Sum()
	}
	sum := sumOf("bytes", 1, 2)
	require.Equal(t, sum, sumOf("bytes", 1, 2))
	require.NotEqual(t, sum, sumOf("bytez", 1, 2))
	require.NotEqual(t, sum, sumOf("bytes", 1, 3))
	require.NotEqual(t, sum, sumOf("bytes", 2, 2))
}

func TestNilTranscriptKeepsNothing(t *testing.T) {
	var transcript *Transcript
	require.NotPanics(t, func() { transcript.Add([]byte("bytes"), 1) })
}

func TestReadSums(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sums.txt")
	require.NoError(t, os.WriteFile(path, []byte("3:ab a run\n4:cd another\n"), 0o600))
	sums, err := ReadSums(path)
	require.NoError(t, err)
	require.Equal(t, map[string]string{"a run": "3:ab", "another": "4:cd"}, sums)
}

func TestReadSumsRefusesALineWithoutAName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "sums.txt")
	require.NoError(t, os.WriteFile(path, []byte("3:ab\n"), 0o600))
	_, err := ReadSums(path)
	require.Error(t, err)
	_, err = ReadSums(path + ".none")
	require.ErrorIs(t, err, os.ErrNotExist)
}
