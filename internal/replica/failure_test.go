package replica_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// beginRequest returns a small command that records a request under its own key.
func beginRequest(i, attempt int) state.Command {
	return state.Command{BeginRequest: &state.BeginRequest{
		Key:   state.RequestKey{Service: "turnos", Team: "reservas", Key: fmt.Sprintf("key-%d", i)},
		Entry: "entry-1", Incarnation: 1, Attempt: uint64(attempt), Retention: callTimeout,
	}}
}

// joinEntryProcess makes the entry process of beginRequest a member.
func joinEntryProcess(t *testing.T, group *localgroup.Group) {
	t.Helper()
	member := state.Member{Name: "entry-1", Incarnation: 1, Address: "127.0.0.1:1", Region: "quito-norte", FailureDomain: "quito-norte-1"}
	result, err := group.Client().Propose(callContext(t), state.Command{JoinMember: &state.JoinMember{Member: member}})
	if err != nil || result.Refusal != state.RefusalNone {
		t.Fatalf("join: %+v, error %v", result, err)
	}
}

// commitRequests commits n commands with an attempt number and returns how many of the requests
// may be dispatched.
func commitRequests(t *testing.T, group *localgroup.Group, attempt, n int) int {
	t.Helper()
	const inFlight = 16
	var tasks sync.WaitGroup
	dispatch := make(chan bool, n)
	for caller := range inFlight {
		tasks.Go(func() {
			for i := caller; i < n; i += inFlight {
				result, err := group.Client().Propose(callContext(t), beginRequest(i, attempt))
				if err != nil || result.Request == nil {
					t.Errorf("command %d: %+v, error %v", i, result, err)
					return
				}
				dispatch <- result.Request.Dispatch
			}
		})
	}
	tasks.Wait()
	close(dispatch)
	granted := 0
	for ok := range dispatch {
		if ok {
			granted++
		}
	}
	return granted
}

// awaitApplied waits until a replica has applied the log up to index.
func awaitApplied(t *testing.T, group *localgroup.Group, i int, index uint64) {
	t.Helper()
	ctx := callContext(t)
	for {
		report, err := group.Replica(i).Report(ctx)
		if err != nil {
			t.Fatalf("replica %d: %v", i+1, err)
		}
		if report.Applied >= index {
			return
		}
	}
}

// Guards against a follower that does not catch up after a restart, from the leader's log or from
// a snapshot, and against a follower whose state differs afterwards: it must give correct answers
// as leader.
func TestFollowerCatchesUp(t *testing.T) {
	for name, snapshotEvery := range map[string]uint64{"from the log": 100_000, "from a snapshot": 60} {
		t.Run(name, func(t *testing.T) {
			group := startGroup(t, 3, func(o *replica.Options) { o.SnapshotEveryEntries = snapshotEvery })
			applyFile(t, group, cellFile(t, "turnos.toml"))
			joinEntryProcess(t, group)
			leader := leaderOf(t, group)
			away := (leader + 1) % 3
			if err := group.Kill(away); err != nil {
				t.Fatal(err)
			}
			if granted := commitRequests(t, group, 1, 500); granted != 500 {
				t.Errorf("%d of 500 requests may be dispatched", granted)
			}
			report, err := group.Replica(leader).Report(callContext(t))
			if err != nil {
				t.Fatal(err)
			}
			if err := group.Restart(away); err != nil {
				t.Fatal(err)
			}
			awaitApplied(t, group, away, report.Applied)
			if err := group.Kill((leader + 2) % 3); err != nil {
				t.Fatal(err)
			}
			if again := commitRequests(t, group, 2, 500); again != 0 {
				t.Errorf("%d requests may be dispatched twice", again)
			}
			if err := group.Kill(leader); err != nil {
				t.Fatal(err)
			}
			if err := group.Restart((leader + 2) % 3); err != nil {
				t.Fatal(err)
			}
			if again := commitRequests(t, group, 3, 500); again != 0 {
				t.Errorf("after the change of leader, %d requests may be dispatched twice", again)
			}
		})
	}
}

