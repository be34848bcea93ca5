package replica_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/replica"
)

// slowDisk delays the syncs of files while slow is set, each by a random time from delay to delay
// + spread.
type slowDisk struct {
	diskio.Disk
	slow          *atomic.Bool
	delay, spread time.Duration
}

type slowFile struct {
	diskio.File
	disk slowDisk
}

func (d slowDisk) Create(name string) (diskio.File, error) {
	file, err := d.Disk.Create(name)
	return slowFile{file, d}, err
}

func (f slowFile) Sync() error {
	if f.disk.slow.Load() {
		time.Sleep(f.disk.delay + rand.N(f.disk.spread+1))
	}
	return f.File.Sync()
}

// Guards against repeated leadership transfers, each of which interrupts commands, when the disks
// of all replicas are equally slow and no follower is faster.
func TestEquallySlowDisksKeepTheLeader(t *testing.T) {
	expectNoTransfer(t, 3, 300*time.Millisecond, 0)
}

// Guards against repeated leadership transfers when all disks are slow and each of them is the
// slowest at times.
func TestUnevenlySlowDisksKeepTheLeader(t *testing.T) {
	expectNoTransfer(t, 5, 200*time.Millisecond, 400*time.Millisecond)
}

func expectNoTransfer(t *testing.T, replicas int, delay, spread time.Duration) {
	t.Helper()
	var slow atomic.Bool
	group := startGroup(t, replicas, func(o *replica.Options) {
		o.Storage.Disk = slowDisk{faultdisk.New(), &slow, delay, spread}
	})
	applyFile(t, group, cellFile(t, "turnos.toml"))
	joinEntryProcess(t, group)
	before, err := group.Replica(leaderOf(t, group)).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	slow.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	var done atomic.Int64
	var tasks sync.WaitGroup
	for caller := range 8 {
		tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if _, err := group.Client().Propose(ctx, beginRequest(caller*1000+i, 1)); err == nil {
					done.Add(1)
				}
			}
		})
	}
	tasks.Wait()
	slow.Store(false)
	after, err := group.Replica(leaderOf(t, group)).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	transferMetrics := ""
	for line := range strings.Lines(group.Metrics.Text()) {
		if strings.Contains(line, "hand") {
			transferMetrics += line
		}
	}
	t.Logf("%d commands, terms %d to %d, %s", done.Load(), before.Term, after.Term, transferMetrics)
	if strings.Contains(transferMetrics, "disk-slow") {
		t.Errorf("leadership was transferred although all disks are slow")
	}
}
