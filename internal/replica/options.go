package replica

import (
	"net/http"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Options of a replica.
type Options struct {
	ID      replog.ReplicaID
	Voters  []replication.Peer // initial voters; with Join other replicas of the group
	Address string             // of this replica, where Voters does not have it
	Join    bool               // an empty folder joins a formed group; it never forms one
	// FirstStart says that the whole system starts for the first time, so that an
	// empty folder is not one that was lost.
	FirstStart bool
	Storage    storage.Options // Replica, Logger and Metrics are filled in
	Scheme     string          // of requests to other replicas
	Client     *http.Client    // for them; plain text where nil
	Logger     *eventlog.Logger
	Metrics    *metrics.Set

	ElectionTimeoutMin   time.Duration
	ElectionTimeoutMax   time.Duration
	HeartbeatInterval    time.Duration
	MaxClockDriftPPM     int64
	SnapshotEveryEntries uint64
	Seed                 uint64 // of election time-outs

	// AutoVoters is the number of voters that a group without a list of its
	// members keeps; replicas that announce themselves join it. 0 follows the
	// list in the cell file.
	AutoVoters int
	// Work takes what a dispatcher of jobs of steps needs, or is nil.
	Work chan<- WorkUpdate

	// Plain proposes the next command only when the one before it is
	// committed, and plans one placement at a time. With
	// storage.Options.EntriesPerSync 1 it is the version without batching
	// that benchmarks compare with.
	Plain bool
}

// Bounds of the task.
const (
	logMailboxSize  = 256  // requests with messages of the log
	callMailboxSize = 4096 // calls
	// maxPendingCommands bounds the commands that are not committed.
	maxPendingCommands = 8192
	// maxBatchBytes bounds the entries of one append message.
	maxBatchBytes = 1 << 20
	// maxInflightAppends is the number of appends on the way to one follower.
	maxInflightAppends = 64
	// maxUnsyncedAppends bounds the writes that the storage task has not completed.
	// It is below the capacity of its mailbox, so the tasks never wait for
	// each other.
	maxUnsyncedAppends = storage.MailboxSize - 8
	// MaxCommandBytes bounds a command: a cell file of 1 MiB and its frame.
	MaxCommandBytes = 2 << 20
)

// Times of the leader.
const (
	advanceInterval = time.Second
	// minPlanInterval is the least time between two plans, so that a plan covers
	// the events of many commands.
	minPlanInterval = 10 * time.Millisecond
	// memberTimeout is three feed calls of 5 s.
	memberTimeout = 15 * time.Second
	maxFeedWait   = 5 * time.Second
	// diskRetryInterval is the time between two tries to write on a full disk.
	diskRetryInterval = 500 * time.Millisecond
	// housekeepingInterval is the time between two updates of gauges.
	housekeepingInterval = time.Second
	// minUsageInterval is the least time between two commits of one worker's
	// usage. A report that changes the state of a task is committed at once.
	minUsageInterval = 30 * time.Second
)

// Bounds of plans.
const (
	// maxPlansInFlight is the number of plans that may be on the way. The scheduler
	// counts the placements of each as reserved until it is told of the
	// result, so plans on the way never compete for the same room.
	maxPlansInFlight     = 4
	maxPlacementsPerPlan = 1000 // in one plan
)
