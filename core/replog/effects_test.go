package replog_test

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Guards against a backlog that the owner can only store as a whole, and against a follower that
// acknowledges or applies entries that it has not yet returned to be persisted.
func TestEffectsDivideABacklog(t *testing.T) {
	config := testConfig
	config.ID, config.Membership = 1, replog.Membership{Voters: []replog.ReplicaID{1, 2}}
	now := time.Unix(0, 0)
	follower, err := replog.New(config, now)
	if err != nil {
		t.Fatal(err)
	}
	message := replog.Message{Type: replog.MessageAppend, From: 2, To: 1, Term: 1, Commit: 4}
	for index := uint64(1); index <= 5; index++ {
		message.Entries = appendEntry(message.Entries, index, config.MaxBatchBytes*2/5)
	}
	follower.Step(now, message)
	returned := uint64(0)
	for batches := 1; ; batches++ {
		e := follower.Effects()
		if len(e.Entries) == 0 {
			t.Fatalf("entries up to %d of 5 returned", returned)
		}
		returned = e.Entries[len(e.Entries)-1].Index
		if n := len(e.Committed); n > 0 && e.Committed[n-1].Index > returned {
			t.Errorf("entry %d committed before it was returned to be persisted", e.Committed[n-1].Index)
		}
		if returned < 5 && len(e.AfterSync) > 0 {
			t.Errorf("entries up to 5 acknowledged with the batch up to %d", returned)
		}
		if returned == 5 {
			if len(e.AfterSync) != 1 || batches < 3 {
				t.Errorf("%d batches, %d acknowledgements", batches, len(e.AfterSync))
			}
			return
		}
	}
}

func appendEntry(entries []replog.Entry, index uint64, bytes int) []replog.Entry {
	return append(entries, replog.Entry{Index: index, Term: 1, Kind: replog.EntryCommand, Data: make([]byte, bytes)})
}