// Guards against a replica that votes with an empty folder after it had voted with the folder that
// was lost.
func TestEmptyFolderIsRefusedAfterFormation(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFile(t, group, cellFile(t, "turnos.toml"))
	if err := group.Kill(2); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(group.Folder(2)); err != nil {
		t.Fatal(err)
	}
	if err := group.Restart(2); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(2); !errors.Is(err, replica.ErrMustJoin) {
		t.Fatalf("error %v, want ErrMustJoin", err)
	}
	if err := group.Kill(2); !errors.Is(err, replica.ErrMustJoin) {
		t.Fatal(err)
	}
}

// Guards against an initial voter that ends because its disk is full before it has stored its
// identity. The other voters then form the group, and no later start of the replica may vote.
func TestFounderWaitsForRoomOnItsDisk(t *testing.T) {
	disk := faultdisk.New()
	disk.FailWrites(syscall.ENOSPC)
	group := startGroup(t, 3, func(o *replica.Options) {
		if o.ID == 3 {
			o.Storage.Disk = disk
		}
	})
	applyFile(t, group, cellFile(t, "turnos.toml"))
	report, err := group.Replica(leaderOf(t, group)).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	disk.FailWrites(nil)
	awaitApplied(t, group, 2, report.Applied)
}

// Guards against states that differ between versions of the program: a replica that cannot decode
// a committed command must stop instead of skipping it.
func TestUnknownCommandStopsTheReplica(t *testing.T) {
	group := startGroup(t, 1, nil)
	applyFile(t, group, cellFile(t, "turnos.toml"))
	report, err := group.Replica(0).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Kill(0); err != nil {
		t.Fatal(err)
	}
	appendEntry(t, group.Folder(0), report.Term, []byte("of a later version"))
	if err := group.Restart(0); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(0); !errors.Is(err, replica.ErrUnknownCommand) {
		t.Errorf("error %v, want ErrUnknownCommand", err)
	}
	if err := group.Kill(0); !errors.Is(err, replica.ErrUnknownCommand) {
		t.Fatal(err)
	}
}

