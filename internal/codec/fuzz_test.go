package codec

import (
	"bytes"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
)

// fuzzRoundTrip guards against a decoder that panics, and against accepted input whose value
// changes when it is encoded and decoded again.
func fuzzRoundTrip[T any](f *testing.F, format format[T], seeds ...T) {
	f.Add([]byte{Version, 0xa0})
	for _, seed := range seeds {
		data, err := format.encode(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		value, err := format.decode(data)
		if err != nil {
			return
		}
		first, err := format.encode(value)
		if err != nil {
			t.Fatalf("encoding of a decoded value: %v", err)
		}
		again, err := format.decode(first)
		if err != nil {
			t.Fatalf("decoding of an encoded value: %v", err)
		}
		second, err := format.encode(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encodings differ (%v): %x, %x", err, first, second)
		}
	})
}

func FuzzCommand(f *testing.F)      { fuzzRoundTrip(f, commands, sampleCommand()) }
func FuzzResult(f *testing.F)       { fuzzRoundTrip(f, results, state.Result{File: &state.FileResult{}}) }
func FuzzQuery(f *testing.F)        { fuzzRoundTrip(f, queries, state.Query{Status: &state.StatusQuery{}}) }
func FuzzAnswer(f *testing.F)       { fuzzRoundTrip(f, answers, state.Answer{Job: &state.JobView{ID: 1}}) }
func FuzzConfigRecord(f *testing.F) { fuzzRoundTrip(f, records, state.ConfigRecord{Body: []byte("x")}) }
func FuzzSnapshot(f *testing.F)     { fuzzRoundTrip(f, snapshots, state.New().Snapshot()) }
func FuzzMembership(f *testing.F) {
	fuzzRoundTrip(f, memberships, replog.Membership{Voters: []replog.ReplicaID{1}})
}
