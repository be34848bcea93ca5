package replica_test

import (
	"context"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
)

// Guards against a leadership transfer that stops reads because no other replica can be elected.
func TestLeaderStaysWithoutAQuorumOfOtherDisks(t *testing.T) {
	forEachDiskFault(t, func(t *testing.T, group *localgroup.Group, leader int, impair func()) {
		if err := group.Kill((leader + 1) % 3); err != nil {
			t.Fatal(err)
		}
		impair()
		for range 5 {
			// Two of three replicas store nothing.
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			_, err := group.Client().Propose(ctx, beginRequest(0, 1))
			cancel()
			if err == nil {
				t.Fatal("a command was committed on one of three disks")
			}
			ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
			_, err = group.Client().Read(ctx, state.Query{Status: &state.StatusQuery{}})
			cancel()
			if err != nil {
				t.Fatalf("read: %v", err)
			}
		}
	})
}
