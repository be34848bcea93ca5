package replog_test

import (
	"fmt"
	"hash/maphash"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// Invariants that the randomised runs check in addition to those of the core.
const (
	invariantSingleLease  replog.Invariant = "single-leader-lease"
	invariantLinearizable replog.Invariant = "linearizable"
	invariantProgress     replog.Invariant = "progress-after-heal"
)

// entryKey identifies an entry. entryValue holds the properties that log matching requires to be
// identical in all logs that contain the entry.
type entryKey struct{ index, term uint64 }
type entryValue struct{ previousTerm, hash uint64 }

// committedEntry holds the term of a committed entry and the term of the leader that committed it.
// Only leaders of later terms must have the entry.
type committedEntry struct{ term, leaderTerm uint64 }

var hashSeed = maphash.MakeSeed()

// checker verifies the invariants after every step of any replica.
type checker struct {
	sim            *logsim.Sim
	replicas       []*logsim.Replica
	leaders        map[uint64]replog.ReplicaID
	entries        map[entryKey]entryValue
	committed      []committedEntry // element i is for the entry at index i+1
	commits        map[*replog.Core]uint64
	verified       map[*replog.Core][]uint64 // terms of the verified entries of a log, by index
	onLeader       func(r *logsim.Replica)   // called for each new leader
	firstViolation string                    // first violation, or empty
}

func newChecker() *checker {
	return &checker{
		leaders: map[uint64]replog.ReplicaID{}, entries: map[entryKey]entryValue{},
		commits: map[*replog.Core]uint64{}, verified: map[*replog.Core][]uint64{},
	}
}

func (k *checker) recordViolation(invariant replog.Invariant, format string, args ...any) {
	if k.firstViolation == "" {
		k.firstViolation = fmt.Sprintf("%s at %v: %s", invariant, k.sim.Now(), fmt.Sprintf(format, args...))
	}
}

func (k *checker) afterStep(r *logsim.Replica) {
	v := r.Core.View()
	for invariant, count := range r.Core.Violations() {
		k.recordViolation(invariant, "replica %d counted %d violations", r.ID, count)
	}
	k.checkLog(r, v)
	k.checkCommit(r, v)
	if v.Leader {
		k.checkLeader(r, v)
	}
	k.checkLeases()
}

// checkLog checks log matching by induction: an entry with a given index and term must have the
// same content and the same preceding entry in every log.
func (k *checker) checkLog(r *logsim.Replica, v replog.View) {
	seen := k.verified[r.Core]
	for uint64(len(seen)) <= v.Last {
		seen = append(seen, 0)
	}
	for i := v.Last; i > v.Base && seen[i] != r.Core.TermAt(i); i-- {
		e := r.Core.EntryAt(i)
		seen[i] = e.Term
		key, value := entryKey{i, e.Term}, entryValue{r.Core.TermAt(i - 1), maphash.Bytes(hashSeed, e.Data)}
		if known, ok := k.entries[key]; ok && known != value {
			k.recordViolation(replog.InvariantLogMatching, "replica %d has a different entry %v", r.ID, key)
		}
		k.entries[key] = value
	}
	k.verified[r.Core] = seen[:v.Last+1]
}

// checkCommit checks that the commit index never decreases and that all replicas commit the same
// entry at an index.
func (k *checker) checkCommit(r *logsim.Replica, v replog.View) {
	before, known := k.commits[r.Core]
	if known && v.Commit < before || v.Commit > v.Last {
		k.recordViolation(replog.InvariantCommitMonotonic, "commit index of replica %d changed from %d to %d", r.ID, before, v.Commit)
	}
	k.commits[r.Core] = v.Commit
	if !known && v.Commit == v.Base {
		return // the replica starts from its snapshot
	}
	for i := max(before+1, v.Base); i > 0 && i <= v.Commit; i++ {
		k.checkCommittedEntry(r, v, i)
	}
}

func (k *checker) checkCommittedEntry(r *logsim.Replica, v replog.View, index uint64) {
	term := r.Core.TermAt(index)
	if index <= uint64(len(k.committed)) {
		if known := k.committed[index-1].term; known != term {
			k.recordViolation(replog.InvariantCommitMonotonic, "replica %d committed entry %d of term %d, which was committed with term %d", r.ID, index, term, known)
		}
		return
	}
	if index != uint64(len(k.committed))+1 {
		k.recordViolation(replog.InvariantCommitMonotonic, "replica %d committed entry %d while the last committed entry is %d", r.ID, index, len(k.committed))
		return
	}
	k.committed = append(k.committed, committedEntry{term, v.Term})
	for _, other := range k.replicas {
		if other.Core == nil {
			continue
		}
		if o := other.Core.View(); o.Leader {
			k.checkLeaderHasEntry(other, o, index)
		}
	}
}

// checkLeader checks election safety and leader completeness.
func (k *checker) checkLeader(r *logsim.Replica, v replog.View) {
	id, known := k.leaders[v.Term]
	if known && id != r.ID {
		k.recordViolation(replog.InvariantElectionSafety, "replicas %d and %d are both leaders of term %d", id, r.ID, v.Term)
	}
	if known {
		return
	}
	k.leaders[v.Term] = r.ID
	k.onLeader(r)
	for i := range k.committed {
		k.checkLeaderHasEntry(r, v, uint64(i)+1)
	}
}

func (k *checker) checkLeaderHasEntry(r *logsim.Replica, v replog.View, index uint64) {
	entry := k.committed[index-1]
	if index < v.Base || entry.leaderTerm >= v.Term {
		return
	}
	if index > v.Last || r.Core.TermAt(index) != entry.term {
		k.recordViolation(replog.InvariantLeaderCompleteness, "leader %d of term %d lacks committed entry %d", r.ID, v.Term, index)
	}
}

// checkLeases checks that while a replica, paused or not, considers its leader lease valid, no
// other replica does and no leader of a later term exists.
func (k *checker) checkLeases() {
	var holder, latest replog.ReplicaID
	var holderTerm, latestTerm uint64
	for _, r := range k.replicas {
		if r.Core == nil {
			continue
		}
		v := r.Core.View()
		if v.Leader && v.Term > latestTerm {
			latest, latestTerm = r.ID, v.Term
		}
		// A suspended replica is notified of the clock jump before it continues.
		if r.Suspended() || !r.Core.HoldsLeaseAt(r.LocalTime()) {
			continue
		}
		if holder != 0 {
			k.recordViolation(invariantSingleLease, "replicas %d and %d both hold a lease", holder, r.ID)
		}
		holder, holderTerm = r.ID, v.Term
	}
	if holder != 0 && holderTerm < latestTerm {
		k.recordViolation(invariantSingleLease, "replica %d holds a lease in term %d while replica %d is the leader of term %d", holder, holderTerm, latest, latestTerm)
	}
}

// checkApplied checks that an applied entry is committed.
func (k *checker) checkApplied(id replog.ReplicaID, e replog.Entry) {
	if e.Index > uint64(len(k.committed)) || k.committed[e.Index-1].term != e.Term {
		k.recordViolation(replog.InvariantCommitMonotonic, "replica %d applied entry %d of term %d, which is not committed", id, e.Index, e.Term)
	}
}
