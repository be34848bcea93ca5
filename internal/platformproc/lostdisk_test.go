package platformproc

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/replica"
)

// Guards against a replica without a log that waits forever for the founders, which have received
// other ids in the meantime, so that the group never reaches its full size again.
func TestLostLogAfterReplacements(t *testing.T) {
	for name, lose := range map[string]func(s *ControlSettings) error{
		// The platform restarts a machine whose disk was lost with bootstrap set to false.
		"lost disk": func(s *ControlSettings) error { s.Bootstrap = false; return os.RemoveAll(s.DataDir) },
		"lost log":  func(s *ControlSettings) error { return os.RemoveAll(filepath.Join(s.DataDir, "log")) },
	} {
		t.Run(name, func(t *testing.T) {
			g := startTestGroup(t)
			g.commit(1, 50)
			for victim := range 2 {
				damageAndReplace(t, g, victim)
			}
			const lost = 2
			m := g.members[lost]
			g.kill(lost)
			if err := lose(m.settings); err != nil {
				t.Fatal(err)
			}
			before := len(m.log.eventLines(1406))
			g.start(lost)
			for end := time.Now().Add(groupTimeout); len(m.log.eventLines(1406)) == before; {
				select {
				case err := <-m.ended:
					if !errors.Is(err, replica.ErrMustJoin) {
						t.Fatal(err)
					}
					g.start(lost)
				case <-time.After(20 * time.Millisecond):
				}
				if time.Now().After(end) {
					t.Fatalf("the replica has not joined after %v; its id is %d", groupTimeout, m.id(t))
				}
			}
		})
	}
}

// damageAndReplace damages the log of a replica and waits until a replica with a new id has
// replaced it.
func damageAndReplace(t *testing.T, g *testGroup, victim int) {
	t.Helper()
	m := g.members[victim]
	g.kill(victim)
	g.start(victim)
	g.commit(2, 50)
	g.kill(victim)
	found, err := filepath.Glob(filepath.Join(m.settings.DataDir, "log", "segment-*.wal"))
	if err != nil || len(found) == 0 {
		t.Fatalf("segments %v, error %v", found, err)
	}
	flipByte(t, found[0])
	g.start(victim)
	await(t, "start under another id", func() bool { return len(m.log.eventLines(1406)) > 0 })
	voters := []uint64{g.members[0].id(t), g.members[1].id(t), g.members[2].id(t)}
	g.awaitVoters(voters)
}

// Guards against a group that never forms because a founder lost its disk before the others had
// heard from it: the others wait for its former id, and the founder waits for a leader.
func TestFounderLostBeforeFormation(t *testing.T) {
	g := startTestGroup(t)
	const lost = 2
	m := g.members[lost]
	g.kill(lost)
	if err := os.RemoveAll(m.settings.DataDir); err != nil {
		t.Fatal(err)
	}
	m.settings.Bootstrap = false
	g.start(lost)
	await(t, "leader", func() bool {
		return slices.ContainsFunc(g.members, func(m *testMember) bool { return len(m.log.eventLines(1205)) > 0 })
	})
}
