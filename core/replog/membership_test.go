package replog_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

type ids = []replog.ReplicaID

func TestMembershipEncoding(t *testing.T) {
	address := replog.MemberAddress{ID: 1 << 40, Address: "10.0.0.4:7000"}
	for name, m := range map[string]replog.Membership{
		"empty":             {},
		"without addresses": {Voters: ids{1, 2, 3}, Learners: ids{1 << 40}},
		"one address":       {Voters: ids{1, 2, 3}, Learners: ids{1 << 40}, Addresses: []replog.MemberAddress{address}},
		"all addresses":     {Voters: ids{7, 1 << 40}, Addresses: []replog.MemberAddress{{ID: 7, Address: strings.Repeat("a", replog.MaxAddressBytes)}, address}},
	} {
		if got, err := replog.DecodeMembership(replog.EncodeMembership(m)); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%s: decoded %+v, error %v", name, got, err)
		}
	}
}

// Guards against a log that versions without addresses cannot read although no address is recorded.
func TestMembershipWithoutAddressesKeepsItsEncoding(t *testing.T) {
	got := replog.EncodeMembership(replog.Membership{Voters: ids{1, 2}, Learners: ids{300}})
	if want := []byte{2, 1, 2, 1, 0xac, 0x02}; !reflect.DeepEqual(got, want) {
		t.Errorf("encoded %v, want %v", got, want)
	}
}

func TestMalformedMembershipIsRejected(t *testing.T) {
	for name, data := range map[string][]byte{
		"no data":              {},
		"voters missing":       {3, 1},
		"id 0":                 {1, 0, 0},
		"no addresses counted": {1, 1, 0, 0},
		"address cut off":      {1, 1, 0, 1, 1, 3, 'a'},
		"empty address":        {1, 1, 0, 1, 1, 0},
		"address of another":   {1, 1, 0, 1, 2, 1, 'a'},
		"two addresses":        {1, 1, 0, 2, 1, 1, 'a', 1, 1, 'b'},
		"bytes left over":      {1, 1, 0, 1, 1, 1, 'a', 9},
	} {
		if m, err := replog.DecodeMembership(data); !errors.Is(err, replog.ErrMalformedMembership) {
			t.Errorf("%s: decoded %+v, error %v", name, m, err)
		}
	}
}

func FuzzDecodeMembership(f *testing.F) {
	f.Add(replog.EncodeMembership(replog.Membership{Voters: ids{1, 2}, Learners: ids{3}, Addresses: []replog.MemberAddress{{ID: 2, Address: "a"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := replog.DecodeMembership(data)
		if err != nil {
			return
		}
		if again, err := replog.DecodeMembership(replog.EncodeMembership(m)); err != nil || !reflect.DeepEqual(again, m) {
			t.Errorf("%+v encoded and decoded: %+v, error %v", m, again, err)
		}
	})
}

// Guards against addresses that are gone after a restart, with the log and with a snapshot alone.
func TestAddressesSurviveARestart(t *testing.T) {
	now := time.Unix(0, 0)
	cfg := testConfig
	cfg.ID, cfg.Membership = 1, replog.Membership{Voters: ids{1}}
	core, err := replog.New(cfg, now)
	if err != nil {
		t.Fatal(err)
	}
	var hardState replog.HardState
	var entries []replog.Entry
	step := func() {
		now = now.Add(time.Second)
		core.Tick(now)
		for effects := core.Effects(); !effects.Empty(); effects = core.Effects() {
			if effects.HardState != nil {
				hardState = *effects.HardState
			}
			entries = append(entries, effects.Entries...)
			core.Persisted(now, effects.Mark)
		}
	}
	step()
	step()
	next := replog.Membership{Voters: ids{1}, Addresses: []replog.MemberAddress{{ID: 1, Address: "10.0.0.1:7000"}}}
	if err := core.ChangeMembership(now, next); err != nil {
		t.Fatal(err)
	}
	step()
	if err := core.ChangeMembership(now, next); !errors.Is(err, replog.ErrInvalidChange) {
		t.Errorf("membership proposed that is in force: error %v", err)
	}
	snapshot, err := core.SnapshotAt(core.Status().Applied)
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*replog.Config){
		"log":      func(c *replog.Config) { c.Entries = entries },
		"snapshot": func(c *replog.Config) { c.Snapshot = &snapshot },
	} {
		restarted := cfg
		restarted.HardState = hardState
		change(&restarted)
		again, err := replog.New(restarted, now)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := again.Status().Membership; !got.Equal(next) {
			t.Errorf("%s: membership %+v after the restart, want %+v", name, got, next)
		}
	}
}

// Guards against an address of a replica that is no member, which nothing would ever remove.
func TestAddressOfANonMemberIsRejected(t *testing.T) {
	sim, _ := newTestGroup(t, 0, map[replog.MessageType]int{})
	sim.Leader().Do(func(c *replog.Core, now time.Time) {
		for _, addresses := range [][]replog.MemberAddress{
			{{ID: 9, Address: "a"}}, {{ID: 1, Address: ""}}, {{ID: 1, Address: "a"}, {ID: 1, Address: "b"}}, {{ID: 1, Address: strings.Repeat("a", replog.MaxAddressBytes+1)}},
		} {
			if err := c.ChangeMembership(now, replog.Membership{Voters: ids{1, 2, 3}, Addresses: addresses}); !errors.Is(err, replog.ErrInvalidChange) {
				t.Errorf("addresses %v: error %v", addresses, err)
			}
		}
	})
}
