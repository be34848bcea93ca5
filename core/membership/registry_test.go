package membership

import (
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTestRegistry() *Registry {
	r := NewRegistry("entry-1", 1)
	r.SetLeases(map[cell.Service]time.Duration{"turnos": 2 * time.Second})
	return r
}

func announcement(incarnation cell.Incarnation, sequence uint64, leaving bool) Announcement {
	return Announcement{
		Backend: "b", Incarnation: incarnation, Sequence: sequence, Service: "turnos",
		Address: "127.0.0.1:1", Region: "r", FailureDomain: "d", Slots: 1, Connections: 1, Leaving: leaving,
	}
}

// Guards against messages that arrive out of order. An announcement of an older incarnation, with
// an older sequence, or after a leave must have no effect.
func TestOrderOfAnnouncements(t *testing.T) {
	cases := []struct {
		name        string
		known, next TimedAnnouncement
		want        bool
	}{
		{"larger sequence", TimedAnnouncement{announcement(1, 1, false), at(0)}, TimedAnnouncement{announcement(1, 2, false), at(0)}, true},
		{"smaller sequence, later time", TimedAnnouncement{announcement(1, 2, false), at(0)}, TimedAnnouncement{announcement(1, 1, false), at(9)}, false},
		{"same announcement, later time", TimedAnnouncement{announcement(1, 2, false), at(0)}, TimedAnnouncement{announcement(1, 2, false), at(1)}, true},
		{"same announcement, earlier time", TimedAnnouncement{announcement(1, 2, false), at(1)}, TimedAnnouncement{announcement(1, 2, false), at(0)}, false},
		{"old incarnation", TimedAnnouncement{announcement(2, 1, false), at(0)}, TimedAnnouncement{announcement(1, 9, false), at(9)}, false},
		{"leave of an old incarnation", TimedAnnouncement{announcement(2, 1, false), at(0)}, TimedAnnouncement{announcement(1, 9, true), at(9)}, false},
		{"new incarnation", TimedAnnouncement{announcement(1, 9, true), at(9)}, TimedAnnouncement{announcement(2, 1, false), at(0)}, true},
		{"after a leave", TimedAnnouncement{announcement(1, 5, true), at(0)}, TimedAnnouncement{announcement(1, 6, false), at(9)}, false},
		{"delayed leave", TimedAnnouncement{announcement(1, 6, false), at(9)}, TimedAnnouncement{announcement(1, 5, true), at(0)}, true},
	}
	for _, c := range cases {
		if got := c.next.supersedes(c.known); got != c.want {
			t.Errorf("%s: supersedes = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against ages that depend on network delays. An announcement is as old as its token, a
// pulled announcement as old as stated plus the time since the pull was sent, and tokens of other
// entry processes or incarnations are rejected.
func TestAges(t *testing.T) {
	r := newTestRegistry()
	token := r.Receive(at(0), announcement(1, 1, false), "entry-1.0.1").Token
	if got := r.Receive(at(1), announcement(1, 2, false), "entry-2.1.1"); got.Verdict != VerdictNeedsToken {
		t.Errorf("token of another entry process: verdict %s, want needs-token", got.Verdict)
	}
	r.Receive(at(1500), announcement(1, 3, false), token)
	if s, _ := r.Latest("b"); !s.EarliestTime.Equal(at(0)) {
		t.Errorf("earliest time of the delayed announcement is %v, want 0s, the time of its token", s.EarliestTime.Sub(start))
	}
	r.ReceivePulled(at(2000), at(1800), AgedAnnouncement{Announcement: announcement(1, 4, false), Age: 300 * time.Millisecond})
	if s, _ := r.Latest("b"); !s.EarliestTime.Equal(at(1500)) {
		t.Errorf("earliest time of the pulled announcement is %v, want 1.5s", s.EarliestTime.Sub(start))
	}
	if r.ReceivePulled(at(2000), at(2000), AgedAnnouncement{Announcement: announcement(1, 5, false), Age: -time.Second}) {
		t.Error("announcement with a negative age accepted")
	}
}

// Guards against a pull that misses an announcement or returns announcements which were themselves
// pulled, and against records that are never removed.
func TestSinceAndExpiry(t *testing.T) {
	r := newTestRegistry()
	token := r.Receive(at(0), announcement(1, 1, false), "").Token
	r.Receive(at(10), announcement(1, 2, false), token)
	items, cursor := r.Since(at(20), 0, 10)
	if len(items) != 1 || items[0].Sequence != 2 || cursor != 1 {
		t.Errorf("first pull: %+v, cursor %d", items, cursor)
	}
	r.ReceivePulled(at(30), at(30), AgedAnnouncement{Announcement: announcement(1, 7, false)})
	if items, cursor = r.Since(at(40), cursor, 10); len(items) != 0 || cursor != 1 {
		t.Errorf("second pull: %+v, cursor %d", items, cursor)
	}
	if got := r.Receive(at(50), Announcement{Backend: "x", Service: "other"}, ""); got.Verdict != VerdictUnknownService {
		t.Errorf("unknown service: verdict %s", got.Verdict)
	}
	r.Expire(at(5000))
	if _, ok := r.Latest("b"); !ok {
		t.Error("record removed while a delayed message could still refer to it")
	}
	r.Expire(at(7000))
	if _, ok := r.Latest("b"); ok {
		t.Error("record not removed after the retention time")
	}
}

// Guards against cursors that are used with another incarnation of a peer, for which they are
// meaningless.
func TestPeerCursors(t *testing.T) {
	p := NewPeers("entry-1")
	p.Set([]state.Member{{Name: "entry-1"}, {Name: "entry-2", Incarnation: 5}})
	p.Advance("entry-2", 5, 40)
	p.Advance("entry-2", 4, 90)
	p.Set([]state.Member{{Name: "entry-2", Incarnation: 4, Address: "old"}})
	if members := p.Members(); len(members) != 1 || members[0].Incarnation != 5 {
		t.Errorf("members %+v", members)
	}
	if incarnation, cursor := p.Cursor("entry-2"); incarnation != 5 || cursor != 40 {
		t.Errorf("cursor %d of incarnation %d", cursor, incarnation)
	}
	p.Advance("entry-2", 6, 1)
	if incarnation, cursor := p.Cursor("entry-2"); incarnation != 6 || cursor != 1 {
		t.Errorf("after a restart: cursor %d of incarnation %d", cursor, incarnation)
	}
}
