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

// Seed 3 finds the planted fault recovered-unsynced within seconds.
var (
	powerSeed = flag.Uint64("power.seed", 3, "first seed of TestGroupPowerLoss")
	powerRuns = flag.Int("power.runs", 1, "number of runs of TestGroupPowerLoss, with consecutive seeds")
)

const (
	powerReplicas = 5
	powerFaults   = 12
	powerCallers  = 2
	// powerSync is what a sync takes, about that of a good disk. A stop at any
	// moment then often falls between a write and its sync.
	powerSync = time.Millisecond
	// powerSegmentBytes and powerSnapshotEntries let a run of some hundred
	// commands begin many segments and remove many.
	powerSegmentBytes    = 8 << 10
	powerSnapshotEntries = 200
	// stopWindow bounds the operations before a stop at an operation, and
	// stopWait the time in which an idle replica may come to it.
	stopWindow = 24
	stopWait   = 200 * time.Millisecond
	stopPoll   = time.Millisecond
	// recoveryStops bounds the operations before a stop in a recovery, which
	// has as many as the folder has segments and leftovers.
	recoveryStops = 8
)

// powerRun is one randomised run. Its own goroutine carries out the faults.
type powerRun struct {
	t        *testing.T
	began    time.Time
	random   *rand.Rand
	group    *localgroup.Group
	ledger   *ledger
	machines []*machine // by the number of the replica
	voters   []int      // of the file in force
	file     int        // its generation
	changing bool       // the group may not have these voters yet
	answered []int      // commands of this goroutine
}

type machine struct {
	*faultdisk.Machine
	running bool
	doomed  bool // a stop was set in its recovery
	lost    bool
	full    bool
}

// Guards against a group that loses what it has answered, elects two leaders in
// a term or none, where processes are killed and machines lose power and disks:
// a process that is killed between a write and its sync leaves a record that
// only the page cache holds, and a later loss of power takes it. Each seed can
// be repeated with -power.seed=N; the times of a run differ.
func TestGroupPowerLoss(t *testing.T) {
	for i := range *powerRuns {
		seed := *powerSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runPowerFaults(t, seed) })
	}
}

func runPowerFaults(t *testing.T, seed uint64) {
	r := &powerRun{t: t, began: time.Now(), random: rand.New(rand.NewPCG(seed, 0)), ledger: newLedger(t.Context()), voters: []int{0, 1, 2, 3, 4}, file: 1}
	r.group = startGroup(t, powerReplicas, r.tune)
	for _, m := range r.machines {
		m.running = true
	}
	applyFile(t, r.group, cellFile(t, "turnos.toml"))
	join(t, r.group)
	keepFeeding(t, r.group)
	stop := make(chan struct{})
	stopCallers := sync.OnceFunc(func() { close(stop) })
	var callers sync.WaitGroup
	answered := make([][]int, powerCallers)
	for caller := range answered {
		callers.Go(func() { answered[caller] = commitUntil(t, r.group, stop, (caller+1)*callerStride) })
	}
	t.Cleanup(func() { stopCallers(); callers.Wait() })

	for range powerFaults {
		r.fault()
		r.mend()
		r.commit()
	}
	r.settle()
	r.losePower(len(r.voters), r.spare())
	r.mendAll()
	leader := leaderOf(t, r.group)
	r.logf("replica %d leads", leader+1)
	r.commit()

	stopCallers()
	callers.Wait()
	keys := slices.Concat(append(answered, r.answered)...)
	r.logf("%d commands answered", len(keys))
	var checks sync.WaitGroup
	for part := range slices.Chunk(keys, 1+len(keys)/32) {
		checks.Go(func() { checkKnown(t, r.group, part) })
	}
	checks.Wait()
	r.logf("commands known")
	compareFolders(t, r.group, func(i int) diskio.Disk { return r.machines[i].Disk() }, r.withDisk()...)
	r.checkLedger(0, storage.Recovered{})
	checkViolations(t, r.group)
}

