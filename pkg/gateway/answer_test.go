package gateway

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTopRecords guards against records that are lost, duplicated, truncated or out of
// order. It compares the result with the first records of a sorted list of all records.
func TestTopRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// A small range of byte values makes equal records likely.
		record := rapid.SliceOfN(rapid.ByteRange(0, 2), RecordBytes, RecordBytes)
		var bodies, allRecords [][]byte
		for range rapid.IntRange(0, 6).Draw(t, "bodies") {
			records := rapid.SliceOfN(record, 0, 8).Draw(t, "records")
			allRecords = append(allRecords, records...)
			incompleteRecord := rapid.SliceOfN(rapid.Byte(), 0, RecordBytes-1).Draw(t, "rest")
			bodies = append(bodies, append(bytes.Join(records, nil), incompleteRecord...))
		}
		n := rapid.IntRange(0, 20).Draw(t, "n")
		slices.SortFunc(allRecords, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(allRecords[:min(n, len(allRecords))], nil)
		if got := TopRecords(bodies, n); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
