package logsim

import (
	"container/heap"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Machine is the state machine of one replica.
type Machine interface {
	Apply(e replog.Entry)
	Snapshot() []byte
	Restore(data []byte)
}

// Options configure the replicas, the network and the disks of a simulation.
type Options struct {
	// Config is the configuration of every replica. Replica.Start sets the id, the membership and
	// the state on disk, and derives a seed for each start from Config.Seed.
	Config replog.Config
	// Delays returns one delay for each copy of a message that arrives: none if the message is
	// lost, and several if it is duplicated.
	Delays func(m replog.Message) []time.Duration
	// SyncTime returns the duration of a write with its sync.
	SyncTime func(id replog.ReplicaID) time.Duration
	// SnapshotEvery is the number of applied entries between snapshots; 0 disables snapshots.
	SnapshotEvery uint64
	NewMachine    func(id replog.ReplicaID) Machine
	// AfterStep is called after every step of a replica, before its effects are performed. It may
	// be nil.
	AfterStep func(r *Replica)
}

// Sim simulates a group of replicas in virtual time.
type Sim struct {
	opts     Options
	now      time.Duration // true time since the start
	queue    eventQueue
	sequence uint64
	replicas map[replog.ReplicaID]*Replica
	steps    int
}

// New returns a simulation without replicas.
func New(opts Options) *Sim {
	return &Sim{opts: opts, replicas: map[replog.ReplicaID]*Replica{}}
}

// Now returns the true time since the start.
func (s *Sim) Now() time.Duration { return s.now }

// Steps returns the number of inputs that the replicas have processed.
func (s *Sim) Steps() int { return s.steps }

// Replica returns the replica with an id, or nil.
func (s *Sim) Replica(id replog.ReplicaID) *Replica { return s.replicas[id] }

// Leader returns the running leader of the highest term, or nil.
func (s *Sim) Leader() *Replica {
	var leader *Replica
	for _, r := range s.replicas {
		if r.Core == nil || r.Core.Status().Role != replog.RoleLeader {
			continue
		}
		if leader == nil || r.Core.Status().Term > leader.Core.Status().Term {
			leader = r
		}
	}
	return leader
}

// After schedules a call of f in d.
func (s *Sim) After(d time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + d, sequence: s.sequence, run: f})
}

// RunUntil runs all events up to the true time end.
func (s *Sim) RunUntil(end time.Duration) {
	s.RunWhile(end, func() bool { return true })
}

// RunWhile runs events up to the true time end as long as more returns true.
func (s *Sim) RunWhile(end time.Duration, more func() bool) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		if !more() {
			return
		}
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = max(s.now, end)
}

func (s *Sim) transmit(m replog.Message) {
	for _, delay := range s.opts.Delays(m) {
		s.After(delay, func() {
			if to := s.replicas[m.To]; to != nil && to.Core != nil {
				to.Do(func(c *replog.Core, now time.Time) { c.Step(now, m) })
			}
		})
	}
}

// event is a function call at a true time. Events with the same time run in the order in which they
// were added.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