// logf logs a step of the run with its time.
func (r *powerRun) logf(format string, args ...any) {
	r.t.Helper()
	r.t.Logf("%.2f s: %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// tune gives a replica that starts its machine, and its messages to the ledger.
func (r *powerRun) tune(o *replica.Options) {
	for len(r.machines) < int(o.ID) {
		r.machines = append(r.machines, &machine{Machine: faultdisk.NewMachine(powerSync)})
	}
	o.Storage.Disk = r.machines[o.ID-1].Disk()
	o.Storage.SegmentBytes, o.SnapshotEveryEntries = powerSegmentBytes, powerSnapshotEntries
	o.ElectionTimeoutMin, o.ElectionTimeoutMax, o.HeartbeatInterval = 200*time.Millisecond, 400*time.Millisecond, 50*time.Millisecond
	o.Client = r.ledger.client()
}

// withDisk returns the machines that have not lost their disks.
func (r *powerRun) withDisk() []int {
	return r.machinesWhere(func(m *machine) bool { return !m.lost })
}

func (r *powerRun) machinesWhere(holds func(*machine) bool) []int {
	var found []int
	for i, m := range r.machines {
		if holds(m) {
			found = append(found, i)
		}
	}
	return found
}

// pick returns n of the machines that still have their disks, or all of them.
func (r *powerRun) pick(n int) []int {
	picked := r.withDisk()
	r.random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(n, len(picked))]
}

// spare is how many voters may lose their disks while the rest is a majority. A
// change of the group under way may need all of them.
func (r *powerRun) spare() int {
	if r.changing {
		return 0
	}
	lost := 0
	for _, i := range r.voters {
		if r.machines[i].lost {
			lost++
		}
	}
	return (len(r.voters)-1)/2 - lost
}

// fault carries out a random fault.
func (r *powerRun) fault() {
	switch r.random.IntN(8) {
	case 0, 1, 2, 3:
		r.killProcesses(1 + r.random.IntN(len(r.withDisk())))
	case 4:
		r.losePower(1+r.random.IntN(3), 0)
	case 5:
		r.losePower(len(r.machines), 0)
	case 6:
		r.losePower(len(r.machines), r.random.IntN(r.spare()+1))
	case 7:
		r.fill()
	}
}

func (r *powerRun) killProcesses(n int) {
	victims := r.pick(n)
	r.logf("kill %v", numbers(victims))
	r.stop(victims, slices.Clone(victims)...)
	for _, i := range victims {
		r.machines[i].Kill()
		r.checkDisk(i, "kill")
	}
}

// losePower takes the power of n machines at once, and the disks of some of
// them for ever.
func (r *powerRun) losePower(n, disks int) {
	victims := r.pick(n)
	r.logf("loss of power of %v, %d disks lost", numbers(victims), disks)
	r.stop(victims, victims[0])
	for at, i := range victims {
		m := r.machines[i]
		m.PowerLoss(r.random)
		if at < disks {
			m.lost = true
			r.logf("disk of %d lost", i+1)
			continue
		}
		r.checkDisk(i, "loss of power")
	}
}

// stop ends processes. Half of the time each of the disks atOperation stops at
// an operation of its own first; the others stop together after it.
func (r *powerRun) stop(victims []int, atOperation ...int) {
	running := slices.DeleteFunc(atOperation, func(i int) bool { return !r.machines[i].running })
	if r.random.IntN(2) == 0 {
		for _, i := range running {
			r.machines[i].StopAfter(r.random.IntN(stopWindow))
		}
		alive := func(i int) bool { return !r.machines[i].Disk().Stopped() }
		for end := time.Now().Add(stopWait); slices.ContainsFunc(running, alive) && time.Now().Before(end); {
			time.Sleep(stopPoll)
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
		m.running, m.doomed = false, false
	}
}

// fill lets disks refuse writes, or gives all of them room.
func (r *powerRun) fill() {
	full := r.machinesWhere(func(m *machine) bool { return m.full })
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

func (r *powerRun) setFull(i int, full bool) {
	r.logf("disk of %d full: %v", i+1, full)
	r.machines[i].full = full
	if full {
		r.machines[i].Disk().FailWrites(syscall.ENOSPC)
		return
	}
	r.machines[i].Disk().FailWrites(nil)
}

// checkDisk compares what the next start will find with what the replica has
// answered.
func (r *powerRun) checkDisk(i int, after string) replog.HardState {
	r.t.Helper()
	found, err := storage.Inspect(r.machines[i].Disk())
	if err != nil {
		r.t.Fatalf("replica %d cannot recover after a %s: %v", i+1, after, err)
	}
	r.checkLedger(replog.ReplicaID(i+1), found)
	return found.HardState
}

func (r *powerRun) checkLedger(id replog.ReplicaID, found storage.Recovered) {
	r.t.Helper()
	if broken := r.ledger.check(id, found); len(broken) > 0 {
		r.t.Fatalf("broken promises: %s", strings.Join(broken, "; "))
	}
}

// restart starts a process. Its recovery may be stopped by kills and losses of
// power, in the middle or soon after its end.
func (r *powerRun) restart(i int, disturbed bool) {
	m := r.machines[i]
	for {
		hard := r.checkDisk(i, "stop")
		m.doomed = disturbed && r.random.IntN(3) == 0
		if m.doomed {
			m.StopAfter(r.random.IntN(recoveryStops))
		}
		err := r.group.Restart(i)
		if err == nil {
			m.running = true
			r.ledger.started(replog.ReplicaID(i+1), hard)
			r.logf("start %d, term %d, vote %d, stop set: %v", i+1, hard.Term, hard.Vote, m.doomed)
			return
		}
		if !m.doomed || !errors.Is(err, storage.ErrFailed) {
			r.t.Fatalf("start of replica %d: %v", i+1, err)
		}
		if r.random.IntN(2) == 0 {
			r.logf("recovery of %d killed", i+1)
			m.Kill()
		} else {
			r.logf("recovery of %d ended by a loss of power", i+1)
			m.PowerLoss(r.random)
		}
	}
}

// mend starts some of the stopped replicas, and replaces lost ones once nothing
// else is wrong. What it leaves overlaps with the next fault.
func (r *powerRun) mend() {
	for _, i := range r.stopped() {
		if r.random.IntN(4) > 0 {
			r.restart(i, true)
		}
	}
	if !r.changing && r.allUp() && r.lostVoters() {
		r.replace()
	}
}

func (r *powerRun) stopped() []int {
	return r.machinesWhere(func(m *machine) bool { return !m.running && !m.lost })
}

func (r *powerRun) allUp() bool {
	return len(r.machinesWhere(func(m *machine) bool { return !m.lost && (!m.running || m.doomed || m.full) })) == 0
}

func (r *powerRun) lostVoters() bool {
	return slices.ContainsFunc(r.voters, func(i int) bool { return r.machines[i].lost })
}

// replace starts a replica under a new id for each lost one and lists it in its
// place. The group is changed during the next faults.
func (r *powerRun) replace() {
	for at, i := range r.voters {
		if !r.machines[i].lost {
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
	r.file++
	r.changing = true
	r.logf("file %d lists %v", r.file, numbers(r.voters))
	applyListed(r.t, r.group, r.file, strings.ReplaceAll(fmt.Sprint(numbers(r.voters)), " ", ", "))
}

// commit commits some commands where the replicas that run are a majority.
func (r *powerRun) commit() {
	sound := 0
	for _, i := range r.voters {
		if m := r.machines[i]; m.running && !m.doomed && !m.full {
			sound++
		}
	}
	if r.changing && !r.allUp() || sound <= len(r.voters)/2 {
		return
	}
	for range 1 + r.random.IntN(20) {
		key := len(r.answered)
		result, err := r.group.Client().Propose(callContext(r.t), begin(key, 1))
		if err != nil || result.Request == nil {
			r.t.Fatalf("no command is committed with %d of %d voters: %+v, error %v", sound, len(r.voters), result, err)
		}
		r.answered = append(r.answered, key)
	}
}

// mendAll gives all disks room and starts all replicas that have one.
func (r *powerRun) mendAll() {
	for _, i := range r.withDisk() {
		if r.machines[i].full {
			r.setFull(i, false)
		}
		if r.machines[i].doomed {
			r.stop([]int{i})
			r.machines[i].Kill()
		}
	}
	for _, i := range r.stopped() {
		r.restart(i, false)
	}
}

// settle ends all faults and waits for the group that the file in force lists.
func (r *powerRun) settle() {
	r.mendAll()
	if r.lostVoters() && !r.changing {
		r.replace()
	}
	voters := make([]replog.ReplicaID, len(r.voters))
	for at, i := range r.voters {
		voters[at] = replog.ReplicaID(i + 1)
	}
	awaitMembers(r.t, r.group, leaderOf(r.t, r.group), voters...)
	r.changing = false
	r.commit()
}

// numbers returns the ids of replicas for the log.
func numbers(replicas []int) []int {
	ids := make([]int, len(replicas))
	for at, i := range replicas {
		ids[at] = i + 1
	}
	return ids
}
