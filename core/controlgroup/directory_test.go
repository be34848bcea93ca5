package controlgroup_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/controlgroup"
	"github.com/godwitlink/godwitlink/core/replog"
)

const testAnnounceInterval = time.Second

var directoryOptions = controlgroup.DirectoryOptions{Limit: 12, AnnounceTTL: 5 * time.Second, ReportTTL: 10 * time.Second}

func testPeer(id replog.ReplicaID, machine int) controlgroup.Peer {
	return controlgroup.Peer{ID: id, Address: fmt.Sprintf("10.0.0.%d:7000", machine)}
}

// testDirectory returns the directory of voter 1 in a group of voters 1 to 3.
func testDirectory() *controlgroup.Directory {
	d := controlgroup.NewDirectory(directoryOptions, testPeer(1, 1), []controlgroup.Peer{testPeer(2, 2), testPeer(3, 3)})
	d.SetMembers(replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}})
	return d
}

func knownIDs(peers []controlgroup.Peer) []replog.ReplicaID {
	var ids []replog.ReplicaID
	for _, peer := range peers {
		ids = append(ids, peer.ID)
	}
	return ids
}

// Guards against ids of lost disks that fill the directory, until no new replica can join.
func TestReplacedReplicasAreForgotten(t *testing.T) {
	d, now := testDirectory(), time.Unix(0, 0)
	for id := replog.ReplicaID(100); id < 1100; id++ {
		now = now.Add(testAnnounceInterval)
		d.Forget(now)
		if result := d.Announce(now, testPeer(id, 4)); result != controlgroup.LearnChanged {
			t.Fatalf("replica %d: result %d", id, result)
		}
	}
	d.Forget(now.Add(testAnnounceInterval))
	if got, want := knownIDs(d.Peers()), []replog.ReplicaID{1, 2, 3, 1099}; !slices.Equal(got, want) {
		t.Errorf("known %v, want %v", got, want)
	}
}

// Guards against a stale answer that brings a replaced replica back.
func TestReportDoesNotBringBackAReplacedReplica(t *testing.T) {
	d, now := testDirectory(), time.Unix(0, 0)
	d.Announce(now, testPeer(100, 4))
	d.Announce(now.Add(testAnnounceInterval), testPeer(101, 4))
	d.Forget(now.Add(testAnnounceInterval))
	if d.Report(now.Add(2*testAnnounceInterval), testPeer(100, 4)); d.Address(100) != "" {
		t.Error("a report brought replica 100 back")
	}
	d.SetMembers(replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}, Learners: []replog.ReplicaID{100}})
	if d.Report(now.Add(2*testAnnounceInterval), testPeer(100, 4)); d.Address(100) == "" {
		t.Error("a member is not added from a report")
	}
}

// Guards against two replicas that keep a lost id alive by passing it on to each other.
func TestReportsOfEachOtherExpire(t *testing.T) {
	a, b, now := testDirectory(), testDirectory(), time.Unix(0, 0)
	a.Announce(now, testPeer(100, 4))
	for end := now.Add(60 * time.Second); now.Before(end); now = now.Add(testAnnounceInterval) {
		for _, exchange := range [][2]*controlgroup.Directory{{a, b}, {b, a}} {
			exchange[0].Forget(now)
			for _, peer := range exchange[1].Shared(now) {
				exchange[0].Report(now, peer)
			}
		}
	}
	if a.Address(100) != "" || b.Address(100) != "" {
		t.Error("replica 100 is still known after 60 s without an announcement")
	}
}

// Guards against a bound that leaves no room for a member or a new replica, and against forgetting a
// member that is silent.
func TestFullDirectoryTakesNewReplicas(t *testing.T) {
	d, now := testDirectory(), time.Unix(0, 0)
	for machine := 4; machine < 100; machine++ {
		now = now.Add(time.Millisecond)
		d.Announce(now, testPeer(replog.ReplicaID(machine), machine))
	}
	if known := d.Peers(); len(known) != directoryOptions.Limit || d.Address(99) == "" || d.Address(4) != "" {
		t.Errorf("known %v, want the %d newest with the members", knownIDs(known), directoryOptions.Limit)
	}
	d.SetMembers(replog.Membership{Voters: []replog.ReplicaID{1, 2, 3, 500, 99}})
	if result := d.Report(now, testPeer(500, 200)); result != controlgroup.LearnChanged {
		t.Errorf("member refused: result %d", result)
	}
	d.Forget(now.Add(time.Hour))
	if got, want := knownIDs(d.Peers()), []replog.ReplicaID{1, 2, 3, 99, 500}; !slices.Equal(got, want) {
		t.Errorf("known after an hour %v, want %v", got, want)
	}
}
