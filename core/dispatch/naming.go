package dispatch

import (
	"cmp"
	"container/heap"

	"github.com/godwitlink/godwitlink/core/workload"
)

// namingIndex orders the workers of a service by their uncommitted resources, so that an advice call
// names the emptiest ones without a look at all workers. It is valid during one plan, in which these
// resources only shrink: worker.uncommittedBound is an upper bound that is corrected when the worker is
// taken.
type namingIndex struct {
	planNumber uint64
	fast       workersByRoom
	slow       workersByRoom
	unusable   workersByRoom // workers that cannot take runs now, so their resources cannot be used
}

// workersByRoom is a heap with the worker with the most uncommitted processors on top. Workers with
// equally many are ordered by ID.
type workersByRoom []*worker

func (h workersByRoom) Len() int { return len(h) }

func (h workersByRoom) Less(i, j int) bool { return h[i].hasMoreRoom(h[j]) }

func (h workersByRoom) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *workersByRoom) Push(x any) { *h = append(*h, x.(*worker)) }

// Pop implements heap.Interface.
func (h *workersByRoom) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (w *worker) hasMoreRoom(other *worker) bool {
	return cmp.Or(cmp.Compare(other.uncommittedBound, w.uncommittedBound), cmp.Compare(w.ID, other.ID)) < 0
}

// uncommitted returns the free resources of a worker that no step is expected to use.
func (c *Core) uncommitted(w *worker) workload.Resources {
	return c.freeResources(w).Sub(w.expectedUse)
}

// namingIndexOf returns the index of the workers of a service for the current plan.
func (c *Core) namingIndexOf(service string) *namingIndex {
	index := c.namingIndexes[service]
	if index == nil {
		index = &namingIndex{}
		c.namingIndexes[service] = index
	}
	if index.planNumber == c.planNumber {
		return index
	}
	index.planNumber = c.planNumber
	index.fast, index.slow, index.unusable = index.fast[:0], index.slow[:0], index.unusable[:0]
	for _, w := range c.sortedWorkers {
		if w.Service != service || w.Gone || w.Draining {
			continue
		}
		w.uncommittedBound = c.uncommitted(w).MilliCPU
		switch {
		case !c.acceptsRuns(w) || c.isAvoided(w):
			index.unusable = append(index.unusable, w)
		case c.speedClassOf(w) == speedSlow:
			index.slow = append(index.slow, w)
		default:
			index.fast = append(index.fast, w)
		}
	}
	heap.Init(&index.fast)
	heap.Init(&index.slow)
	heap.Init(&index.unusable)
	return index
}

// top returns the worker with the most uncommitted processors, or nil if the heap is empty.
func (c *Core) top(h *workersByRoom) *worker {
	for len(*h) > 0 {
		w := (*h)[0]
		actual := c.uncommitted(w).MilliCPU
		if actual == w.uncommittedBound {
			return w
		}
		w.uncommittedBound = actual
		heap.Fix(h, 0)
	}
	return nil
}

// takeEmptiest removes the worker to be named next from the index and returns it with its heap, or nil
// if none is left. Gangs take slow workers last, because all members would wait for the tasks there.
func (c *Core) takeEmptiest(index *namingIndex, gang bool) (*worker, *workersByRoom) {
	fast, slow := c.top(&index.fast), c.top(&index.slow)
	var from *workersByRoom
	switch {
	case fast != nil && (slow == nil || gang || fast.hasMoreRoom(slow)):
		from = &index.fast
	case slow != nil:
		from = &index.slow
	case c.top(&index.unusable) != nil:
		from = &index.unusable
	default:
		return nil, nil
	}
	return heap.Pop(from).(*worker), from
}

// takenWorker is a worker that goes back to its heap after a call.
type takenWorker struct {
	worker *worker
	heap   *workersByRoom
}

// workersToName returns the workers to ask the adviser about: eligible workers that it has not
// answered for, those with the most free resources first, as many as are probably needed to place
// all tasks. If roomRequired is set, only workers that could take a task now are named.
func (c *Core) workersToName(j *job, index int, spec *workload.StepSpec, roomRequired bool) []workload.WorkerID {
	minNamed := minNamedWorkers
	if advice := j.Queue.Advice; advice.PerWorker > 0 {
		minNamed = max(minNamed, int(minNamingTimeShare*float64(advice.Base)/float64(advice.PerWorker)))
	}
	wantedSlots := float64(slotsPerTask*spec.Tasks) / c.expectedGrantedShare(j.Queue.Name)
	expectedSlots := 0.0
	var named []workload.WorkerID
	workers := c.namingIndexOf(j.Queue.Service)
	taken := c.takenBuffer[:0]
	for len(named) < maxNamedWorkers && (len(named) < minNamed || expectedSlots < wantedSlots) {
		w, from := c.takeEmptiest(workers, spec.Gang)
		if w == nil {
			break
		}
		taken = append(taken, takenWorker{w, from})
		if roomRequired && (from == &workers.unusable || w.uncommittedBound < spec.Size.MilliCPU) {
			break
		}
		if j.steps[index].answeredWorkers[w.ID] || !fitsEmptyWorker(w, spec) {
			continue
		}
		slots := slotsFor(c.uncommitted(w), spec)
		if roomRequired && slots == 0 {
			continue
		}
		named = append(named, w.ID)
		expectedSlots += float64(slots)
	}
	for _, t := range taken {
		heap.Push(t.heap, t.worker)
	}
	c.takenBuffer = taken
	return named
}