// appendEntry appends a command to the log of replica 1 in a folder.
func appendEntry(t *testing.T, folder string, term uint64, data []byte) {
	t.Helper()
	disk, err := diskio.NewFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	store, recovered, err := storage.Open(storage.Options{
		Disk: disk, Replica: 1, Logger: eventlog.Nop(), Metrics: metrics.New(), SegmentBytes: storage.DefaultSegmentBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- store.Run(ctx) }()
	last := recovered.Entries[len(recovered.Entries)-1]
	entry := replog.Entry{Index: last.Index + 1, Term: term, Kind: replog.EntryCommand, Data: data}
	store.Requests() <- storage.Append{Seq: 1, Entries: []replog.Entry{entry}}
	written := <-store.Completions()
	cancel()
	if err := errors.Join(written.Err, <-ended); err != nil {
		t.Fatal(err)
	}
}

// Guards against two operators who both believe that their file with the same generation is in
// force, and against refusing a file that is sent again.
func TestOperatorsRaceWithEqualGenerations(t *testing.T) {
	group := startGroup(t, 3, nil)
	base := cellFile(t, "turnos.toml")
	applyFile(t, group, base)
	results := make([]state.Result, 2)
	bodies := make([][]byte, 2)
	errs := make([]error, 2)
	var tasks sync.WaitGroup
	for i, submitter := range []string{"ana", "bruno"} {
		bodies[i] = bytes.Replace(base, []byte("generation = 1"), []byte("generation = 2"), 1)
		bodies[i] = bytes.Replace(bodies[i], []byte("carmen.ruiz"), []byte(submitter), 1)
		ctx := callContext(t)
		tasks.Go(func() {
			results[i], errs[i] = applyUntilKnown(ctx, func() (state.Result, error) { return proposeFile(ctx, group, bodies[i]) })
		})
	}
	tasks.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	winner := 0
	if results[1].Refusal == state.RefusalNone {
		winner = 1
	}
	loser := results[1-winner]
	if results[winner].Refusal != state.RefusalNone || loser.Refusal != state.RefusalGenerationUsed {
		t.Fatalf("refusals %q and %q, want exactly one accepted file", results[0].Refusal, results[1].Refusal)
	}
	if digest := readStatus(t, group).Digest; digest != results[winner].File.Digest || digest != loser.File.Digest {
		t.Errorf("digest in force %s, digests in the results %s and %s", digest, results[winner].File.Digest, loser.File.Digest)
	}
	if again := applyFile(t, group, bodies[winner]); again.Refusal != state.RefusalNone || !again.File.Repeated {
		t.Errorf("resent file: %+v", again)
	}
}

// applyUntilKnown sends a file again while its outcome is unknown. The answer to a repeated file says
// what is in force: accepted as repeated if it is the file, refused if another one is.
func applyUntilKnown(ctx context.Context, propose func() (state.Result, error)) (state.Result, error) {
	for {
		result, err := propose()
		if !errors.Is(err, controlclient.ErrOutcomeUnknown) || ctx.Err() != nil {
			return result, err
		}
	}
}

// Guards against a check that takes a truthful unknown outcome for a failure, or for a known one.
func TestApplyUntilKnown(t *testing.T) {
	unavailable := errors.New("unavailable")
	for name, c := range map[string]struct {
		answers []error
		refusal state.Refusal
		err     error
		calls   int
	}{
		"accepted at once":      {[]error{nil}, "", nil, 1},
		"unknown then accepted": {[]error{controlclient.ErrOutcomeUnknown, nil}, "", nil, 2},
		"unknown then refused":  {[]error{controlclient.ErrOutcomeUnknown, controlclient.ErrOutcomeUnknown, nil}, "generation-used", nil, 3},
		"unavailable":           {[]error{unavailable, nil}, "", unavailable, 1},
	} {
		calls := 0
		result, err := applyUntilKnown(t.Context(), func() (state.Result, error) {
			calls++
			return state.Result{Refusal: c.refusal}, c.answers[calls-1]
		})
		if result.Refusal != c.refusal || !errors.Is(err, c.err) || calls != c.calls {
			t.Errorf("%s: refusal %q, error %v after %d calls, want %q, %v after %d", name, result.Refusal, err, calls, c.refusal, c.err, c.calls)
		}
	}
}

// controlClient returns a client of one replica that does not search for the leader.
func controlClient(t *testing.T, group *localgroup.Group, i int) rpcpb.Control {
	t.Helper()
	return rpcpb.NewControlProtobufClient("http://"+group.Address(i), group.HTTP())
}

func twirpErrorDetails(err error) (code twirp.ErrorCode, reason, leader string) {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return "", "", ""
	}
	return answer.Code(), answer.Meta("reason"), answer.Meta("leader")
}

