package placement

// classHeap orders the ready classes of a team by priority, then by orderTime.
type classHeap []*taskClass

func (h classHeap) Len() int { return len(h) }

func (h classHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }

// precedes reports whether a is scheduled before b, a class of the same team.
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

// timer is the time at which a delayed task or an incomplete gang is queued, a class is retried,
// claims expire, or the quarantine of a worker is reviewed. Exactly one of job, class, claims and
// worker is set.
type timer struct {
	at     int64 // Unix nanoseconds
	job    *job
	index  int // index of the delayed task in job, or gangTimerIndex
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
