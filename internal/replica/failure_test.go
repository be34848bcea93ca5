package replica_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/diskio/faultdisk"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
	"github.com/godwitlink/godwitlink/internal/storage"
)

// begin is a command that adds a record of a request: small, and counted by
// nothing but its key.
func begin(i, attempt int) state.Command {
	return state.Command{BeginRequest: &state.BeginRequest{
		Key:   state.RequestKey{Service: "turnos", Team: "reservas", Key: fmt.Sprintf("key-%d", i)},
		Entry: "entry-1", Incarnation: 1, Attempt: uint64(attempt), Retention: callTimeout,
	}}
}

// join makes the entry process of begin a member.
func join(t *testing.T, group *localgroup.Group) {
	t.Helper()
	member := state.Member{Name: "entry-1", Incarnation: 1, Address: "127.0.0.1:1", Region: "quito-norte", FailureDomain: "quito-norte-1"}
	result, err := group.Client().Propose(callContext(t), state.Command{JoinMember: &state.JoinMember{Member: member}})
	if err != nil || result.Refusal != state.RefusalNone {
		t.Fatalf("join: %v %v", result, err)
	}
}

// commitMany commits n commands as an attempt and returns how many of them may
// be dispatched.
func commitMany(t *testing.T, group *localgroup.Group, attempt, n int) int {
	t.Helper()
	const inFlight = 16
	var tasks sync.WaitGroup
	dispatch := make(chan bool, n)
	for worker := range inFlight {
		tasks.Go(func() {
			for i := worker; i < n; i += inFlight {
				result, err := group.Client().Propose(callContext(t), begin(i, attempt))
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

// awaitApplied waits until a replica has applied as much as the leader had.
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

// Guards against a follower that was away and stays behind, with the entries
// still in the leader's log and with a snapshot in their place; and against a
// state that differs after it: the follower must answer reads as a leader.
func TestFollowerCatchesUp(t *testing.T) {
	for name, snapshotEvery := range map[string]uint64{"from the log": 100_000, "from a snapshot": 60} {
		t.Run(name, func(t *testing.T) {
			group := startGroup(t, 3, func(o *replica.Options) { o.SnapshotEveryEntries = snapshotEvery })
			applyFile(t, group, cellFile(t, "turnos.toml"))
			join(t, group)
			leader := leaderOf(t, group)
			away := (leader + 1) % 3
			if err := group.Kill(away); err != nil {
				t.Fatal(err)
			}
			if granted := commitMany(t, group, 1, 500); granted != 500 {
				t.Errorf("%d of 500 commands carried out", granted)
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
			if again := commitMany(t, group, 2, 500); again != 0 {
				t.Errorf("%d requests may be dispatched twice", again)
			}
			if err := group.Kill(leader); err != nil {
				t.Fatal(err)
			}
			if err := group.Restart((leader + 2) % 3); err != nil {
				t.Fatal(err)
			}
			if again := commitMany(t, group, 3, 500); again != 0 {
				t.Errorf("after the change of leader %d requests may be dispatched twice", again)
			}
		})
	}
}

// Guards against a replica that votes with an empty folder after it has voted
// with the one that was lost.
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

// Guards against a founder that ends because its disk is full before it has
// stored its identity: the others form the group, and no later start may vote.
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

// Guards against states that differ between versions of the program: a replica
// that cannot decode a committed command must stop and not leave it out.
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

// appendEntry adds a command to the log in a folder of replica 1.
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

// Guards against two operators who both believe that their file of the same
// generation is in force, and against a resent file that is refused.
func TestOperatorsRaceWithEqualGenerations(t *testing.T) {
	group := startGroup(t, 3, nil)
	base := cellFile(t, "turnos.toml")
	applyFile(t, group, base)
	results := make([]state.Result, 2)
	bodies := make([][]byte, 2)
	var tasks sync.WaitGroup
	for i, submitter := range []string{"ana", "bruno"} {
		bodies[i] = bytes.Replace(base, []byte("generation = 1"), []byte("generation = 2"), 1)
		bodies[i] = bytes.Replace(bodies[i], []byte("carmen.ruiz"), []byte(submitter), 1)
		tasks.Go(func() { results[i] = applyFile(t, group, bodies[i]) })
	}
	tasks.Wait()
	winner := 0
	if results[1].Refusal == state.RefusalNone {
		winner = 1
	}
	loser := results[1-winner]
	if results[winner].Refusal != state.RefusalNone || loser.Refusal != state.RefusalGenerationUsed {
		t.Fatalf("refusals %q and %q, want one winner", results[0].Refusal, results[1].Refusal)
	}
	if digest := readStatus(t, group).Digest; digest != results[winner].File.Digest || digest != loser.File.Digest {
		t.Errorf("digest in force %s, answered %s and %s", digest, results[winner].File.Digest, loser.File.Digest)
	}
	if again := applyFile(t, group, bodies[winner]); again.Refusal != state.RefusalNone || !again.File.Repeated {
		t.Errorf("resent file: %+v", again)
	}
}

// control is a client of one replica, without the search for the leader.
func control(t *testing.T, group *localgroup.Group, i int) rpcpb.Control {
	t.Helper()
	return rpcpb.NewControlProtobufClient("http://"+group.Address(i), group.HTTP())
}

func twirpError(err error) (code twirp.ErrorCode, reason, leader string) {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return "", "", ""
	}
	return answer.Code(), answer.Meta("reason"), answer.Meta("leader")
}

// Guards against commands that only the leader's own clock and scheduler may
// give, against malformed ones, and against a follower that answers.
func TestRefusalsOfControl(t *testing.T) {
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
		"follower":            {(leader + 1) % 3, encode(begin(1, 1)), twirp.FailedPrecondition},
	}
	for name, c := range cases {
		_, err := control(t, group, c.at).Propose(callContext(t), &rpcpb.ProposeRequest{Command: c.command})
		code, _, named := twirpError(err)
		if code != c.code {
			t.Errorf("%s: error %v, want %s", name, err, c.code)
		}
		if c.code == twirp.FailedPrecondition && named != group.Address(leader) {
			t.Errorf("%s: leader %q, want %q", name, named, group.Address(leader))
		}
	}
	if _, err := control(t, group, (leader+1)%3).Read(callContext(t), &rpcpb.ReadRequest{Query: mustQuery(t)}); err == nil {
		t.Error("a follower has answered a read")
	}
}

func mustQuery(t *testing.T) []byte {
	t.Helper()
	data, err := codec.EncodeQuery(state.Query{Status: &state.StatusQuery{}})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against a full disk that stops reads or takes commands that cannot
// be stored.
func TestFullDiskRefusesCommandsAndServesReads(t *testing.T) {
	group := startGroup(t, 1, func(o *replica.Options) { o.Storage.LimitBytes = 64 << 10 })
	applyFile(t, group, cellFile(t, "turnos.toml"))
	join(t, group)
	encoded, err := codec.EncodeCommand(state.Command{SubmitJob: &state.SubmitJob{Key: strings.Repeat("k", 100), Spec: cell.JobSpec{Command: strings.Repeat("c", 8000)}}})
	if err != nil {
		t.Fatal(err)
	}
	// The command that finds no room stays in the log and may be stored later,
	// so its caller waits; those after it are refused.
	reason := ""
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := control(t, group, 0).Propose(ctx, &rpcpb.ProposeRequest{Command: encoded})
		cancel()
		if _, reason, _ = twirpError(err); reason == "disk-full" {
			break
		}
	}
	if reason != "disk-full" {
		t.Fatalf("reason %q, want disk-full", reason)
	}
	if readStatus(t, group).Generation != 1 {
		t.Error("reads are not answered")
	}
}

// Guards against a planned stop that interrupts commands: while the leader
// stops, every command must be carried out once and answered, without a long
// pause for an election.
func TestPlannedStopLosesNothing(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFile(t, group, cellFile(t, "turnos.toml"))
	join(t, group)
	leader := leaderOf(t, group)
	stopped := make(chan error, 1)
	go func() { stopped <- group.Stop(callContext(t), leader) }()
	if granted := commitMany(t, group, 1, 400); granted != 400 {
		t.Errorf("%d of 400 commands carried out by their first sending", granted)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

// onBadDisks runs a test for each fault of a disk, on a group of three. impair
// brings the fault about on the disk of the leader; it ends with the test.
func onBadDisks(t *testing.T, test func(t *testing.T, group *localgroup.Group, leader int, impair func())) {
	for name, fault := range map[string]func(*faultdisk.Disk){
		"full":    func(d *faultdisk.Disk) { d.FailWrites(syscall.ENOSPC) },
		"hanging": func(d *faultdisk.Disk) { d.Hang(true) },
	} {
		t.Run(name, func(t *testing.T) {
			disks := map[replog.ReplicaID]*faultdisk.Disk{1: faultdisk.New(), 2: faultdisk.New(), 3: faultdisk.New()}
			group := startGroup(t, 3, func(o *replica.Options) { o.Storage.Disk = disks[o.ID] })
			applyFile(t, group, cellFile(t, "turnos.toml"))
			join(t, group)
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

// Guards against a group that takes no commands while only the disk of its
// leader is full or hangs.
func TestLeaderWithABadDiskHandsOver(t *testing.T) {
	onBadDisks(t, func(t *testing.T, group *localgroup.Group, former int, impair func()) {
		impair()
		for ctx := callContext(t); leaderOf(t, group) == former; {
			// The command that meets the disk may be refused.
			_, err := group.Client().Propose(ctx, begin(0, 1))
			if ctx.Err() != nil {
				t.Fatalf("replica %d still leads: %v", former+1, err)
			}
		}
		if granted := commitMany(t, group, 2, 50); granted < 49 {
			t.Errorf("%d of 49 commands carried out", granted)
		}
	})
}
