package placement

import (
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/core/fairshare"
)

// worker is a machine with the resources that are booked on it.
type worker struct {
	cell.Worker
	epoch      cell.Epoch
	registered bool // its current epoch has not ended
	retired    bool // listed under retired_workers
	group      *workerGroup

	used        cell.Resources // by allocations, including planned ones
	claimed     cell.Resources // for urgent tasks that wait for preempted allocations to end
	reserved    cell.Resources // for the tasks of reservation
	preemptible cell.Resources // part of used that urgent work may preempt
	allocations []*allocation

	releasing        cell.Resources // part of used that is stopping and expected to be free soon
	claims           []*claim
	reservation      *reservation // the reservation that holds reserved
	reservationReady bool         // the free resources cover reserved

	slot       slot
	next, prev *worker // in the worker list of its slot

	health                       workerHealth
	unhealthy                    bool           // excluded from placement by health
	countedCapacity, countedUsed cell.Resources // contribution to capacity and used of the group

	searchID      uint64         // the last search that visited this worker
	forecastFree  cell.Resources // free resources at the time that the forecast has reached
	forecastTasks int            // tasks that the forecast assigns to this worker
	forecastIndex int            // in the assignments of the forecast
}

// free returns the resources that no allocation uses, planned ones included.
func (w *worker) free() cell.Resources { return w.Capacity.Sub(w.used) }

// available returns the resources that non-urgent tasks may use.
func (w *worker) available() cell.Resources {
	return w.free().Sub(w.claimed).Sub(w.reserved)
}

// usable reports whether tasks may be placed on the worker.
func (w *worker) usable() bool {
	return w.registered && !w.retired && !w.unhealthy
}

// allocation is a planned or committed placement.
type allocation struct {
	id            cell.AllocationID // 0 until the placement is committed
	task          cell.TaskID
	job           *job // nil if the job is unknown
	team          *team
	worker        *worker
	size          cell.Resources // declared
	booked        cell.Resources // size, with more memory where more was measured or is expected
	urgent        bool
	preemptible   bool // urgent tasks may preempt it
	stopping      bool
	stopOverdue   bool      // has not ended within claimTimeout after it was preempted
	stopCommitted bool      // the state has committed the stop
	claims        *claimSet // for which it was preempted
	placedAt      time.Time
	startedAt     time.Time // zero until the worker has started it

	nextVictim, prevVictim *allocation // in a victimList
}

// job is a job with its waiting tasks.
type job struct {
	id              cell.JobID
	spec            cell.JobSpec
	team            *team
	class           *taskClass // the class in which it waits; nil if no task waits there
	queued          []int      // indexes of the waiting tasks
	backingOff      int        // tasks whose start is delayed
	activeTasks     int        // planned or placed tasks
	succeededTasks  int        // tasks that succeeded
	ended           bool
	gang            bool
	queuedAt        time.Time     // when the job was added; unchanged when a task is queued again
	expectedRunTime time.Duration // 0 for services
	upperRunTime    time.Duration // few tasks run longer; 0 for services
	outcomes        outcomes      // on workers that are not in quarantine
	outcomeWorkers  []*worker     // workers with this job in health.byJob
	spread          *spreadCount

	claims []*claimSet

	next, prev *job // in the job list of class
}

// dependentTasks returns how many tasks are lost if one of them is stopped.
func (j *job) dependentTasks() int {
	if j.gang {
		return j.spec.Tasks
	}
	return 1
}

// classKey holds the properties that the tasks of a class share.
type classKey struct {
	team     cell.Team
	policy   cell.PolicyName
	region   cell.Region
	priority cell.Priority
	size     cell.Resources
	runTime  int // bucket of the expected run time
	tasks    int // tasks per gang; 0 for other kinds of policy
}

// taskClass holds the waiting jobs whose tasks are equivalent for the scheduler: if one task does
// not fit, none does.
type taskClass struct {
	key                   classKey
	team                  *team
	scope                 *scope
	expectedRunTime       time.Duration // run time of the bucket; 0 for services
	head, tail            *job
	heapIndex             int           // in team.ready, or noIndex
	orderTime             int64         // queuedAt of head plus runTimePenalty, in Unix nanoseconds
	waitReason            Reason        // why its tasks wait
	blockedIn             *blockedQueue // the queue in which it waits for free resources
	triedGainSeq          uint64        // gainSeq of its scope when it was last tried
	waitList              *classList    // the list in which it waits for its team to use less
	waitIndex             int           // in waitList or blockedIn
	retryAt               time.Time     // earliest next try of a gang or an urgent class
	retryTimerSet         bool          // a timer is set for retryAt
	noReservationUntil    time.Time     // no reservation is made before this time
	reservations          []*reservation
	reservationConsidered bool // a review of reservations was requested for its first job
}

const noIndex = -1

func (c *taskClass) urgent() bool { return c.key.priority == cell.PriorityUrgent }

func (c *taskClass) gang() bool { return c.scope.policy.Kind == cell.KindGang }

// priorityRank returns the position of a priority, with 0 for the most important one.
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

// scope is the set of workers that a policy admits for a region, with the classes that are blocked
// because no worker has enough free resources.
type scope struct {
	policy         cellconfig.Policy
	region         cell.Region // empty for any region
	policyKnown    bool        // the policy is in the cell file
	groups         []*workerGroup
	sizeRanges     []*sizeRange // blocked classes by the magnitude of their size
	blockedQueues  map[blockedQueueKey]*blockedQueue
	emptyQueues    int            // number of empty blockedQueues
	gainedCapacity cell.Resources // maximum available on the workers that changed, per dimension
	gainSeq        uint64         // incremented when gainedCapacity is updated
	gainPending    bool           // gainedCapacity has not been offered to all blocked classes

	reservedGain        cell.Resources // like gainedCapacity, on reserved workers, for backfill
	reservedGainPending bool
	reservedGainOffered bool      // gainedCapacity includes reservedGain
	nextBackfillAt      time.Time // earliest time to offer reservedGain
}

type scopeKey struct {
	policy cell.PolicyName
	region cell.Region
}

// workerGroup holds the workers of one pool in one failure domain.
type workerGroup struct {
	groupKey
	index   workerIndex
	victims [victimKinds]victimList

	used, capacity cell.Resources // of the usable workers
	scopes         []*scope
}

// load returns the used fraction of the resource that is used most.
func (g *workerGroup) load() float64 { return g.used.DominantShare(g.capacity) }

type groupKey struct {
	pool   cell.Pool
	region cell.Region
	domain cell.FailureDomain
}

// team is a team with its limits and its usage of the cell.
type team struct {
	name         cell.Team
	configured   bool // in the cell file
	share        float64
	quota        cell.Resources
	urgentLimit  int64 // in thousandths of a core
	usage        cell.Resources
	urgentUsage  int64
	shareRatio   float64 // dominant share of usage divided by share
	belowShare   bool    // shareRatio is below 1
	orderPenalty int64   // delay in the order of classes for usage above the share, in nanoseconds
	ready        classHeap
	limitBlocked classList // classes that wait for the team to use less
	usageFreed   bool      // in Scheduler.usageFreedTeams
	activeIndex  int       // in Scheduler.active, or noIndex
}

func (t *team) updateShareRatio(total cell.Resources) {
	t.shareRatio = fairshare.Ratio(t.usage.DominantShare(total), t.share)
	t.belowShare = t.shareRatio < 1
	t.orderPenalty = int64(min(max(t.shareRatio-1, 0), maxShareExcess) * float64(overSharePenalty))
}

// spreadCount counts the tasks of a service by failure domain, rack and worker.
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
