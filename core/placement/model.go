package placement

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
)

// worker is a machine and what is booked on it.
type worker struct {
	cell.Worker
	epoch      cell.Epoch
	registered bool // its epoch has not ended
	retired    bool // named under retired_workers
	group      *group

	used        cell.Resources // by allocations and planned placements
	claimed     cell.Resources // claimed for urgent tasks
	reserved    cell.Resources // reserved for a gang
	preemptible cell.Resources // part of used that urgent work may take
	allocations []*allocation

	releasing        cell.Resources // part of used that was told to stop and will be free soon
	claims           []*claim
	reservation      *reservation // owner of gangHold
	reservationReady bool         // gangHold is free

	slot       slot
	next, prev *worker // in the list of its slot

	health                       health
	unhealthy                    bool           // by its health
	countedCapacity, countedUsed cell.Resources // in the load of its group

	searchID      uint64         // last search that looked at the worker
	forecastFree  cell.Resources // in a forecast
	forecastTasks int            // tasks that a forecast puts here
	forecastIndex int            // in the seats of a forecast
}

// free returns what no allocation or planned placement uses.
func (w *worker) free() cell.Resources { return w.Capacity.Sub(w.used) }

// available returns what ordinary work may use.
func (w *worker) available() cell.Resources {
	return w.free().Sub(w.claimed).Sub(w.reserved)
}

// usable reports whether the worker may be given work at all.
func (w *worker) usable() bool {
	return w.registered && !w.retired && !w.unhealthy
}

// allocation is a planned or committed placement.
type allocation struct {
	id            cell.AllocationID // 0 while only planned
	task          cell.TaskID
	job           *job // nil where the job is not known
	team          *team
	worker        *worker
	size          cell.Resources // declared
	booked        cell.Resources // the larger of declared and measured
	urgent        bool
	preemptible   bool // its policy is preemptible and it is not urgent
	stopping      bool
	stopOverdue   bool      // was told to stop and did not end in time
	stopCommitted bool      // the state has confirmed that it was told to stop
	claims        *claimSet // for which it was preempted
	placedAt      time.Time
	startedAt     time.Time // zero until the worker has started it

	nextVictim, prevVictim *allocation // in a victimList
}

// job is a job with its tasks that wait.
type job struct {
	id              cell.JobID
	spec            cell.JobSpec
	team            *team
	class           *taskClass // where it waits, nil where it does not
	queued          []int      // indexes of tasks that wait in class
	backingOff      int        // tasks that wait for their NotBefore
	activeTasks     int        // tasks planned or placed
	succeededTasks  int        // tasks that succeeded
	ended           bool
	gang            bool
	queuedAt        time.Time     // of the job; kept when tasks are queued again
	expectedRunTime time.Duration // run time; 0 for services
	upperRunTime    time.Duration // run time that few tasks exceed
	outcomes        outcomes      // on trusted workers
	outcomeWorkers  []*worker     // workers that remember outcomes of the job
	spread          *spreadCount

	claims []*claimSet

	next, prev *job // in the list of class
}

// dependentTasks returns how many tasks depend on each other.
func (j *job) dependentTasks() int {
	if j.gang {
		return j.spec.Tasks
	}
	return 1
}

// classKey is what equal tasks have in common.
type classKey struct {
	team     cell.Team
	policy   cell.PolicyName
	region   cell.Region
	priority cell.Priority
	size     cell.Resources
	runTime  int // bucket of the expected run time
	tasks    int // of one gang; 0 for other kinds
}

// taskClass holds the waiting jobs whose tasks are equal for the scheduler: where
// one task does not fit, none does.
type taskClass struct {
	key                   classKey
	team                  *team
	scope                 *scope
	expectedRunTime       time.Duration // run time by the bucket; 0 for services
	head, tail            *job
	heapIndex             int // in team.ready; notReady outside it
	orderTime             int64
	waitReason            Reason        // why it is not ready
	blockedIn             *blockedQueue // where it waits for room
	triedGainSeq          uint64        // gainCount of its scope when it was tried
	waitList              *classList    // that holds it while it is not ready
	waitIndex             int           // in list
	retryAt               time.Time     // earliest next search, where one is expensive
	retryTimerSet         bool          // a timer is set for retryAt
	noReservationUntil    time.Time     // no reservation before
	reservations          []*reservation
	reservationConsidered bool // a reservation was considered for its first job
}