// Guards against accepting malformed commands and commands that only the leader may propose, and
// against a follower that answers calls.
func TestControlRefusesInvalidProposals(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFile(t, group, cellFile(t, "turnos.toml"))
	leader := leaderOf(t, group)
	encode := func(c state.Command) []byte {
		data, err := codec.EncodeCommand(c)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	cases := map[string]struct {
		at      int
		command []byte
		code    twirp.ErrorCode
	}{
		"expiry from outside": {leader, encode(state.Command{ExpireWorker: &state.ExpireWorker{Worker: "w", Epoch: 1}}), twirp.InvalidArgument},
		"plan from outside":   {leader, encode(state.Command{CommitPlan: &state.CommitPlan{}}), twirp.InvalidArgument},
		"time from outside":   {leader, encode(state.Command{Advance: &state.Advance{}}), twirp.InvalidArgument},
		"not a command":       {leader, []byte("hello"), twirp.InvalidArgument},
		"too large":           {leader, bytes.Repeat([]byte("x"), replica.MaxCommandBytes+1), twirp.InvalidArgument},
		"follower":            {(leader + 1) % 3, encode(beginRequest(1, 1)), twirp.FailedPrecondition},
	}
	for name, c := range cases {
		_, err := controlClient(t, group, c.at).Propose(callContext(t), &rpcpb.ProposeRequest{Command: c.command})
		code, _, named := twirpErrorDetails(err)
		if code != c.code {
			t.Errorf("%s: error %v, want %s", name, err, c.code)
		}
		if c.code == twirp.FailedPrecondition && named != group.Address(leader) {
			t.Errorf("%s: leader %q, want %q", name, named, group.Address(leader))
		}
	}
	if _, err := controlClient(t, group, (leader+1)%3).Read(callContext(t), &rpcpb.ReadRequest{Query: encodeStatusQuery(t)}); err == nil {
		t.Error("a follower answered a read")
	}
}

func encodeStatusQuery(t *testing.T) []byte {
	t.Helper()
	data, err := codec.EncodeQuery(state.Query{Status: &state.StatusQuery{}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a full disk that stops reads, and against accepting commands that cannot be
// stored.
func TestFullDiskRefusesCommandsAndServesReads(t *testing.T) {
	disk := faultdisk.New()
	group := startGroup(t, 1, func(o *replica.Options) { o.Storage.Disk = disk })
	applyFile(t, group, cellFile(t, "turnos.toml"))
	joinEntryProcess(t, group)
	encoded := submitCommand(t, 8000)
	disk.FailWrites(syscall.ENOSPC)
	defer disk.FailWrites(nil)
	// The first command that does not fit stays in the log and may be stored later, so its caller
	// waits. The commands after it are refused.
	reason := ""
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := controlClient(t, group, 0).Propose(ctx, &rpcpb.ProposeRequest{Command: encoded})
		cancel()
		if _, reason, _ = twirpErrorDetails(err); reason == "disk-full" {
			break
		}
	}
	if reason != "disk-full" {
		t.Fatalf("reason %q, want disk-full", reason)
	}
	if readStatus(t, group).Generation != 1 {
		t.Error("the read does not return the generation in force")
	}
}

// Guards against a planned stop that interrupts commands: while the leader stops, every command
// must be carried out once and answered, without waiting for an election timeout.
func TestPlannedStopCommitsEveryCommand(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFile(t, group, cellFile(t, "turnos.toml"))
	joinEntryProcess(t, group)
	leader := leaderOf(t, group)
	stopped := make(chan error, 1)
	go func() { stopped <- group.Stop(callContext(t), leader) }()
	if granted := commitRequests(t, group, 1, 400); granted != 400 {
		t.Errorf("%d of 400 requests may be dispatched", granted)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// forEachDiskFault runs a test for each kind of disk fault on a group of three replicas. impair
// injects the fault on the disk of the leader; the fault ends with the test.
func forEachDiskFault(t *testing.T, test func(t *testing.T, group *localgroup.Group, leader int, impair func())) {
	for name, fault := range map[string]func(*faultdisk.Disk){
		"full":    func(d *faultdisk.Disk) { d.FailWrites(syscall.ENOSPC) },
		"hanging": func(d *faultdisk.Disk) { d.Hang(true) },
	} {
		t.Run(name, func(t *testing.T) {
			disks := map[replog.ReplicaID]*faultdisk.Disk{1: faultdisk.New(), 2: faultdisk.New(), 3: faultdisk.New()}
			group := startGroup(t, 3, func(o *replica.Options) { o.Storage.Disk = disks[o.ID] })
			applyFile(t, group, cellFile(t, "turnos.toml"))
			joinEntryProcess(t, group)
			leader := leaderOf(t, group)
			bad := disks[replog.ReplicaID(leader+1)]
			defer func() {
				bad.FailWrites(nil)
				bad.Hang(false)
			}()
			test(t, group, leader, func() { fault(bad) })
		})
	}
}

// Guards against a group that accepts no commands while only the disk of its leader is full or
// hangs.
func TestLeaderWithABadDiskHandsOver(t *testing.T) {
	forEachDiskFault(t, func(t *testing.T, group *localgroup.Group, former int, impair func()) {
		impair()
		for ctx := callContext(t); leaderOf(t, group) == former; {
			// A command that is proposed while the disk fails may be refused.
			_, err := group.Client().Propose(ctx, beginRequest(0, 1))
			if ctx.Err() != nil {
				t.Fatalf("replica %d still leads: %v", former+1, err)
			}
		}
		if granted := commitRequests(t, group, 2, 50); granted < 49 {
			t.Errorf("%d of 50 requests may be dispatched, want at least 49", granted)
		}
	})
}
