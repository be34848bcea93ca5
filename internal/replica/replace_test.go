package replica_test

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/bench/localgroup"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/replication"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// applyFileWithReplicas applies the example file with another list of control replicas.
func applyFileWithReplicas(t *testing.T, group *localgroup.Group, generation int, listed string) {
	t.Helper()
	body := strings.NewReplacer(
		"generation = 1\n", fmt.Sprintf("generation = %d\n", generation), "control_replicas = [1, 2, 3, 4, 5]", "control_replicas = "+listed,
	).Replace(string(cellFile(t, "turnos.toml")))
	if result := applyFile(t, group, []byte(body)); result.Refusal != state.RefusalNone {
		t.Fatalf("generation %d refused: %s %s", generation, result.Refusal, result.Detail)
	}
}

// awaitVoters waits until the membership of a replica has exactly these voters and no learners.
func awaitVoters(t *testing.T, group *localgroup.Group, i int, voters ...replog.ReplicaID) {
	t.Helper()
	ctx := callContext(t)
	for {
		report, err := group.Replica(i).Report(ctx)
		if err != nil {
			t.Fatalf("replica %d: %v, last %+v", i+1, err, report)
		}
		if slices.Equal(report.Membership.Voters, voters) && len(report.Membership.Learners) == 0 {
			return
		}
	}
}

// Guards against a group that stops after a second loss although the first lost replica was
// replaced, against a new replica without the committed commands, and against a replica that loses
// the address of the new one at a restart.
func TestReplaceReplica(t *testing.T) {
	for name, snapshotEvery := range map[string]uint64{"from the log": 100_000, "from a snapshot": 60} {
		t.Run(name, func(t *testing.T) {
			group := startGroup(t, 3, func(o *replica.Options) { o.SnapshotEveryEntries = snapshotEvery })
			applyFileWithReplicas(t, group, 1, "[1, 2, 3]")
			joinEntryProcess(t, group)
			if err := group.Kill(2); err != nil {
				t.Fatal(err)
			}
			if err := os.RemoveAll(group.Folder(2)); err != nil {
				t.Fatal(err)
			}
			if granted := commitRequests(t, group, 1, 300); granted != 300 {
				t.Errorf("%d of 300 requests may be dispatched", granted)
			}
			joined, err := group.Join()
			if err != nil {
				t.Fatal(err)
			}
			applyFileWithReplicas(t, group, 2, "[1, 2, 4]")
			for _, i := range []int{0, 1, joined} {
				awaitVoters(t, group, i, 1, 2, 4)
			}
			// Replica 2 knows the address of replica 4 from announcements only.
			if err := group.Kill(1); err != nil {
				t.Fatal(err)
			}
			if err := group.Restart(1); err != nil {
				t.Fatal(err)
			}
			leaderOf(t, group)
			if err := group.Kill(0); err != nil {
				t.Fatal(err)
			}
			if again := commitRequests(t, group, 2, 300); again != 0 {
				t.Errorf("%d requests may be dispatched twice", again)
			}
		})
	}
}

// Guards against joined replicas that find their group only while their settings name a member of it.
func TestRestartWithSettingsThatNameFormerReplicas(t *testing.T) {
	var former []replication.Peer
	group := startGroup(t, 3, func(o *replica.Options) {
		if o.Join && former != nil {
			o.Voters = former
		}
	})
	applyFileWithReplicas(t, group, 1, "[1, 2, 3]")
	joinEntryProcess(t, group)
	if granted := commitRequests(t, group, 1, 50); granted != 50 {
		t.Errorf("%d of 50 requests may be dispatched", granted)
	}
	members := []int{0, 1, 2}
	for i, listed := range []string{"[1, 3, 4]", "[1, 4, 5]"} {
		if err := group.Kill(1 + i); err != nil {
			t.Fatal(err)
		}
		joined, err := group.Join()
		if err != nil {
			t.Fatal(err)
		}
		members = append(slices.Delete(members, 1, 2), joined)
		applyFileWithReplicas(t, group, 2+i, listed)
		for _, member := range members {
			awaitVoters(t, group, member, replog.ReplicaID(members[0]+1), replog.ReplicaID(members[1]+1), replog.ReplicaID(members[2]+1))
		}
	}
	former = []replication.Peer{{ID: 2, Address: group.Address(1)}, {ID: 3, Address: group.Address(2)}}
	for _, member := range members {
		if err := group.Kill(member); err != nil {
			t.Fatal(err)
		}
	}
	for _, member := range members {
		if err := group.Restart(member); err != nil {
			t.Fatal(err)
		}
	}
	if again := commitRequests(t, group, 2, 50); again != 0 {
		t.Errorf("%d requests may be dispatched twice", again)
	}
	for _, member := range members {
		report, err := group.Replica(member).Report(callContext(t))
		if err != nil || len(report.Addresses) != len(members) {
			t.Errorf("replica %d knows the addresses %v of its members, error %v", member+1, report.Addresses, err)
		}
	}
}

