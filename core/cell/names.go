package cell

// Names of the parts of a cell. They are distinct types so that one cannot be
// passed for another.
type (
	// Region is a set of failure domains with short delays between them.
	Region string
	// FailureDomain is a part of a region that fails as a whole.
	FailureDomain string
	// Rack is a group of workers behind one switch.
	Rack string
	// Pool is a set of workers that policies name.
	Pool string
	// Team is the owner of jobs and quotas.
	Team string
	// PolicyName names a policy of the cell file.
	PolicyName string
	// Service names a routed service of the cell file.
	Service string
	// WorkerName names a worker. It is stable across restarts of the worker.
	WorkerName string
	// EntryName names an entry process. It is stable across restarts.
	EntryName string
	// BackendName names a backend server. It is stable across restarts.
	BackendName string
)

// JobID identifies a job in the cell. Ids are assigned by the replicated
// state and never used twice.
type JobID uint64

// AllocationID identifies one placement of one task on one worker. A task
// that is placed again gets a new allocation.
type AllocationID uint64

// Epoch counts the registrations of workers with the cell. A message that
// carries an epoch other than the current one of its worker is ignored.
type Epoch uint64

// Incarnation counts the starts of a process under one name. It is larger at
// every start.
type Incarnation uint64

// Generation numbers the files of the cell. It never decreases.
type Generation uint64
