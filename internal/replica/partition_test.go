package replica_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// readGeneration reads the generation of the cell file in force from one replica.
func readGeneration(ctx context.Context, client rpcpb.Control, query []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := client.Read(ctx, &rpcpb.ReadRequest{Query: query})
	if err != nil {
		return 0, err
	}
	answer, err := codec.DecodeAnswer(response.Answer)
	if err != nil {
		return 0, err
	}
	return uint64(answer.Status.Generation), nil
}

// watchReads reads from one replica until ctx ends. Every answer must be at least as new as what
// was committed before the read was sent. The channel returns the number of answered reads.
func watchReads(t *testing.T, ctx context.Context, group *localgroup.Group, i int, committed *atomic.Uint64) <-chan int {
	t.Helper()
	client, query := controlClient(t, group, i), encodeStatusQuery(t)
	answers := make(chan int, 1)
	go func() {
		answered := 0
		for ctx.Err() == nil {
			before := committed.Load()
			generation, err := readGeneration(ctx, client, query)
			if err != nil {
				continue
			}
			answered++
			if generation < before {
				t.Errorf("read generation %d after generation %d was committed", generation, before)
			}
		}
		answers <- answered
	}()
	return answers
}

// Guards against stale reads from a leader that receives no messages while its own messages still
// arrive. It must stop answering before another replica becomes leader, and become a follower when
// the partition ends.
func TestPartitionedLeaderServesNoStaleReads(t *testing.T) {
	group := startGroup(t, 3, nil)
	base := cellFile(t, "turnos.toml")
	applyFile(t, group, base)
	var committed atomic.Uint64
	committed.Store(1)
	old := leaderOf(t, group)
	ctx, cancel := context.WithCancel(t.Context())
	answers := watchReads(t, ctx, group, old, &committed)
	group.Cut(old, true)
	for generation := uint64(2); generation < 8; generation++ {
		body := bytes.Replace(base, []byte("generation = 1"), fmt.Appendf(nil, "generation = %d", generation), 1)
		if result := applyFile(t, group, body); result.Refusal != state.RefusalNone {
			t.Fatalf("generation %d: %s", generation, result.Refusal)
		}
		committed.Store(generation)
	}
	report, err := group.Replica(old).Report(callContext(t))
	if err != nil || report.Leading {
		t.Errorf("the partitioned leader still leads: %+v, error %v", report, err)
	}
	group.Cut(old, false)
	next := leaderOf(t, group)
	report, err = group.Replica(next).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	awaitApplied(t, group, old, report.Applied)
	cancel()
	if answered := <-answers; answered == 0 {
		t.Error("the leader answered no read before the partition")
	}
}
