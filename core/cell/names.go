package cell

// Names of the parts of a cell. They are distinct types so that the compiler rejects a name of the
// wrong kind.
type (
	// Region is the name of a set of failure domains with low network latency between them.
	Region string
	// FailureDomain is the name of a part of a region that may fail as a whole.
	FailureDomain string
	// Rack is the name of a group of workers behind one switch.
	Rack string
	// Pool is the name of a set of workers that policies refer to.
	Pool string
	// Team is the name of an owner of jobs and quotas.
	Team string
	// PolicyName is the name of a policy of the cell file.
	PolicyName string
	// Service is the name of a routed service of the cell file.
	Service string
	// WorkerName identifies a worker and stays the same when the worker restarts.
	WorkerName string
	// EntryName identifies an entry process and stays the same when the process restarts.
	EntryName string
	// BackendName identifies a backend server and stays the same when the server restarts.
	BackendName string
)

// JobID identifies a job in the cell. Ids are assigned by the replicated state and never reused.
type JobID uint64

// AllocationID identifies the placement of a task on a worker. A task that is placed again gets a new
// allocation.
type AllocationID uint64

// Epoch identifies one registration of a worker with the cell. A message with an epoch other than the
// current one of its worker is refused.
type Epoch uint64

// Incarnation identifies one start of a named process. It increases with every start.
type Incarnation uint64

// Generation is the version number of a cell file. The generation in force never decreases.
type Generation uint64
