package placement

import (
	"math/bits"

	"github.com/godwitlink/godwitlink/core/cell"
)

const (
	// levelCount is the number of levels into which free processors and free memory are divided. A
	// bit set of levels fits one machine word.
	levelCount = 64
	// fineRangeDivisor sets the range with finer levels: the lowest 1/fineRangeDivisor of the
	// largest capacity.
	fineRangeDivisor = 8
	// planeCount is the number of planes. A plane holds the workers with the same number of free
	// accelerators, the last one also those with more, so that a search for accelerators does not
	// visit workers without any.
	planeCount = 9
)

// workerIndex finds the workers of a group by their available resources. The slot of a worker is
// given by its available processors (row), memory (column) and accelerators (plane). Moving a
// worker takes constant time; a search visits only the non-empty slots that can hold the task.
type workerIndex struct {
	largest cell.Resources // the capacity that is divided into levels
	planes  [planeCount]*plane
	workers []*worker // all workers of the group, by name
}

type plane struct {
	workerCount  int
	rows         uint64             // bit set of rows with workers
	columns      uint64             // bit set of columns with workers
	columnsInRow [levelCount]uint64 // non-empty columns of each row
	rowsInColumn [levelCount]uint64 // non-empty rows of each column
	heads        [levelCount][levelCount]*worker
}

// slot is the position of a worker in its index.
type slot struct {
	plane, row, column int8
	indexed            bool
}

// levelOf returns the level of an amount. Half of the levels divide the lowest eighth of the range:
// in a full cell nearly all workers are there, and a search checks each worker in the level of the
// task.
func levelOf(amount, largest int64) int8 {
	if amount <= 0 || largest <= 0 {
		return 0
	}
	const half = levelCount / 2
	if low := largest / fineRangeDivisor; amount < low {
		return int8(amount * half / low)
	}
	rest := largest - largest/fineRangeDivisor
	return int8(min(half+(amount-largest/fineRangeDivisor)*half/rest, levelCount-1))
}

func planeFor(accelerators int64) int8 {
	return int8(max(0, min(accelerators, planeCount-1)))
}

func (x *workerIndex) slotOf(r cell.Resources) slot {
	return slot{
		plane:   planeFor(r.Accelerators),
		row:     levelOf(r.MilliCPU, x.largest.MilliCPU),
		column:  levelOf(r.MemoryBytes, x.largest.MemoryBytes),
		indexed: true,
	}
}

// update moves w to the slot of its available resources, or removes it from the index if it may not
// be used.
func (x *workerIndex) update(w *worker) {
	want := slot{}
	if w.usable() {
		want = x.slotOf(w.available())
	}
	if want == w.slot {
		return
	}
	x.remove(w)
	if want.indexed {
		x.insert(w, want)
	}
}

func (x *workerIndex) insert(w *worker, s slot) {
	p := x.planes[s.plane]
	if p == nil {
		p = &plane{}
		x.planes[s.plane] = p
	}
	head := p.heads[s.row][s.column]
	w.slot, w.next, w.prev = s, head, nil
	if head != nil {
		head.prev = w
	}
	p.heads[s.row][s.column] = w
	p.workerCount++
	p.rows |= 1 << s.row
	p.columns |= 1 << s.column
	p.columnsInRow[s.row] |= 1 << s.column
	p.rowsInColumn[s.column] |= 1 << s.row
}

func (x *workerIndex) remove(w *worker) {
	if !w.slot.indexed {
		return
	}
	s, p := w.slot, x.planes[w.slot.plane]
	if w.next != nil {
		w.next.prev = w.prev
	}
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		p.heads[s.row][s.column] = w.next
	}
	w.slot, w.next, w.prev = slot{}, nil, nil
	p.workerCount--
	if p.heads[s.row][s.column] == nil {
		p.clearBits(s)
	}
}

func (p *plane) clearBits(s slot) {
	p.columnsInRow[s.row] &^= 1 << s.column
	p.rowsInColumn[s.column] &^= 1 << s.row
	if p.columnsInRow[s.row] == 0 {
		p.rows &^= 1 << s.row
	}
	if p.rowsInColumn[s.column] == 0 {
		p.columns &^= 1 << s.column
	}
}

// growCapacity raises the largest capacity to at least capacity and moves all workers to their new
// slots.
func (x *workerIndex) growCapacity(capacity cell.Resources) {
	if capacity.MilliCPU <= x.largest.MilliCPU && capacity.MemoryBytes <= x.largest.MemoryBytes {
		return
	}
	for _, w := range x.workers {
		x.remove(w)
	}
	x.largest.MilliCPU = max(x.largest.MilliCPU, capacity.MilliCPU)
	x.largest.MemoryBytes = max(x.largest.MemoryBytes, capacity.MemoryBytes)
	for _, w := range x.workers {
		x.update(w)
	}
}

// visit calls yield for the workers that have size available, until yield returns false. Workers
// with fewer free accelerators come first, then those with the tightest fit in the dominant
// dimension of size.
func (x *workerIndex) visit(size cell.Resources, yield func(*worker) bool) {
	lowest := x.slotOf(size)
	byMemory := ratioLess(size.MilliCPU, x.largest.MilliCPU, size.MemoryBytes, x.largest.MemoryBytes)
	for i := lowest.plane; i < planeCount; i++ {
		p := x.planes[i]
		if p == nil || p.workerCount == 0 {
			continue
		}
		if !p.visit(lowest, size, byMemory, yield) {
			return
		}
	}
}

func (p *plane) visit(lowest slot, size cell.Resources, byMemory bool, yield func(*worker) bool) bool {
	outer, inner := p.rows>>lowest.row<<lowest.row, uint(lowest.column)
	sets := &p.columnsInRow
	if byMemory {
		outer, inner = p.columns>>lowest.column<<lowest.column, uint(lowest.row)
		sets = &p.rowsInColumn
	}
	for ; outer != 0; outer &= outer - 1 {
		i := bits.TrailingZeros64(outer)
		for set := sets[i] >> inner << inner; set != 0; set &= set - 1 {
			j := bits.TrailingZeros64(set)
			head := p.heads[i][j]
			if byMemory {
				head = p.heads[j][i]
			}
			if !visitList(head, size, yield) {
				return false
			}
		}
	}
	return true
}

func visitList(w *worker, size cell.Resources, yield func(*worker) bool) bool {
	for ; w != nil; w = w.next {
		if size.Fits(w.available()) && !yield(w) {
			return false
		}
	}
	return true
}

// ratioLess reports whether a/b is less than c/d.
func ratioLess(a, b, c, d int64) bool {
	return float64(a)*float64(d) < float64(c)*float64(b)
}
