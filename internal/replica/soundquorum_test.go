package replica_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// Guards against a handover that ends the reads because nobody else can be elected.
func TestLeaderStaysWithoutAQuorumOfOtherDisks(t *testing.T) {
	for name, impair := range map[string]func(*faultdisk.Disk){
		"full":    func(d *faultdisk.Disk) { d.RefuseWrites(syscall.ENOSPC) },
		"hanging": func(d *faultdisk.Disk) { d.Hang(true) },
	} {
		t.Run(name, func(t *testing.T) {
			disks := map[replog.ReplicaID]*faultdisk.Disk{1: faultdisk.New(), 2: faultdisk.New(), 3: faultdisk.New()}
			group := startGroup(t, 3, func(o *replica.Options) { o.Storage.Disk = disks[o.ID] })
			applyFile(t, group, cellFile(t, "turnos.toml"))
			join(t, group)
			leader := leaderOf(t, group)
			if err := group.Kill((leader + 1) % 3); err != nil {
				t.Fatal(err)
			}
			bad := disks[replog.ReplicaID(leader+1)]
			impair(bad)
			defer func() {
				bad.RefuseWrites(nil)
				bad.Hang(false)
			}()
			for range 5 {
				// Two of three disks store nothing.
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err := group.Client().Propose(ctx, begin(0, 1))
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
}
