package placement

import (
	"container/heap"
	"maps"
	"math/bits"

	"github.com/godwitlink/godwitlink/core/cell"
)

// shape is the blocked classes of a scope whose sizes are alike: the same
// powers of two. One comparison tells that a gain of room is too small for all
// of them.
type shape struct {
	key     shapeKey
	urgent  bool
	least   cell.Resources // no class is smaller in any dimension
	tried   uint64         // gain of the scope for which all were tried
	buckets []*bucket      // not empty
}

type shapeKey struct {
	cpu, memory, accelerators int
	urgent                    bool
}

// bucket is the blocked classes of one team and exact size, the first in turn
// on top.
type bucket struct {
	key     bucketKey
	shape   *shape
	at      int // in shape.buckets
	waiting blockedHeap
}

type bucketKey struct {
	team  *team
	shape shapeKey
	size  cell.Resources
	tasks int // of a gang
}

// blockedHeap is a classHeap that keeps the positions in class.at.
type blockedHeap []*class

func (h blockedHeap) Len() int           { return len(h) }
func (h blockedHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }

func (h blockedHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (h *blockedHeap) Push(x any) {
	c := x.(*class)
	c.at = len(*h)
	*h = append(*h, c)
}

func (h *blockedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

func (c *class) bucketKey() bucketKey {
	size := c.key.size
	return bucketKey{
		team: c.team, size: size, tasks: c.key.tasks,
		shape: shapeKey{
			cpu:          bits.Len64(uint64(size.MilliCPU)),
			memory:       bits.Len64(uint64(size.MemoryBytes)),
			accelerators: bits.Len64(uint64(size.Accelerators)),
			urgent:       c.urgent(),
		},
	}
}

// add puts a class among the blocked ones.
func (sc *scope) add(c *class) {
	key := c.bucketKey()
	b := sc.buckets[key]
	if b == nil {
		b = &bucket{key: key, shape: sc.shape(key.shape)}
		sc.buckets[key] = b
		sc.empty++
	}
	if len(b.waiting) == 0 {
		b.shape.admit(b)
		sc.empty--
	}
	heap.Push(&b.waiting, c)
	c.bucket = b
}

func (sc *scope) shape(key shapeKey) *shape {
	for _, sh := range sc.shapes {
		if sh.key == key {
			return sh
		}
	}
	sh := &shape{key: key, urgent: key.urgent}
	sc.shapes = append(sc.shapes, sh)
	return sh
}

func (sh *shape) admit(b *bucket) {
	if len(sh.buckets) == 0 {
		sh.least = b.key.size
	}
	sh.least = smallest(sh.least, b.key.size)
	b.at = len(sh.buckets)
	sh.buckets = append(sh.buckets, b)
}

// maxEmptyBuckets is the number of empty buckets that a scope keeps for the
// next block, which is often of the class that has just been tried.
const maxEmptyBuckets = 1024

// remove takes a class out of the blocked ones.
func (sc *scope) remove(c *class) {
	b := c.bucket
	if b == nil {
		return
	}
	c.bucket = nil
	heap.Remove(&b.waiting, c.at)
	if len(b.waiting) > 0 {
		return
	}
	sh := b.shape
	last := sh.buckets[len(sh.buckets)-1]
	sh.buckets[b.at], last.at = last, b.at
	sh.buckets[len(sh.buckets)-1] = nil
	sh.buckets = sh.buckets[:len(sh.buckets)-1]
	sc.empty++
	if sc.empty > maxEmptyBuckets {
		sc.dropEmpty()
	}
}

func (sc *scope) dropEmpty() {
	maps.DeleteFunc(sc.buckets, func(_ bucketKey, b *bucket) bool { return len(b.waiting) == 0 })
	sc.empty = 0
}

// classes returns all blocked classes.
func (sc *scope) classes() []*class {
	var all []*class
	for _, sh := range sc.shapes {
		for _, b := range sh.buckets {
			all = append(all, b.waiting...)
		}
	}
	return all
}

func (sc *scope) anyBlocked() bool {
	for _, sh := range sc.shapes {
		if len(sh.buckets) > 0 {
			return true
		}
	}
	return false
}
