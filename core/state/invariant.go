package state

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Check is the name of an invariant (docs/design.md, section 9).
type Check string

// Invariants of the state.
const (
	CheckCapacity            Check = "reservations-within-capacity"
	CheckSingleHolder        Check = "single-lease-holder"
	CheckGenerationMonotonic Check = "generation-monotonic"
	CheckNonIdempotentOnce   Check = "non-idempotent-once"

	// Checked only by Audit.
	CheckQuota   Check = "reservations-within-quota"
	CheckGang    Check = "gang-all-or-nothing"
	CheckIndexes Check = "indexes-consistent"
)

// Violation is a failed invariant check.
type Violation struct {
	Check  Check
	Index  uint64 // log index of the command
	Detail string
}

// maxViolations limits the recorded violations. The earliest are kept, because later ones are often
// consequences of them.
const maxViolations = 100

// Violations returns the violations found so far, oldest first. They are local to this replica and
// not part of a snapshot.
func (s *State) Violations() []Violation {
	return append([]Violation(nil), s.violations...)
}

// check records a violation if ok is false.
func (s *State) check(ok bool, name Check, format string, args ...any) {
	if ok || len(s.violations) >= maxViolations {
		return
	}
	s.violations = append(s.violations, Violation{Check: name, Index: s.index, Detail: fmt.Sprintf(format, args...)})
}

// checkCapacity checks that the reservations of a worker fit its capacity.
func (s *State) checkCapacity(w *worker) {
	if w.reserved.Fits(w.info.Capacity) && !w.reserved.IsNegative() {
		return
	}
	s.check(false, CheckCapacity, "worker %s of %v has %v reserved", w.info.Name, w.info.Capacity, w.reserved)
}

// checkSingleHolder checks, before an allocation is added, that its task is queued without another
// allocation and that its epoch is the current one of its worker.
func (s *State) checkSingleHolder(a *allocation, w *worker) {
	existing := a.task().allocation
	if existing == 0 && w.hasEpoch(a.Epoch) && a.task().state == cell.TaskQueued {
		return
	}
	s.check(false, CheckSingleHolder, "task %v is placed on %s (epoch %d) while it has allocation %d", a.Task, w.info.Name, a.Epoch, existing)
}

// recordDispatch records the attempt that may dispatch a request, and checks that no other attempt
// may have dispatched it. An attempt that ended as not run does not count.
func (s *State) recordDispatch(r *request, attempt uint64) {
	ok := r.dispatchAttempt == 0 || r.dispatchAttempt == attempt
	if !ok {
		s.check(false, CheckNonIdempotentOnce, "request %v is dispatched by attempt %d after attempt %d", r.key, attempt, r.dispatchAttempt)
	}
	r.dispatchAttempt = attempt
}
