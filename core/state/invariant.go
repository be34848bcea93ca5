package state

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Check names an invariant (docs/design.md, section 9).
type Check string

// Invariants of the state.
const (
	CheckCapacity            Check = "reservations-within-capacity"
	CheckSingleHolder        Check = "single-lease-holder"
	CheckGenerationMonotonic Check = "generation-monotonic"
	CheckNonIdempotentOnce   Check = "non-idempotent-once"

	// These are checked by Audit only.
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

// maxViolations bounds the violations that are kept. The first ones tell the
// most.
const maxViolations = 100

// Violations returns the failed checks so far, oldest first. They belong to
// this replica and are not part of a snapshot.
func (s *State) Violations() []Violation {
	return append([]Violation(nil), s.violations...)
}

// check notes a violation where ok is false.
func (s *State) check(ok bool, name Check, format string, args ...any) {
	if ok || len(s.violations) >= maxViolations {
		return
	}
	s.violations = append(s.violations, Violation{Check: name, Index: s.index, Detail: fmt.Sprintf(format, args...)})
}

// checkCapacity checks a worker after a change of its reservations.
func (s *State) checkCapacity(w *worker) {
	if w.reserved.Fits(w.info.Capacity) && !w.reserved.IsNegative() {
		return
	}
	s.check(false, CheckCapacity, "worker %s of %v has %v reserved", w.info.Name, w.info.Capacity, w.reserved)
}

// checkSingleHolder checks, before an allocation is added, that its task has
// no other one and that its worker holds the epoch.
func (s *State) checkSingleHolder(a *allocation, w *worker) {
	held := a.task().allocation
	if held == 0 && w.current(a.Epoch) && a.task().state == cell.TaskQueued {
		return
	}
	s.check(false, CheckSingleHolder, "task %v is placed on %s (epoch %d) while it has allocation %d", a.Task, w.info.Name, a.Epoch, held)
}

// noteDispatch checks that a request is dispatched by one attempt only, unless
// that one ended as not run.
func (s *State) noteDispatch(r *request, attempt uint64) {
	ok := r.granted == 0 || r.granted == attempt
	if !ok {
		s.check(false, CheckNonIdempotentOnce, "request %v is dispatched by attempt %d after attempt %d", r.key, attempt, r.granted)
	}
	r.granted = attempt
}
