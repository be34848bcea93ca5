package replica_test

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Seed 3 detects the planted fault recovered-unsynced within seconds.
var (
	powerSeed = flag.Uint64("power.seed", 3, "first seed of TestGroupPowerLoss")
	powerRuns = flag.Int("power.runs", 1, "number of runs of TestGroupPowerLoss, with consecutive seeds")
)

const (
	powerReplicas = 5
	powerFaults   = 12
	powerCallers  = 2
	// powerSyncLatency is the duration of a sync, about that of a good disk. A stop at a random
	// time then often falls between a write and its sync.
	powerSyncLatency = time.Millisecond
	// powerSegmentBytes and powerSnapshotEntries are small, so that a run of a few hundred
	// commands creates and removes many segments.
	powerSegmentBytes    = 8 << 10
	powerSnapshotEntries = 200
	// maxOperationsBeforeStop bounds the disk operations before a scheduled stop. maxStopWait is
	// how long an idle replica may take to reach it.
	maxOperationsBeforeStop = 24
	maxStopWait             = 200 * time.Millisecond
	stopPollInterval        = time.Millisecond
	// maxOperationsBeforeRecoveryStop bounds the disk operations before a scheduled stop during
	// recovery. A recovery has as many operations as the folder has segments and leftover files.
	maxOperationsBeforeRecoveryStop = 8
)

// powerLossRun is one randomized run. Its own goroutine injects the faults.
type powerLossRun struct {
	t                  *testing.T
	startedAt          time.Time
	random             *rand.Rand
	group              *localgroup.Group
	promises           *promiseChecker
	machines           []*machine // by replica number
	voters             []int      // replicas that the cell file in force lists
	generation         int        // generation of the cell file in force
	membershipChanging bool       // the group may not consist of these voters yet
	committed          []int      // keys of the committed commands of this goroutine
}

type machine struct {
	*faultdisk.Machine
	running       bool
	stopScheduled bool // its disk stops at one of the next operations
	diskLost      bool
	diskFull      bool
}

// Guards against a group that loses answered commands, elects two leaders in a term, or elects
// none, when processes are killed and machines lose their power or disks. A process that is killed
// between a write and its sync leaves a record that only the page cache holds; a later loss of
// power removes it. -power.seed=N repeats a seed, but the timing of each run differs.
func TestGroupPowerLoss(t *testing.T) {
	for i := range *powerRuns {
		seed := *powerSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runPowerLoss(t, seed) })
	}
}

func runPowerLoss(t *testing.T, seed uint64) {
	r := &powerLossRun{t: t, startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 0)), promises: newPromiseChecker(t.Context()), voters: []int{0, 1, 2, 3, 4}, generation: 1}
	r.group = startGroup(t, powerReplicas, r.tune)
	for _, m := range r.machines {
		m.running = true
	}
	applyFile(t, r.group, cellFile(t, "turnos.toml"))
	joinEntryProcess(t, r.group)
	keepPollingFeed(t, r.group)
	stop := make(chan struct{})
	stopCallers := sync.OnceFunc(func() { close(stop) })
	var callers sync.WaitGroup
	answered := make([][]int, powerCallers)
	for caller := range answered {
		callers.Go(func() { answered[caller] = commitUntil(t, r.group, stop, (caller+1)*callerStride) })
	}
	t.Cleanup(func() { stopCallers(); callers.Wait() })

	for range powerFaults {
		r.injectFault()
		r.restartSome()
		r.commitIfMajority()
	}
	r.awaitListedVoters()
	r.losePower(len(r.voters), r.expendableDisks())
	r.restartAll()
	leader := leaderOf(t, r.group)
	r.logf("replica %d leads", leader+1)
	r.commitIfMajority()

	stopCallers()
	callers.Wait()
	keys := slices.Concat(append(answered, r.committed)...)
	r.logf("%d commands answered", len(keys))
	var checks sync.WaitGroup
	for part := range slices.Chunk(keys, 1+len(keys)/32) {
		checks.Go(func() { checkNotDispatchedAgain(t, r.group, part) })
	}
	checks.Wait()
	r.logf("commands known")
	compareFolders(t, r.group, func(i int) diskio.Disk { return r.machines[i].Disk() }, r.withDisk()...)
	r.checkPromises(0, storage.Recovered{})
	checkViolations(t, r.group)
}

