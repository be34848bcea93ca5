package placement

import (
	"container/heap"
	"maps"
	"math/bits"

	"github.com/godwitlink/godwitlink/core/cell"
)

// sizeRange holds the blocked classes of a scope whose sizes lie between the same powers of two in
// every dimension. One comparison with minSize shows whether newly free resources are too small for
// all of them.
type sizeRange struct {
	key          sizeRangeKey
	urgent       bool
	minSize      cell.Resources  // lower bound of the class sizes in every dimension
	triedGainSeq uint64          // gainSeq of the scope at which all classes were tried
	queues       []*blockedQueue // non-empty queues
}

type sizeRangeKey struct {
	cpu, memory, accelerators int
	urgent                    bool
}

// blockedQueue holds the blocked classes of one team with exactly the same size, ordered as a heap.
type blockedQueue struct {
	key        blockedQueueKey
	sizeRange  *sizeRange
	rangeIndex int // in sizeRange.queues
	classes    blockedClassHeap
}

type blockedQueueKey struct {
	team      *team
	sizeRange sizeRangeKey
	size      cell.Resources
	tasks     int // per gang
}

// blockedClassHeap is a classHeap that stores the heap index in waitIndex.
type blockedClassHeap []*taskClass

func (h blockedClassHeap) Len() int           { return len(h) }
func (h blockedClassHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }

func (h blockedClassHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].waitIndex, h[j].waitIndex = i, j
}

func (h *blockedClassHeap) Push(x any) {
	c := x.(*taskClass)
	c.waitIndex = len(*h)
	*h = append(*h, c)
}

func (h *blockedClassHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (c *taskClass) blockedQueueKey() blockedQueueKey {
	size := c.key.size
	return blockedQueueKey{
		team: c.team, size: size, tasks: c.key.tasks,
		sizeRange: sizeRangeKey{
			cpu:          bits.Len64(uint64(size.MilliCPU)),
			memory:       bits.Len64(uint64(size.MemoryBytes)),
			accelerators: bits.Len64(uint64(size.Accelerators)),
			urgent:       c.urgent(),
		},
	}
}

// addBlocked adds a class to the blocked classes of the scope.
func (sc *scope) addBlocked(class *taskClass) {
	key := class.blockedQueueKey()
	queue := sc.blockedQueues[key]
	if queue == nil {
		queue = &blockedQueue{key: key, sizeRange: sc.sizeRangeFor(key.sizeRange)}
		sc.blockedQueues[key] = queue
		sc.emptyQueues++
	}
	if len(queue.classes) == 0 {
		queue.sizeRange.addQueue(queue)
		sc.emptyQueues--
	}
	heap.Push(&queue.classes, class)
	class.blockedIn = queue
}

func (sc *scope) sizeRangeFor(key sizeRangeKey) *sizeRange {
	for _, sizes := range sc.sizeRanges {
		if sizes.key == key {
			return sizes
		}
	}
	sizes := &sizeRange{key: key, urgent: key.urgent}
	sc.sizeRanges = append(sc.sizeRanges, sizes)
	return sizes
}

func (sizes *sizeRange) addQueue(queue *blockedQueue) {
	if len(sizes.queues) == 0 {
		sizes.minSize = queue.key.size
	}
	sizes.minSize = minResources(sizes.minSize, queue.key.size)
	queue.rangeIndex = len(sizes.queues)
	sizes.queues = append(sizes.queues, queue)
}

// maxEmptyQueues is the number of empty queues that a scope keeps for reuse: the next class to be
// blocked is often the one that has just been tried.
const maxEmptyQueues = 1024

// removeBlocked removes a class from the blocked classes of the scope, if it is one of them.
func (sc *scope) removeBlocked(class *taskClass) {
	queue := class.blockedIn
	if queue == nil {
		return
	}
	class.blockedIn = nil
	heap.Remove(&queue.classes, class.waitIndex)
	if len(queue.classes) > 0 {
		return
	}
	sizes := queue.sizeRange
	last := sizes.queues[len(sizes.queues)-1]
	sizes.queues[queue.rangeIndex], last.rangeIndex = last, queue.rangeIndex
	sizes.queues[len(sizes.queues)-1] = nil
	sizes.queues = sizes.queues[:len(sizes.queues)-1]
	sc.emptyQueues++
	if sc.emptyQueues > maxEmptyQueues {
		sc.dropEmptyQueues()
	}
}

func (sc *scope) dropEmptyQueues() {
	maps.DeleteFunc(sc.blockedQueues, func(_ blockedQueueKey, queue *blockedQueue) bool { return len(queue.classes) == 0 })
	sc.emptyQueues = 0
}

func (sc *scope) blockedClasses() []*taskClass {
	var all []*taskClass
	for _, sizes := range sc.sizeRanges {
		for _, queue := range sizes.queues {
			all = append(all, queue.classes...)
		}
	}
	return all
}

func (sc *scope) hasBlocked() bool {
	for _, sizes := range sc.sizeRanges {
		if len(sizes.queues) > 0 {
			return true
		}
	}
	return false
}
