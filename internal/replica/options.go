package replica

import (
	"net/http"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// Options configures a replica.
type Options struct {
	ID     replog.ReplicaID
	Voters []replication.Peer // initial voters; with Join, other replicas of the group
	// Contacts are addresses at which other replicas of the group may be found. A replica announces
	// itself there; it learns who answers.
	Contacts []string
	Address  string // of this replica, if Voters does not contain it
	Join     bool   // with an empty folder, join a formed group and never form one
	// FirstStart means that the whole system starts for the first time, so that an empty folder
	// cannot be one whose contents were lost.
	FirstStart bool
	Storage    storage.Options // New sets Replica, Logger and Metrics
	Scheme     string          // URL scheme of requests to other replicas
	Client     *http.Client    // for requests to other replicas; a client without TLS if nil
	Logger     *eventlog.Logger
	Metrics    *metrics.Set

	ElectionTimeoutMin   time.Duration
	ElectionTimeoutMax   time.Duration
	HeartbeatInterval    time.Duration
	MaxClockDriftPPM     int64
	SnapshotEveryEntries uint64
	// JobMemoryBytes is the memory that the jobs of the state may take. While this replica leads, it refuses
	// new jobs above it. 0 means no limit.
	JobMemoryBytes int64
	// LogMemoryBytes is the size of the log, which is also held in memory, at which a snapshot is due. 0 means
	// maxLogBytesBySnapshot.
	LogMemoryBytes int64
	Seed           uint64 // of the random election timeouts

	// AutoVoters is the number of voters that a group without a list of its members maintains;
	// replicas that announce themselves join it. With 0 the group follows the list in the cell
	// file.
	AutoVoters int
	// WorkUpdates receives the updates for the task that dispatches jobs of steps. It may be nil. It
	// has no buffer, so that the task has received what was sent before leadership is transferred.
	WorkUpdates chan<- WorkUpdate

	// EntryDocument returns the part of a configuration document that entry processes need. They get it as
	// the document of the configuration that they ask for, a field that all versions know. It may be nil.
	EntryDocument func(document []byte) []byte

	// DisableBatching makes the replica propose a command only after the one before it is
	// committed, and plan one placement at a time. With storage.Options.EntriesPerSync 1 it is the
	// baseline that benchmarks compare with.
	DisableBatching bool
}

// Bounds of the task's mailboxes, batches and commands.
const (
	logMailboxSize  = 256  // requests with log messages
	callMailboxSize = 4096 // calls
	// maxPendingCommands bounds the commands that are not committed.
	maxPendingCommands = 8192
	// maxBatchBytes bounds the entries of one append message.
	maxBatchBytes = 1 << 20
	// maxInflightAppends is the number of unanswered appends to one follower.
	maxInflightAppends = 64
	// maxUnsyncedAppends bounds the writes that the storage task has not completed. It is below
	// the capacity of that task's mailbox, so that the two tasks never wait for each other.
	maxUnsyncedAppends = storage.MailboxSize - 8
	// snapshotLogPercent is the share of the log's limit at which a snapshot is due, in percent. The log
	// keeps growing while the snapshot is written.
	snapshotLogPercent = 25
	// maxLogBytesBySnapshot is the size of the log at which a snapshot is due whatever its limits.
	maxLogBytesBySnapshot = 64 << 20
	// refuseLogPercent is the share of the log's limit at which new commands are refused, in percent.
	refuseLogPercent = 75
	// MaxCommandBytes bounds an encoded command, which may contain a cell file of 1 MiB.
	MaxCommandBytes = 2 << 20
)

// Times of the leader.
const (
	advanceInterval = workload.AdvanceInterval
	// minPlanInterval is the least time between two plans, so that one plan covers the events of
	// many commands.
	minPlanInterval = 10 * time.Millisecond
	// memberTimeout is the time of three feed calls that wait for maxFeedWait each.
	memberTimeout = 15 * time.Second
	maxFeedWait   = 5 * time.Second
	// diskRetryInterval is the time between two attempts to write to a full disk.
	diskRetryInterval = 500 * time.Millisecond
	// snapshotRetryInterval is the time until another snapshot is taken after one that could not be
	// saved.
	snapshotRetryInterval = time.Second
	// housekeepingInterval is the time between two updates of the gauges.
	housekeepingInterval = time.Second
	// minUsageInterval is the least time between two commits of one worker's usage. A report that
	// changes the state of a task is committed at once.
	minUsageInterval = 30 * time.Second
)

// Bounds of plans.
const (
	// maxPlansInFlight is the number of plans that may be proposed and not applied. The scheduler
	// counts their placements as reserved until it is told the result, so concurrent plans never
	// compete for the same capacity.
	maxPlansInFlight     = 4
	maxPlacementsPerPlan = 1000
)