// logf logs a step of the run with the elapsed time.
func (r *powerLossRun) logf(format string, args ...any) {
	r.t.Helper()
	r.t.Logf("%.2f s: %s", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// tune gives a new replica its machine and reports its messages to the promise checker.
func (r *powerLossRun) tune(o *replica.Options) {
	for len(r.machines) < int(o.ID) {
		r.machines = append(r.machines, &machine{Machine: faultdisk.NewMachine(powerSyncLatency)})
	}
	o.Storage.Disk = r.machines[o.ID-1].Disk()
	o.Storage.SegmentBytes, o.SnapshotEveryEntries = powerSegmentBytes, powerSnapshotEntries
	o.ElectionTimeoutMin, o.ElectionTimeoutMax, o.HeartbeatInterval = 200*time.Millisecond, 400*time.Millisecond, 50*time.Millisecond
	o.Client = r.promises.recordingClient()
}

// withDisk returns the machines that have not lost their disks.
func (r *powerLossRun) withDisk() []int {
	return r.machinesWhere(func(m *machine) bool { return !m.diskLost })
}

func (r *powerLossRun) machinesWhere(holds func(*machine) bool) []int {
	var found []int
	for i, m := range r.machines {
		if holds(m) {
			found = append(found, i)
		}
	}
	return found
}

// pick returns n random machines that still have their disks, or all of them if there are fewer.
func (r *powerLossRun) pick(n int) []int {
	picked := r.withDisk()
	r.random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// expendableDisks returns how many more voters may lose their disks while the rest is a majority.
// A membership change in progress may need all of them.
func (r *powerLossRun) expendableDisks() int {
	if r.membershipChanging {
		return 0
	}
	lost := 0
	for _, i := range r.voters {
		if r.machines[i].diskLost {
			lost++
		}
	}
	return (len(r.voters)-1)/2 - lost
}

// injectFault injects a random fault.
func (r *powerLossRun) injectFault() {
	switch r.random.IntN(8) {
	case 0, 1, 2, 3:
		r.killProcesses(1 + r.random.IntN(len(r.withDisk())))
	case 4:
		r.losePower(1+r.random.IntN(3), 0)
	case 5:
		r.losePower(len(r.machines), 0)
	case 6:
		r.losePower(len(r.machines), r.random.IntN(r.expendableDisks()+1))
	case 7:
		r.toggleFullDisks()
	}
}

func (r *powerLossRun) killProcesses(n int) {
	victims := r.pick(n)
	r.logf("kill %v", replicaIDs(victims))
	r.stopProcesses(victims, slices.Clone(victims)...)
	for _, i := range victims {
		r.machines[i].Kill()
		r.checkDisk(i, "kill")
	}
}

// losePower cuts the power of n machines at once. The first of them permanently lose their disks
// as well.
func (r *powerLossRun) losePower(n, disks int) {
	victims := r.pick(n)
	r.logf("loss of power of %v, %d disks lost", replicaIDs(victims), disks)
	r.stopProcesses(victims, victims[0])
	for at, i := range victims {
		m := r.machines[i]
		m.PowerLoss(r.random)
		if at < disks {
			m.diskLost = true
			r.logf("disk of %d lost", i+1)
			continue
		}
		r.checkDisk(i, "loss of power")
	}
}

// stopProcesses ends the processes of victims. In half of the cases it first lets each disk in
// atOperation stop at its own disk operation and then stops the others together.
func (r *powerLossRun) stopProcesses(victims []int, atOperation ...int) {
	running := slices.DeleteFunc(atOperation, func(i int) bool { return !r.machines[i].running })
	if r.random.IntN(2) == 0 {
		for _, i := range running {
			r.machines[i].StopAfter(r.random.IntN(maxOperationsBeforeStop))
		}
		alive := func(i int) bool { return !r.machines[i].Disk().Stopped() }
		for end := time.Now().Add(maxStopWait); slices.ContainsFunc(running, alive) && time.Now().Before(end); {
			time.Sleep(stopPollInterval)
		}
	}
	for _, i := range victims {
		r.machines[i].Disk().Stop()
	}
	for _, i := range victims {
		m := r.machines[i]
		if !m.running {
			continue
		}
		if err := r.group.Kill(i); err != nil && !errors.Is(err, storage.ErrFailed) {
			r.t.Fatalf("replica %d: %v", i+1, err)
		}
		m.running, m.stopScheduled = false, false
	}
}

// toggleFullDisks makes some disks full, or frees all full disks.
func (r *powerLossRun) toggleFullDisks() {
	full := r.machinesWhere(func(m *machine) bool { return m.diskFull })
	if len(full) == 0 {
		full = r.pick(1 + r.random.IntN(2))
		for _, i := range full {
			r.setFull(i, true)
		}
		return
	}
	for _, i := range full {
		r.setFull(i, false)
	}
}

func (r *powerLossRun) setFull(i int, full bool) {
	r.logf("disk of %d full: %v", i+1, full)
	r.machines[i].diskFull = full
	if full {
		r.machines[i].Disk().FailWrites(syscall.ENOSPC)
		return
	}
	r.machines[i].Disk().FailWrites(nil)
}

// checkDisk compares the state that the next start will recover with what the replica has sent.
func (r *powerLossRun) checkDisk(i int, after string) replog.HardState {
	r.t.Helper()
	found, err := storage.Inspect(r.machines[i].Disk())
	if err != nil {
		r.t.Fatalf("replica %d cannot recover after a %s: %v", i+1, after, err)
	}
	r.checkPromises(replog.ReplicaID(i+1), found)
	return found.HardState
}

func (r *powerLossRun) checkPromises(id replog.ReplicaID, found storage.Recovered) {
	r.t.Helper()
	if violations := r.promises.checkDisk(id, found); len(violations) > 0 {
		r.t.Fatalf("violated promises: %s", strings.Join(violations, "; "))
	}
}

// restart starts a process. If disturbed is set, kills and losses of power may stop it during its
// recovery or soon afterwards.
func (r *powerLossRun) restart(i int, disturbed bool) {
	m := r.machines[i]
	for {
		hard := r.checkDisk(i, "stop")
		m.stopScheduled = disturbed && r.random.IntN(3) == 0
		if m.stopScheduled {
			m.StopAfter(r.random.IntN(maxOperationsBeforeRecoveryStop))
		}
		err := r.group.Restart(i)
		if err == nil {
			m.running = true
			r.promises.recordStart(replog.ReplicaID(i+1), hard)
			r.logf("start %d, term %d, vote %d, stop scheduled: %v", i+1, hard.Term, hard.Vote, m.stopScheduled)
			return
		}
		if !m.stopScheduled || !errors.Is(err, storage.ErrFailed) {
			r.t.Fatalf("start of replica %d: %v", i+1, err)
		}
		if r.random.IntN(2) == 0 {
			r.logf("replica %d killed during recovery", i+1)
			m.Kill()
		} else {
			r.logf("replica %d lost power during recovery", i+1)
			m.PowerLoss(r.random)
		}
	}
}

// restartSome starts some of the stopped replicas, and replaces lost ones once no other fault
// remains. Faults that it leaves overlap with the next one.
func (r *powerLossRun) restartSome() {
	for _, i := range r.stopped() {
		if r.random.IntN(4) > 0 {
			r.restart(i, true)
		}
	}
	if !r.membershipChanging && r.allHealthy() && r.hasLostVoter() {
		r.replaceLostVoters()
	}
}

func (r *powerLossRun) stopped() []int {
	return r.machinesWhere(func(m *machine) bool { return !m.running && !m.diskLost })
}

func (r *powerLossRun) allHealthy() bool {
	return len(r.machinesWhere(func(m *machine) bool { return !m.diskLost && (!m.running || m.stopScheduled || m.diskFull) })) == 0
}

func (r *powerLossRun) hasLostVoter() bool {
	return slices.ContainsFunc(r.voters, func(i int) bool { return r.machines[i].diskLost })
}

// replaceLostVoters starts a replica with a new id for each lost voter and lists it instead. The
// group changes while the next faults are injected.
func (r *powerLossRun) replaceLostVoters() {
	for at, i := range r.voters {
		if !r.machines[i].diskLost {
			continue
		}
		joined, err := r.group.Join()
		if err != nil {
			r.t.Fatal(err)
		}
		r.machines[joined].running = true
		r.voters[at] = joined
	}
	slices.Sort(r.voters)
	r.generation++
	r.membershipChanging = true
	r.logf("cell file %d lists %v", r.generation, replicaIDs(r.voters))
	applyFileWithReplicas(r.t, r.group, r.generation, strings.ReplaceAll(fmt.Sprint(replicaIDs(r.voters)), " ", ", "))
}

// commitIfMajority commits some commands if the healthy replicas are a majority.
func (r *powerLossRun) commitIfMajority() {
	healthy := 0
	for _, i := range r.voters {
		if m := r.machines[i]; m.running && !m.stopScheduled && !m.diskFull {
			healthy++
		}
	}
	if r.membershipChanging && !r.allHealthy() || healthy <= len(r.voters)/2 {
		return
	}
	for range 1 + r.random.IntN(20) {
		key := len(r.committed)
		result, err := r.group.Client().Propose(callContext(r.t), beginRequest(key, 1))
		if err != nil || result.Request == nil {
			r.t.Fatalf("command not committed with %d of %d voters: %+v, error %v", healthy, len(r.voters), result, err)
		}
		r.committed = append(r.committed, key)
	}
}

// restartAll frees all disks and starts all replicas that have a disk.
func (r *powerLossRun) restartAll() {
	for _, i := range r.withDisk() {
		if r.machines[i].diskFull {
			r.setFull(i, false)
		}
		if r.machines[i].stopScheduled {
			r.stopProcesses([]int{i})
			r.machines[i].Kill()
		}
	}
	for _, i := range r.stopped() {
		r.restart(i, false)
	}
}

// awaitListedVoters ends all faults and waits until the group has the voters that the cell file in
// force lists.
func (r *powerLossRun) awaitListedVoters() {
	r.restartAll()
	if r.hasLostVoter() && !r.membershipChanging {
		r.replaceLostVoters()
	}
	voters := make([]replog.ReplicaID, len(r.voters))
	for at, i := range r.voters {
		voters[at] = replog.ReplicaID(i + 1)
	}
	awaitVoters(r.t, r.group, leaderOf(r.t, r.group), voters...)
	r.membershipChanging = false
	r.commitIfMajority()
}

// replicaIDs returns the ids of replicas for log messages.
func replicaIDs(replicas []int) []int {
	ids := make([]int, len(replicas))
	for at, i := range replicas {
		ids[at] = i + 1
	}
	return ids
}