const noIndex = -1

func (c *taskClass) urgent() bool { return c.key.priority == cell.PriorityUrgent }

func (c *taskClass) gang() bool { return c.scope.policy.Kind == cell.KindGang }

// priorityRank orders priorities, most important first.
func priorityRank(p cell.Priority) int {
	switch p {
	case cell.PriorityUrgent:
		return 0
	case cell.PriorityLow:
		return 2
	default:
		return 1
	}
}

// scope is the set of workers that a policy admits for a region, with the
// classes that found no room there.
type scope struct {
	policy         cellconfig.Policy
	region         cell.Region // empty: any
	policyKnown    bool        // the policy is in the file
	groups         []*group
	sizeRanges     []*sizeRange // classes that found no room
	blockedQueues  map[blockedQueueKey]*blockedQueue
	emptyQueues    int            // buckets without a class
	gainedCapacity cell.Resources // most room that a worker has after a change
	gainSeq        uint64         // changes so far
	gainPending    bool           // gain was not yet offered to all classes

	reservedGain        cell.Resources // like gain, on reserved workers, for backfill
	reservedGainPending bool
	reservedGainOffered bool      // gain includes heldGain
	nextBackfillAt      time.Time // earliest time to offer heldGain
}

type scopeKey struct {
	policy cell.PolicyName
	region cell.Region
}

// group is the workers of one pool in one failure domain.
type group struct {
	groupKey
	index   index
	victims [victimKinds]victimList

	used, capacity cell.Resources // of the workers that may be used
	scopes         []*scope
}

// load is the share of the group's scarcest resource that is used.
func (g *group) load() float64 { return g.used.DominantShare(g.capacity) }

type groupKey struct {
	pool   cell.Pool
	region cell.Region
	domain cell.FailureDomain
}

// team is an owner of jobs and its use of the cell.
type team struct {
	name         cell.Team
	configured   bool // in the file
	share        float64
	quota        cell.Resources
	urgentLimit  int64 // thousandths of a core
	usage        cell.Resources
	urgentUsage  int64
	shareRatio   float64 // dominant share of usage divided by share
	belowShare   bool    // fairness is below 1
	orderPenalty int64   // in the order of teams above their share, nanoseconds
	ready        classHeap
	quotaBlocked classList // wait until the team uses less
	usageFreed   bool      // in Scheduler.freedTeams
	activeIndex  int       // in Scheduler.active; notReady outside it
}

// minShare stands for a share of 0, which may use only what others leave.
const minShare = 1e-6

func (t *team) updateShareRatio(total cell.Resources) {
	t.shareRatio = t.usage.DominantShare(total) / max(t.share, minShare)
	t.belowShare = t.shareRatio < 1
	t.orderPenalty = int64(min(max(t.shareRatio-1, 0), maxShareExcess) * float64(overSharePenalty))
}

// spreadCount counts the tasks of a service by place.
type spreadCount struct {
	domains map[cell.FailureDomain]int
	racks   map[rackKey]int
	workers map[cell.WorkerName]int
}

type rackKey struct {
	domain cell.FailureDomain
	rack   cell.Rack
}

func newSpreadCount() *spreadCount {
	return &spreadCount{
		domains: map[cell.FailureDomain]int{},
		racks:   map[rackKey]int{},
		workers: map[cell.WorkerName]int{},
	}
}

func (c *spreadCount) add(w *worker, n int) {
	c.domains[w.FailureDomain] += n
	c.racks[rackKey{w.FailureDomain, w.Rack}] += n
	c.workers[w.Name] += n
}
