package logsim

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Outcome is what became of a proposal.
type Outcome int

// Outcomes of a proposal.
const (
	Committed Outcome = iota + 1
	Replaced          // another entry was committed in its place
	Unknown           // the replica stopped or skipped the entry
)

// epoch is the local time of every replica at the start.
var epoch = time.Unix(0, 0)

// Replica is one replica with its disk, clock and state machine.
type Replica struct {
	ID      replog.ReplicaID
	Core    *replog.Core // nil while it is down
	Machine Machine
	Rate    float64 // of the local clock against true time

	sim         *Sim
	membership  replog.Membership // at the first start
	starts      uint64
	pausedUntil time.Duration
	suspended   bool          // its clock stands still, until it runs again
	suspendedAt time.Duration // true time
	stoodStill  time.Duration // of the clock, in all
	timerAt     time.Duration // true time of the earliest timer event
	deadline    time.Duration
	disk        disk
	writing     int // first batches of disk.pending whose sync is on its way
	deferred    int // batches in disk.pending that are applied after their sync
	applied     uint64
	snapshotAt  uint64
	proposals   map[uint64][]proposal
	reads       map[uint64]func(ok bool)
	waitingRead []replog.ReadResult
	nextRead    uint64
}

type proposal struct {
	term uint64
	done func(Outcome)
}

// Add starts a new replica with an empty disk.
func (s *Sim) Add(id replog.ReplicaID, initial replog.Membership, rate float64) *Replica {
	r := &Replica{ID: id, Rate: rate, sim: s, membership: initial}
	s.replicas[id] = r
	r.Start()
	return r
}

// Start runs the replica from its disk.
func (r *Replica) Start() {
	r.starts++
	// The new process has a new clock, which has not stood still.
	r.suspended, r.stoodStill = false, 0
	cfg := r.sim.opts.Config
	cfg.ID, cfg.Membership = r.ID, r.membership
	cfg.Seed = cfg.Seed*31 + r.starts
	cfg.HardState, cfg.Snapshot, cfg.Entries = r.disk.hard, r.disk.snapshot, r.disk.entries
	core, err := replog.New(cfg, r.Local())
	if err != nil {
		panic(err) // a fault of the caller's options
	}
	r.Core = core
	r.Machine = r.sim.opts.NewMachine(r.ID)
	r.applied, r.snapshotAt = r.disk.base(), r.disk.base()
	if r.disk.snapshot != nil {
		r.Machine.Restore(r.disk.snapshot.Data)
	}
	r.proposals = map[uint64][]proposal{}
	r.reads = map[uint64]func(bool){}
	r.waitingRead = nil
	r.pausedUntil, r.timerAt = 0, 0
	r.Do(func(*replog.Core, time.Time) {})
}

// Crash stops the replica. Of the writes that were not synced, keep says how
// many of the first ones survive.
func (r *Replica) Crash(keep func(writes int) int) {
	r.Core = nil
	r.starts++
	r.writing, r.deferred = 0, 0
	r.disk.crash(keep)
	r.endProposals(math.MaxUint64)
	for _, id := range slices.Sorted(maps.Keys(r.reads)) {
		r.reads[id](false)
	}
	r.reads = nil
}

// Pause stops the replica's execution; its clock and its disk go on.
func (r *Replica) Pause(d time.Duration) { r.pausedUntil = max(r.pausedUntil, r.sim.now+d) }

// Suspend stops the replica's execution and its clock, as the suspension of a
// VM may do. The replica is told when it runs again.
func (r *Replica) Suspend(d time.Duration) {
	r.Pause(d)
	if !r.suspended {
		r.suspended, r.suspendedAt = true, r.sim.now
	}
}

// Suspended reports whether the replica has not run since Suspend.
func (r *Replica) Suspended() bool { return r.suspended }

func (r *Replica) wake() {
	r.suspended = false
	r.stoodStill += r.sim.now - r.suspendedAt
	r.Core.ClockJumped(r.Local())
}

// Local returns the present time by the replica's own clock.
func (r *Replica) Local() time.Time {
	now := r.sim.now
	if r.suspended {
		now = r.suspendedAt
	}
	return epoch.Add(time.Duration(float64(now-r.stoodStill) * r.Rate))
}

// Do lets the replica take one input and carries out the effects. While the
// replica is paused the input waits; if it stops, the input is lost.
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
		r.wake()
	}
	r.sim.steps++
	input(r.Core, r.Local())
	effects := r.Core.Effects()
	if r.sim.opts.AfterStep != nil {
		r.sim.opts.AfterStep(r)
	}
	r.carryOut(effects)
}

// Propose proposes a command; done is called once unless it returns an error.
func (r *Replica) Propose(command []byte, done func(Outcome)) (err error) {
	r.Do(func(c *replog.Core, now time.Time) {
		var index, term uint64
		if index, term, err = c.Propose(now, [][]byte{command}); err == nil {
			r.proposals[index] = append(r.proposals[index], proposal{term, done})
		}
	})
	return err
}

// Read calls done when the state machine is current, or with false where the
// leadership was lost.
func (r *Replica) Read(done func(ok bool)) (err error) {
	r.Do(func(c *replog.Core, now time.Time) {
		r.nextRead++
		if err = c.ReadBarrier(now, r.nextRead); err == nil {
			r.reads[r.nextRead] = done
		}
	})
	return err
}

func (r *Replica) carryOut(e replog.Effects) {
	for _, m := range e.Messages {
		r.sim.transmit(m)
	}
	r.setTimer(e.Deadline)
	e.Messages = nil
	// Committed entries are durable on a quorum. Only a snapshot that is not
	// installed yet keeps them from being applied before the sync.
	deferred := e.Snapshot != nil || r.deferred > 0
	if deferred {
		r.deferred++
	}
	r.write(batch{effects: e, deferred: deferred})
	if !deferred {
		r.apply(e)
	}
}

// write queues a batch behind those that are on their way. All batches that
// wait when a sync starts share it (group commit). Batches without anything to
// persist take no time of their own.
func (r *Replica) write(b batch) {
	r.disk.pending = append(r.disk.pending, b)
	r.startWrite()
}

func (r *Replica) startWrite() {
	for len(r.disk.pending) > 0 && r.writing == 0 {
		if len(r.disk.pending[0].writes()) == 0 {
			r.finish()
			continue
		}
		r.writing = len(r.disk.pending)
		starts := r.starts
		r.sim.After(r.sim.opts.SyncTime(r.ID), func() {
			if r.starts == starts {
				r.Do(func(*replog.Core, time.Time) { r.finishWrite() })
			}
		})
	}
}

func (r *Replica) finishWrite() {
	for ; r.writing > 0; r.writing-- {
		r.finish()
	}
	r.startWrite()
}

// finish takes the first batch as synced.
func (r *Replica) finish() {
	b := r.disk.pending[0]
	r.disk.pending = r.disk.pending[1:]
	writes := b.writes()
	for _, write := range writes {
		write(&r.disk)
	}
	if b.compact != nil {
		// An error means that a newer snapshot was installed meanwhile.
		_ = r.Core.Compact(*b.compact)
		return
	}
	if len(writes) > 0 {
		r.Core.Persisted(r.Local(), b.effects.Mark)
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
	r.deadline = time.Duration(float64(deadline.Sub(epoch))/r.Rate) + r.stoodStill + 1
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
