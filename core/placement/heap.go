package placement

// classHeap orders the ready classes of a team: by priority, then by the
// order of the oldest job.
type classHeap []*taskClass

func (h classHeap) Len() int { return len(h) }

func (h classHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }

// precedes orders the classes of one team.
func (a *taskClass) precedes(b *taskClass) bool {
	if ra, rb := priorityRank(a.key.priority), priorityRank(b.key.priority); ra != rb {
		return ra < rb
	}
	if a.orderTime != b.orderTime {
		return a.orderTime < b.orderTime
	}
	return a.head.id < b.head.id
}

func (h classHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *classHeap) Push(x any) {
	c := x.(*taskClass)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

func (h *classHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.heapIndex = noIndex
	return last
}

// timer is a time at which a task, a gang or a class becomes ready, or claims
// are given up. One of job, class,
// claims and worker is set.
type timer struct {
	at     int64 // Unix nanoseconds
	job    *job
	index  int // of the task that backs off, or settleGang
	class  *taskClass
	claims *claimSet
	worker *worker
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