// Guards against a leader that removes itself while it leads, which would stop the group for an
// election timeout.
func TestReplaceLeader(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFileWithReplicas(t, group, 1, "[1, 2, 3]")
	leader := leaderOf(t, group)
	joined, err := group.Join()
	if err != nil {
		t.Fatal(err)
	}
	var voters []replog.ReplicaID
	for id := range replog.ReplicaID(4) {
		if id != replog.ReplicaID(leader) {
			voters = append(voters, id+1)
		}
	}
	applyFileWithReplicas(t, group, 2, strings.ReplaceAll(fmt.Sprint(voters), " ", ", "))
	awaitVoters(t, group, joined, voters...)
	if text := group.Metrics.Text(); !strings.Contains(text, `control_group_steps_total{reason="transfer"}`) {
		t.Errorf("leadership was not transferred before the leader was removed:\n%s", text)
	}
}

// Guards against a change of the group for a listed id without a running replica, or for a replica
// that is not listed.
func TestOnlyListedAndAnnouncedReplicasJoin(t *testing.T) {
	group := startGroup(t, 3, nil)
	if _, err := group.Join(); err != nil { // replica 4
		t.Fatal(err)
	}
	applyFileWithReplicas(t, group, 1, "[1, 2, 5]")
	leader := leaderOf(t, group)
	report, err := group.Replica(leader).Report(callContext(t))
	if err != nil {
		t.Fatal(err)
	}
	// The leader commits a clock update and checks the group once a second.
	awaitApplied(t, group, leader, report.Applied+4)
	awaitVoters(t, group, leader, 1, 2, 3)
	for line := range strings.Lines(group.Metrics.Text()) {
		if strings.HasPrefix(line, "control_group_steps_total{") && !strings.Contains(line, `reason="record-addresses"`) {
			t.Errorf("the group was changed: %s", line)
		}
	}
}

// Guards against a replica that loses its folder after it has joined and votes again under the
// same id.
func TestJoinedReplicaWithLostFolderIsRefused(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFileWithReplicas(t, group, 1, "[1, 2, 3, 4]")
	joined, err := group.Join()
	if err != nil {
		t.Fatal(err)
	}
	awaitVoters(t, group, joined, 1, 2, 3, 4)
	if err := group.Kill(joined); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(group.Folder(joined)); err != nil {
		t.Fatal(err)
	}
	if err := group.Restart(joined); err != nil {
		t.Fatal(err)
	}
	if err := group.Wait(joined); !errors.Is(err, replica.ErrMustJoin) {
		t.Errorf("error %v, want ErrMustJoin", err)
	}
	if err := group.Kill(joined); !errors.Is(err, replica.ErrMustJoin) {
		t.Error(err)
	}
}

// Guards against a group that takes no new replica after many ids have been used up by lost disks.
func TestReplicaJoinsAfterManyLostDisks(t *testing.T) {
	group := startGroup(t, 3, nil)
	applyFileWithReplicas(t, group, 1, "[1, 2, 3]")
	for lost := range 3 * replication.MaxPeers {
		announcement := &rpcpb.AnnounceRequest{ReplicaId: 1<<32 + uint64(lost), Address: fmt.Sprintf("127.0.0.1:%d", 1+lost%2)}
		for i := range 3 {
			client := rpcpb.NewReplicationProtobufClient("http://"+group.Address(i), group.HTTP())
			if _, err := client.Announce(callContext(t), announcement); err != nil {
				t.Fatal(err)
			}
		}
	}
	joined, err := group.Join()
	if err != nil {
		t.Fatal(err)
	}
	applyFileWithReplicas(t, group, 2, "[1, 2, 3, 4]")
	awaitVoters(t, group, joined, 1, 2, 3, 4)
}
