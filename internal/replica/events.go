package replica

import (
	"go.uber.org/zap/zapcore"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// Log events.
var (
	eventStarted                 = eventlog.Declare(1200, zapcore.InfoLevel, "control replica started")
	eventWaitingForVoters        = eventlog.Declare(1201, zapcore.InfoLevel, "empty data folder, waits for the other initial voters")
	eventGroupUnformed           = eventlog.Declare(1202, zapcore.InfoLevel, "no initial voter was in a formed group, the replica may vote")
	eventGroupFormed             = eventlog.Declare(1203, zapcore.ErrorLevel, "empty data folder but the group was formed before")
	eventClockJumped             = eventlog.Declare(1218, zapcore.WarnLevel, "clock may have stood still; the leader lease ends")
	eventRoleChanged             = eventlog.Declare(1204, zapcore.InfoLevel, "role changed")
	eventLeadershipStarted       = eventlog.Declare(1205, zapcore.InfoLevel, "leadership taken, scheduler and leases rebuilt")
	eventLeadershipEnded         = eventlog.Declare(1206, zapcore.InfoLevel, "leadership ended")
	eventLeadershipTransfer      = eventlog.Declare(1207, zapcore.InfoLevel, "leadership is handed over")
	eventStopped                 = eventlog.Declare(1208, zapcore.InfoLevel, "control replica stopped")
	eventDiskFull                = eventlog.Declare(1209, zapcore.ErrorLevel, "commands are refused until the disk has room")
	eventDiskSpaceAvailable      = eventlog.Declare(1210, zapcore.InfoLevel, "commands are taken again")
	eventSnapshotInstalled       = eventlog.Declare(1211, zapcore.InfoLevel, "snapshot of the leader installed")
	eventUndecodableEntry        = eventlog.Declare(1212, zapcore.ErrorLevel, "committed command or file cannot be decoded")
	eventCellFileInForce         = eventlog.Declare(1213, zapcore.InfoLevel, "cell file in force")
	eventWorkerLeaseExpired      = eventlog.Declare(1214, zapcore.WarnLevel, "lease of a worker has run out")
	eventEntryTimedOut           = eventlog.Declare(1215, zapcore.WarnLevel, "entry process made no feed call")
	eventInvariantViolated       = eventlog.Declare(1216, zapcore.ErrorLevel, "invariant violated")
	eventSnapshotFailed          = eventlog.Declare(1217, zapcore.ErrorLevel, "snapshot of the state not taken")
	eventLogFull                 = eventlog.Declare(1219, zapcore.ErrorLevel, "log is near its size limit, commands are refused until a snapshot is saved")
	eventLogHasRoom              = eventlog.Declare(1220, zapcore.InfoLevel, "log is below its size limit again, commands are taken")
	eventPeerAddressLearned      = eventlog.Declare(1400, zapcore.InfoLevel, "address of a control replica learned")
	eventMemberWithoutAddress    = eventlog.Declare(1401, zapcore.WarnLevel, "member of the control group has no known address")
	eventTooManyPeers            = eventlog.Declare(1402, zapcore.WarnLevel, "too many control replicas announced, one is not remembered")
	eventMembershipChanged       = eventlog.Declare(1403, zapcore.InfoLevel, "control group changed by one step")
	eventMembershipChangeRefused = eventlog.Declare(1404, zapcore.InfoLevel, "step of the control group not possible now, tried again")
	eventJoinRequested           = eventlog.Declare(1405, zapcore.InfoLevel, "empty data folder, asks the leader whether it may join")
	eventJoinPermitted           = eventlog.Declare(1406, zapcore.InfoLevel, "the replica may join, waits to be listed in the cell file")
	eventPeerForgotten           = eventlog.Declare(1408, zapcore.InfoLevel, "control replica forgotten: it was replaced, or nobody has mentioned it for a while")
	eventJobMemoryFull           = eventlog.Declare(1409, zapcore.WarnLevel, "new jobs are refused because the memory for jobs has no room for them")
	eventJobMemoryHasRoom        = eventlog.Declare(1410, zapcore.InfoLevel, "no new job was refused for a while because of the memory for jobs")
	eventIDInUse                 = eventlog.Declare(1407, zapcore.ErrorLevel, "empty data folder but the group has a member with this id")
)

// Metrics.
var (
	metricCommitDelay = metrics.Declare("control_commit_delay_seconds", metrics.KindHistogram,
		"time from taking a command to its result")
	metricCommands        = metrics.Declare("control_commands_total", metrics.KindCounter, "commands applied by this replica")
	metricCallRefusals    = metrics.Declare("control_refusals_total", metrics.KindCounter, "calls that were refused, by reason")
	metricCommandRefusals = metrics.Declare("control_command_refusals_total", metrics.KindCounter,
		"commands that the state refused, by reason")
	metricRetries = metrics.Declare("control_retries_total", metrics.KindCounter,
		"work of the leader that is tried again, by reason")
	metricTransfers       = metrics.Declare("control_hand_overs_total", metrics.KindCounter, "offers of the leadership to another replica by reason")
	metricMembershipSteps = metrics.Declare("control_group_steps_total", metrics.KindCounter,
		"steps that changed the control group or its leader, by kind")
	metricGrants                = metrics.Declare("control_lease_grants_total", metrics.KindCounter, "worker leases granted")
	metricGrantRefusals         = metrics.Declare("control_lease_refusals_total", metrics.KindCounter, "worker leases not granted, by reason")
	metricPlacements            = metrics.Declare("control_placements_total", metrics.KindCounter, "placements committed")
	metricPlacementRefusals     = metrics.Declare("control_placement_refusals_total", metrics.KindCounter, "planned placements refused, by reason")
	metricViolations            = metrics.Declare("control_violations_total", metrics.KindCounter, "violated invariants by name")
	metricTerm                  = metrics.Declare("control_term", metrics.KindGauge, "term of the replicated log")
	metricAppliedIndex          = metrics.Declare("control_applied_index", metrics.KindGauge, "index of the last applied entry")
	metricMembersWithoutAddress = metrics.Declare("control_members_without_address", metrics.KindGauge,
		"members of the control group whose address this replica does not know")
	metricIsLeader = metrics.Declare("control_is_leader", metrics.KindGauge, "1 on the leader, otherwise 0")
)
