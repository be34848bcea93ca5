package logsim

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Outcome is the result of a proposal.
type Outcome int

// Outcomes of a proposal.
const (
	Committed Outcome = iota + 1
	Replaced          // another entry was committed at its index
	Unknown           // the replica stopped, or a snapshot covers the entry
)

// epoch is the time that the clock of every replica shows at the start of the simulation.
var epoch = time.Unix(0, 0)

// Replica is a simulated replica with its disk, clock and state machine.
type Replica struct {
	ID        replog.ReplicaID
	Core      *replog.Core // nil while the replica is down
	Machine   Machine
	ClockRate float64 // speed of the local clock relative to true time

	sim            *Sim
	membership     replog.Membership // initial membership
	starts         uint64
	pausedUntil    time.Duration
	suspended      bool          // the clock is stopped until the replica runs again
	suspendedAt    time.Duration // true time
	suspendedTotal time.Duration // total time for which the clock was stopped
	timerAt        time.Duration // true time of the earliest timer event
	deadline       time.Duration
	disk           disk
	syncing        int // number of batches at the head of disk.pending whose sync has started
	deferred       int // number of batches in disk.pending that are applied after their sync
	applied        uint64
	snapshotAt     uint64
	proposals      map[uint64][]proposal
	reads          map[uint64]func(ok bool)
	pendingReads   []replog.ReadResult
	nextRead       uint64
}

type proposal struct {
	term uint64
	done func(Outcome)
}

// Add starts a new replica with an empty disk.
func (s *Sim) Add(id replog.ReplicaID, initial replog.Membership, rate float64) *Replica {
	r := &Replica{ID: id, ClockRate: rate, sim: s, membership: initial}
	s.replicas[id] = r
	r.Start()
	return r
}

// Start starts the replica with the data on its disk.
func (r *Replica) Start() {
	r.starts++
	// A new process has a new clock, which was never stopped.
	r.suspended, r.suspendedTotal = false, 0
	cfg := r.sim.opts.Config
	cfg.ID, cfg.Membership = r.ID, r.membership
	cfg.Seed = cfg.Seed*31 + r.starts
	cfg.HardState, cfg.Snapshot, cfg.Entries = r.disk.hardState, r.disk.snapshot, r.disk.entries
	core, err := replog.New(cfg, r.LocalTime())
	if err != nil {
		panic(err) // the caller's options are invalid
	}
	r.Core = core
	r.Machine = r.sim.opts.NewMachine(r.ID)
	r.applied, r.snapshotAt = r.disk.snapshotIndex(), r.disk.snapshotIndex()
	if r.disk.snapshot != nil {
		r.Machine.Restore(r.disk.snapshot.Data)
	}
	r.proposals = map[uint64][]proposal{}
	r.reads = map[uint64]func(bool){}
	r.pendingReads = nil
	r.pausedUntil, r.timerAt = 0, 0
	r.Do(func(*replog.Core, time.Time) {})
}

// Crash stops the replica. keep gets the number of writes that were not synced and returns how many
// of them, counted from the first one, survive.
func (r *Replica) Crash(keep func(writes int) int) {
	r.Core = nil
	r.starts++
	r.syncing, r.deferred = 0, 0
	r.disk.crash(keep)
	r.endProposals(math.MaxUint64)
	for _, id := range slices.Sorted(maps.Keys(r.reads)) {
		r.reads[id](false)
	}
	r.reads = nil
}

// Pause stops the execution of the replica for d; its clock and its disk continue.
func (r *Replica) Pause(d time.Duration) { r.pausedUntil = max(r.pausedUntil, r.sim.now+d) }

// Suspend stops the execution and the clock of the replica, as the suspension of a VM may do. When
// the replica runs again, its core is told that the clock jumped.
func (r *Replica) Suspend(d time.Duration) {
	r.Pause(d)
	if !r.suspended {
		r.suspended, r.suspendedAt = true, r.sim.now
	}
}

// Suspended reports whether the replica has been suspended and has not run since then.
func (r *Replica) Suspended() bool { return r.suspended }

func (r *Replica) resume() {
	r.suspended = false
	r.suspendedTotal += r.sim.now - r.suspendedAt
	r.Core.ClockJumped(r.LocalTime())
}

// LocalTime returns the current time of the replica's own clock.
func (r *Replica) LocalTime() time.Time {
	now := r.sim.now
	if r.suspended {
		now = r.suspendedAt
	}
	return epoch.Add(time.Duration(float64(now-r.suspendedTotal) * r.ClockRate))
}

