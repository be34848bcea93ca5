package lease

import (
	"container/heap"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Expiry identifies a lease that has expired by the granter's clock.
type Expiry struct {
	Worker cell.WorkerName
	Epoch  cell.Epoch
}

// Granter tracks the end of every lease on the leader. Renewals are not replicated, so a new leader
// creates a new Granter and adopts the leases of all registered workers when it is elected.
type Granter struct {
	terms       Terms
	leases      map[cell.WorkerName]*workerLease
	expiryQueue deadlineHeap
}

type workerLease struct {
	worker       cell.WorkerName
	epoch        cell.Epoch
	end          time.Time
	heapDeadline time.Time // order in the heap: end at the last heap update, or the next retry
}

// NewGranter returns a granter without leases. SetTerms changes the terms later.
func NewGranter(terms Terms) *Granter {
	return &Granter{terms: terms, leases: map[cell.WorkerName]*workerLease{}}
}

// SetTerms changes the terms of later renewals. Existing leases keep their end.
func (g *Granter) SetTerms(terms Terms) { g.terms = terms }

// Terms returns the current terms, which the response to a renewal contains.
func (g *Granter) Terms() Terms { return g.terms }

// Renew starts or extends the lease of a worker's epoch. It must be called when the renewal is
// answered, not when it is received. An epoch older than the recorded one is ignored.
func (g *Granter) Renew(now time.Time, worker cell.WorkerName, epoch cell.Epoch) {
	g.extendTo(now.Add(g.terms.GranterDuration()), worker, epoch)
}

// Adopt takes over a lease that a previous leader granted. longest is the longest lease duration
// that may still be in use, because the terms may have been shortened shortly before the change of
// leader.
func (g *Granter) Adopt(now time.Time, worker cell.WorkerName, epoch cell.Epoch, longest time.Duration) {
	terms := g.terms
	terms.Duration = max(terms.Duration, longest)
	g.extendTo(now.Add(terms.GranterDuration()), worker, epoch)
}

func (g *Granter) extendTo(end time.Time, worker cell.WorkerName, epoch cell.Epoch) {
	lease := g.leases[worker]
	if lease == nil || lease.epoch < epoch {
		lease = &workerLease{worker: worker, epoch: epoch, end: end, heapDeadline: end}
		g.leases[worker] = lease
		heap.Push(&g.expiryQueue, lease)
		return
	}
	if lease.epoch == epoch && end.After(lease.end) {
		// The heap is updated when the old end is reached, so that a renewal requires no heap
		// operation.
		lease.end = end
	}
}

// Remove removes the lease of an epoch that has ended in the replicated state.
func (g *Granter) Remove(worker cell.WorkerName, epoch cell.Epoch) {
	if lease := g.leases[worker]; lease != nil && lease.epoch == epoch {
		delete(g.leases, worker)
	}
}

// Expired returns the leases that have expired. The command that ends the epoch may be lost, so an
// expired lease is returned again every expiryRetryInterval until Remove is called.
func (g *Granter) Expired(now time.Time) []Expiry {
	var expired []Expiry
	var again []*workerLease
	for len(g.expiryQueue) > 0 && !g.expiryQueue[0].heapDeadline.After(now) {
		lease := heap.Pop(&g.expiryQueue).(*workerLease)
		if g.leases[lease.worker] != lease {
			continue
		}
		if lease.end.After(now) {
			lease.heapDeadline = lease.end
			heap.Push(&g.expiryQueue, lease)
			continue
		}
		lease.heapDeadline = now.Add(expiryRetryInterval)
		again = append(again, lease)
		expired = append(expired, Expiry{Worker: lease.worker, Epoch: lease.epoch})
	}
	for _, lease := range again {
		heap.Push(&g.expiryQueue, lease)
	}
	return expired
}

// expiryRetryInterval is the time after which Expired returns an expired lease again if Remove was
// not called.
const expiryRetryInterval = time.Second

// NextDeadline returns when to call Expired next, or the zero time if there are no leases. The next
// lease may expire later than that.
func (g *Granter) NextDeadline() time.Time {
	if len(g.expiryQueue) == 0 {
		return time.Time{}
	}
	return g.expiryQueue[0].heapDeadline
}

// IsHeld reports whether, by the granter's clock, the worker may still run tasks under this epoch.
func (g *Granter) IsHeld(now time.Time, worker cell.WorkerName, epoch cell.Epoch) bool {
	lease := g.leases[worker]
	return lease != nil && lease.epoch == epoch && lease.end.After(now)
}

// deadlineHeap orders leases by heapDeadline.
type deadlineHeap []*workerLease

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].heapDeadline.Before(h[j].heapDeadline) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(*workerLease)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
