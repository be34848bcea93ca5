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
		if result := d.Announce(now, testPeer(id, 4), true); result != controlgroup.LearnChanged {
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
	d.Announce(now, testPeer(100, 4), true)
	d.Announce(now.Add(testAnnounceInterval), testPeer(101, 4), true)
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
	a.Announce(now, testPeer(100, 4), true)
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
		d.Announce(now, testPeer(replog.ReplicaID(machine), machine), true)
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

// Guards against a restarted replica that knows the ids of its members and none of their addresses.
func TestRecordedAddressesAreAdopted(t *testing.T) {
	d, now := controlgroup.NewDirectory(directoryOptions, testPeer(1, 1), nil), time.Unix(0, 0)
	recorded := []replog.MemberAddress{{ID: 1, Address: "another"}, {ID: 2, Address: "10.0.0.2:7000"}, {ID: 100, Address: "10.0.0.3:7000"}}
	m := replog.Membership{Voters: []replog.ReplicaID{1, 2, 100}, Addresses: recorded}
	if adopted := knownIDs(d.SetMembers(m)); !slices.Equal(adopted, []replog.ReplicaID{2, 100}) || d.Address(2) != "10.0.0.2:7000" || d.Address(100) != "10.0.0.3:7000" {
		t.Errorf("known %v after the membership was set", d.Peers())
	}
	if len(d.SetMembers(m)) > 0 || d.Address(1) != testPeer(1, 1).Address {
		t.Errorf("known %v after the same membership, want no change", d.Peers())
	}
	if shared := knownIDs(d.Shared(now)); !slices.Equal(shared, []replog.ReplicaID{1, 2, 100}) {
		t.Errorf("shared %v, want all members", shared)
	}

	// What a replica says of itself is newer than what the log says of it.
	d.Announce(now, testPeer(2, 7), true)
	if d.SetMembers(replog.Membership{Voters: m.Voters, Addresses: recorded[:2]}); d.Address(2) != testPeer(2, 7).Address {
		t.Errorf("address %s of replica 2, want the announced one", d.Address(2))
	}
	d.SetMembers(replog.Membership{Voters: []replog.ReplicaID{1, 2}, Addresses: recorded[:2]})
	if !d.Forget(now) || d.Address(100) != "" {
		t.Error("the address of a former member is kept")
	}
}

// Guards against the removal of a member whose recorded address a replica with a lost disk uses now
// going unnoticed after a restart.
func TestRecordedAddressOfAnotherReplicaIsReplaced(t *testing.T) {
	d, now := controlgroup.NewDirectory(directoryOptions, testPeer(1, 1), nil), time.Unix(0, 0)
	d.SetMembers(replog.Membership{Voters: []replog.ReplicaID{1, 2}, Addresses: []replog.MemberAddress{{ID: 2, Address: testPeer(2, 2).Address}}})
	if replaced := d.Replaced(); len(replaced) > 0 {
		t.Errorf("replaced %v before anyone has announced itself", replaced)
	}
	d.Announce(now, testPeer(100, 2), true)
	if replaced := d.Replaced(); !slices.Equal(replaced, []replog.ReplicaID{2}) {
		t.Errorf("replaced %v, want replica 2", replaced)
	}
}

// Guards against contacts that are taken for replicas of their own, and passed on as such.
func TestContactsHaveNoID(t *testing.T) {
	d, now := controlgroup.NewDirectory(directoryOptions, testPeer(1, 1), nil), time.Unix(0, 0)
	d.SetContacts([]string{testPeer(0, 3).Address, testPeer(0, 2).Address, testPeer(0, 1).Address})
	d.Announce(now, testPeer(2, 2), true)
	if got, want := d.AnnounceTo(), []string{testPeer(0, 2).Address, testPeer(0, 3).Address}; !slices.Equal(got, want) {
		t.Errorf("announces itself to %v, want %v", got, want)
	}
	if shared := knownIDs(d.Shared(now)); !slices.Equal(shared, []replog.ReplicaID{1, 2}) {
		t.Errorf("shared %v, want 1 and 2", shared)
	}
	d.SetContacts(nil)
	if got, want := d.AnnounceTo(), []string{testPeer(0, 2).Address}; !slices.Equal(got, want) {
		t.Errorf("announces itself to %v without contacts, want %v", got, want)
	}
}

// Guards against addresses that a member of an earlier version cannot decode, because it answers late
// or its answers were lost when the leader asked.
func TestMembersReadAddresses(t *testing.T) {
	d, now := testDirectory(), time.Unix(0, 0)
	d.Announce(now, testPeer(2, 2), true)
	d.Announce(now, testPeer(9, 9), false) // no member
	for name, c := range map[string]struct {
		responsive []replog.ReplicaID
		want       bool
	}{
		"only a member that reads addresses":     {[]replog.ReplicaID{2}, true},
		"a member that has not announced itself": {[]replog.ReplicaID{2, 3}, false},
		"a replica that is no member":            {[]replog.ReplicaID{2, 9}, true},
	} {
		if got := d.MembersReadAddresses(now, c.responsive); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	d.Announce(now, testPeer(3, 3), false)
	if d.MembersReadAddresses(now, []replog.ReplicaID{2}) {
		t.Error("member 3 has announced itself without reading addresses")
	}
	now = now.Add(directoryOptions.AnnounceTTL)
	if !d.MembersReadAddresses(now, []replog.ReplicaID{2}) {
		t.Error("member 3 is gone")
	}
}