// Do passes one input to the replica and performs its effects. While the replica is paused, the
// input waits; if the replica stops, the input is lost.
func (r *Replica) Do(input func(c *replog.Core, now time.Time)) {
	starts := r.starts
	if r.sim.now < r.pausedUntil {
		r.sim.After(r.pausedUntil-r.sim.now, func() {
			if r.starts == starts {
				r.Do(input)
			}
		})
		return
	}
	if r.Core == nil {
		return
	}
	if r.suspended {
		r.resume()
	}
	r.sim.steps++
	input(r.Core, r.LocalTime())
	effects := r.Core.Effects()
	if r.sim.opts.AfterStep != nil {
		r.sim.opts.AfterStep(r)
	}
	r.performEffects(effects)
}

// Propose proposes a command. done is called once, unless Propose returns an error.
func (r *Replica) Propose(command []byte, done func(Outcome)) (err error) {
	r.Do(func(c *replog.Core, now time.Time) {
		var index, term uint64
		if index, term, err = c.Propose(now, [][]byte{command}); err == nil {
			r.proposals[index] = append(r.proposals[index], proposal{term, done})
		}
	})
	return err
}

// Read calls done with true when the state machine is current, or with false if the replica has
// lost the leadership or stopped.
func (r *Replica) Read(done func(ok bool)) (err error) {
	r.Do(func(c *replog.Core, now time.Time) {
		r.nextRead++
		if err = c.ReadBarrier(now, r.nextRead); err == nil {
			r.reads[r.nextRead] = done
		}
	})
	return err
}

func (r *Replica) performEffects(e replog.Effects) {
	for _, m := range e.Messages {
		r.sim.transmit(m)
	}
	r.setTimer(e.Deadline)
	e.Messages = nil
	// Committed entries are durable on a quorum, so they can be applied before the local sync. The
	// exception is a batch with a received snapshot, and those queued behind it: they are applied
	// after their sync, because the snapshot is installed only then.
	deferred := e.Snapshot != nil || r.deferred > 0
	if deferred {
		r.deferred++
	}
	r.write(batch{effects: e, deferred: deferred})
	if !deferred {
		r.apply(e)
	}
}

// write queues a batch. All batches that are queued when a sync starts share it (group commit).
// Batches without writes complete without a sync.
func (r *Replica) write(b batch) {
	r.disk.pending = append(r.disk.pending, b)
	r.startSync()
}

func (r *Replica) startSync() {
	for len(r.disk.pending) > 0 && r.syncing == 0 {
		if len(r.disk.pending[0].writes()) == 0 {
			r.completeBatch()
			continue
		}
		r.syncing = len(r.disk.pending)
		starts := r.starts
		r.sim.After(r.sim.opts.SyncTime(r.ID), func() {
			if r.starts == starts {
				r.Do(func(*replog.Core, time.Time) { r.finishSync() })
			}
		})
	}
}

func (r *Replica) finishSync() {
	for ; r.syncing > 0; r.syncing-- {
		r.completeBatch()
	}
	r.startSync()
}

// completeBatch handles the first pending batch as synced.
func (r *Replica) completeBatch() {
	b := r.disk.pending[0]
	r.disk.pending = r.disk.pending[1:]
	writes := b.writes()
	for _, write := range writes {
		write(&r.disk)
	}
	if b.compact != nil {
		// Compact fails only if a newer snapshot was installed in the meantime.
		_ = r.Core.Compact(*b.compact)
		return
	}
	if len(writes) > 0 {
		r.Core.Persisted(r.LocalTime(), b.effects.Mark)
	}
	for _, m := range b.effects.AfterSync {
		r.sim.transmit(m)
	}
	if b.deferred {
		r.deferred--
		r.apply(b.effects)
	}
}

func (r *Replica) setTimer(deadline time.Time) {
	r.deadline = time.Duration(float64(deadline.Sub(epoch))/r.ClockRate) + r.suspendedTotal + 1
	if r.timerAt > r.sim.now && r.timerAt <= r.deadline {
		return
	}
	r.timerAt = max(r.deadline, r.sim.now+1)
	starts, at := r.starts, r.timerAt
	r.sim.After(r.timerAt-r.sim.now, func() {
		if r.starts != starts || r.timerAt != at {
			return
		}
		r.Do(func(c *replog.Core, now time.Time) {
			r.timerAt = 0
			c.Tick(now)
		})
	})
}
