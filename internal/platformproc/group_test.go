package platformproc

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/inspect"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/replica"
	"github.com/godwitlink/godwitlink/internal/settings"
)

const (
	groupSize = 3
	seedCount = 3
	// groupTimeout fails a test that hangs. No test checks how long an operation takes.
	groupTimeout = 30 * time.Second
)

// testGroup is a group of control replicas, run by RunControl on loopback addresses.
type testGroup struct {
	t         *testing.T
	dir       string
	machines  int // that were added so far
	tolerated int // losses that the group bears
	members   []*testMember
	client    *controlclient.Client
}

type testMember struct {
	settings *ControlSettings
	log      *logBuffer
	stop     context.CancelFunc // begins a planned stop
	kill     context.CancelFunc
	ended    chan error
}

// logBuffer collects the process log of a replica.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// eventLines returns the log lines with the given event number.
func (b *logBuffer) eventLines(event int) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for line := range bytes.Lines(b.text.Bytes()) {
		var decoded map[string]any
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.UseNumber() // a float64 cannot represent replica ids exactly
		if decoder.Decode(&decoded) == nil && fmt.Sprint(decoded["event"]) == fmt.Sprint(event) {
			found = append(found, decoded)
		}
	}
	return found
}

func startTestGroup(t *testing.T) *testGroup { return startTestGroupOf(t, groupSize) }

// startTestGroupOf starts a group of the given size. The first seedCount members are its seeds.
func startTestGroupOf(t *testing.T, size int) *testGroup {
	g := &testGroup{t: t, dir: t.TempDir(), tolerated: (size - 1) / 2}
	for range size {
		g.newMember()
	}
	seeds := controlAddressesOf(g.members[:seedCount])
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{}
	g.client = controlclient.New(internalAddressesOf(g.members), "http", client, metrics.New())
	go g.client.Run(ctx)
	for i, m := range g.members {
		m.settings.Seeds, m.settings.Bootstrap = seeds, true
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.members {
			g.kill(i)
		}
		cancel()
		client.CloseIdleConnections()
		if t.Failed() {
			for _, m := range g.members {
				t.Logf("%s:\n%s", m.settings.Name, m.log.text.String())
			}
		}
	})
	return g
}

// newMember adds a machine with an empty disk and an address of its own. Its settings name no seeds.
func (g *testGroup) newMember() *testMember {
	g.machines++
	// The second octet separates this group from those of other test processes on this machine.
	ip := fmt.Sprintf("127.%d.9.%d", 1+os.Getpid()%250, g.machines)
	m := &testMember{log: &logBuffer{}, settings: &ControlSettings{
		Common:        settings.Common{Name: fmt.Sprint("control-", g.machines-1), Region: "r", FailureDomain: "z", LogLevel: "info"},
		ListenControl: ip + ":7001", ListenInternal: ip + ":7002", ListenMetrics: ip + ":7003",
		MemoryMB: 280, OpenFiles: 4096, TolerateReplicas: g.tolerated, DataDir: filepath.Join(g.dir, fmt.Sprint(g.machines-1)), DiskMB: 128,
		WorkerLeaseMax: 6 * time.Second,
	}}
	g.members = append(g.members, m)
	return m
}

func (g *testGroup) start(i int) {
	m := g.members[i]
	planned, stop := context.WithCancel(context.Background())
	ctx, kill := context.WithCancel(context.Background())
	m.stop, m.kill, m.ended = stop, kill, make(chan error, 1)
	go func() { m.ended <- RunControl(planned, ctx, m.settings, m.log) }()
}

// kill ends a replica without a planned stop and returns the error of RunControl.
func (g *testGroup) kill(i int) error {
	m := g.members[i]
	m.kill()
	err := <-m.ended
	m.ended <- err
	return err
}

// commit sends n commands with the given attempt number and returns how many of them the group had
// not seen before.
func (g *testGroup) commit(attempt, n int) int {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), groupTimeout)
	defer cancel()
	member := state.Member{Name: "entry-1", Incarnation: 1, Address: "127.0.0.1:1", Region: "r", FailureDomain: "z"}
	if result, err := g.client.Propose(ctx, state.Command{JoinMember: &state.JoinMember{Member: member}}); err != nil || result.Refusal != state.RefusalNone {
		g.t.Fatalf("join: %+v, error %v", result, err)
	}
	unseen := 0
	for i := range n {
		result, err := g.client.Propose(ctx, state.Command{BeginRequest: &state.BeginRequest{
			Key:   state.RequestKey{Service: "s", Team: "t", Key: fmt.Sprint("key-", i)},
			Entry: "entry-1", Incarnation: 1, Attempt: uint64(attempt), Retention: time.Hour,
		}})
		if err != nil || result.Request == nil {
			g.t.Fatalf("command %d: %+v, error %v", i, result, err)
		}
		if result.Request.Dispatch {
			unseen++
		}
	}
	return unseen
}

// await polls until done returns true. what describes the awaited condition in the failure message.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(groupTimeout); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s after %v", what, groupTimeout)
		}
	}
}

// id returns the replica id in node.toml.
func (m *testMember) id(t *testing.T) uint64 {
	t.Helper()
	known, err := readIdentity(m.settings.DataDir)
	if err != nil {
		t.Fatal(err)
	}
	return known.ID
}

// hasVoters reports whether a leader has logged a membership of exactly these voters, in any order,
// and no learners.
func (g *testGroup) hasVoters(voters []uint64) bool {
	var want []string
	for _, id := range voters {
		want = append(want, fmt.Sprint(id))
	}
	slices.Sort(want)
	for _, m := range g.members {
		for _, line := range m.log.eventLines(1403) {
			learners, _ := line["learners"].([]any)
			listed, _ := line["voters"].([]any)
			var got []string
			for _, id := range listed {
				got = append(got, fmt.Sprint(id))
			}
			slices.Sort(got)
			if slices.Equal(got, want) && len(learners) == 0 {
				return true
			}
		}
	}
	return false
}

// awaitVoters waits until a leader has changed the membership to these voters and the other replicas
// have stored that change. The leader logs the change when it proposes it: if it is killed before
// another replica has stored the change, the former membership applies.
func (g *testGroup) awaitVoters(voters []uint64) {
	g.t.Helper()
	await(g.t, fmt.Sprintf("voters %v", voters), func() bool { return g.hasVoters(voters) })
	var stored replog.Membership
	var err error
	defer func() {
		if g.t.Failed() {
			g.t.Logf("last membership read from a log: %+v, error %v", stored, err)
		}
	}()
	for _, m := range g.members {
		await(g.t, fmt.Sprintf("voters %v in the log of %s", voters, m.settings.Name), func() bool {
			stored, err = m.storedMembership(g.t)
			return err == nil && equalVoters(stored, voters)
		})
	}
}

// storedMembership returns the latest membership in the log of a replica. It reads a copy, because the
// replica has locked its folder. An error means that a file changed while it was copied, or that there
// is no membership yet.
func (m *testMember) storedMembership(t *testing.T) (replog.Membership, error) {
	t.Helper()
	known, err := readIdentity(m.settings.DataDir)
	if err != nil {
		return replog.Membership{}, err
	}
	folder := t.TempDir()
	defer os.RemoveAll(folder)
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(m.settings.DataDir, known.logFolderName()))); err != nil {
		return replog.Membership{}, err
	}
	var content bytes.Buffer
	if err := inspect.Print(&content, folder); err != nil {
		return replog.Membership{}, err
	}
	var decoded struct {
		Snapshot *struct{ Membership replog.Membership }
		Entries  []struct{ Membership *replog.Membership }
	}
	if err := json.Unmarshal(content.Bytes(), &decoded); err != nil {
		return replog.Membership{}, err
	}
	for _, entry := range slices.Backward(decoded.Entries) {
		if entry.Membership != nil {
			return *entry.Membership, nil
		}
	}
	if decoded.Snapshot != nil {
		return decoded.Snapshot.Membership, nil
	}
	return replog.Membership{}, errors.New("no membership in the log")
}

// equalVoters reports whether a membership has exactly these voters, in any order, and no learners.
func equalVoters(m replog.Membership, voters []uint64) bool {
	var got []uint64
	for _, id := range m.Voters {
		got = append(got, uint64(id))
	}
	slices.Sort(got)
	return slices.Equal(got, slices.Sorted(slices.Values(voters))) && len(m.Learners) == 0
}

// readFolder returns the contents of the files of a folder by their names.
func readFolder(t *testing.T, dir string) map[string]string {
	t.Helper()
	files := map[string]string{}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[entry.Name()] = string(data)
	}
	return files
}

func segmentsIn(t *testing.T, dir string) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, "segment-*.wal"))
	if err != nil || len(found) < 2 {
		t.Fatalf("segments %v, error %v; want two or more", found, err)
	}
	return found
}

func flipByte(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// post sends a message to the platform's interface of a replica and returns the status, or 0 without
// an answer.
func (m *testMember) post(t *testing.T, call, body string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), groupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.settings.ListenControl+"/godwitlink/"+call, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against replicas that reject the reports of workers after a restart until the operator sends
// its configuration again.
func TestReportsAreAcceptedAfterARestart(t *testing.T) {
	const report = `{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","capacity":{"cpu":1,"memMb":1,"gpu":0},"born":5}`
	g := startTestGroup(t)
	await(t, "configuration", func() bool {
		return g.members[0].post(t, "Config.Replace", `{"version":1,"routes":[],"services":[{"name":"s"}]}`) == http.StatusOK
	})
	for i := range g.members {
		g.kill(i)
	}
	for i := range g.members {
		g.start(i)
	}
	for i, m := range g.members {
		await(t, fmt.Sprint("report to replica ", i), func() bool {
			return m.post(t, fmt.Sprint("Instances.Heartbeat/i-", i), report) == http.StatusOK
		})
	}
}

// Guards against a replica that fails at every start after its data folder was damaged, and against
// a replica that continues under its former id although its log has lost entries or votes.
func TestDamagedReplicaIsReplaced(t *testing.T) {
	const commands = 150
	for name, c := range map[string]struct {
		damage func(t *testing.T, dataDir string)
		empty  bool // no damaged folder remains to be kept
	}{
		"flipped byte": {damage: func(t *testing.T, dir string) { flipByte(t, segmentsIn(t, filepath.Join(dir, "log"))[0]) }},
		"missing segment": {damage: func(t *testing.T, dir string) {
			if err := os.Remove(segmentsIn(t, filepath.Join(dir, "log"))[0]); err != nil {
				t.Fatal(err)
			}
		}},
		"log of another id": {damage: func(t *testing.T, dir string) { changeID(t, filepath.Join(dir, identityFile)) }},
		"unreadable node.toml": {damage: func(t *testing.T, dir string) {
			if err := os.WriteFile(filepath.Join(dir, identityFile), []byte("id = \x00"), 0o600); err != nil {
				t.Fatal(err)
			}
		}},
		"missing node.toml": {damage: func(t *testing.T, dir string) {
			if err := os.Remove(filepath.Join(dir, identityFile)); err != nil {
				t.Fatal(err)
			}
		}},
		"emptied folder": {empty: true, damage: func(t *testing.T, dir string) {
			for file := range readFolder(t, filepath.Join(dir, "log")) {
				if err := os.Remove(filepath.Join(dir, "log", file)); err != nil {
					t.Fatal(err)
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startTestGroup(t)
			if unseen := g.commit(1, commands); unseen != commands {
				t.Fatalf("%d of %d commands are new to the group, want all", unseen, commands)
			}
			const victim = 1
			m := g.members[victim]
			// A restart opens a second segment.
			g.kill(victim)
			g.start(victim)
			g.commit(2, commands)
			log := filepath.Join(m.settings.DataDir, "log")
			await(t, "second segment", func() bool {
				found, err := filepath.Glob(filepath.Join(log, "segment-*.wal"))
				return err == nil && len(found) >= 2
			})
			g.kill(victim)
			former := m.id(t)
			c.damage(t, m.settings.DataDir)
			before := readFolder(t, log)

			g.start(victim)
			if c.empty {
				// Only the group can tell the replica that its log is lost.
				if err := <-m.ended; !errors.Is(err, replica.ErrMustJoin) {
					t.Fatalf("error %v, want ErrMustJoin", err)
				}
				g.start(victim)
			}
			await(t, "start under another id", func() bool { return len(m.log.eventLines(1406)) > 0 })
			newID := m.id(t)
			if newID == former || newID < firstJoinedID {
				t.Errorf("replica id %d after former id %d, want a new id of a replica that joins", newID, former)
			}
			voters := []uint64{g.members[0].id(t), g.members[2].id(t), newID}
			g.awaitVoters(voters)

			// From here on a quorum consists of the new replica and one other.
			g.kill(0)
			if lost := g.commit(3, commands); lost != 0 {
				t.Errorf("%d acknowledged commands were lost", lost)
			}
			if c.empty {
				return
			}
			after := readFolder(t, log)
			for file, data := range before {
				if after[file] != data {
					t.Errorf("%s in the damaged folder has changed", file)
				}
			}
			if lines := m.log.eventLines(4308); len(lines) == 0 || lines[0]["folder"] != "log" || lines[0]["cause"] == "" {
				t.Errorf("events about the kept folder: %v", lines)
			}
			g.kill(victim)
			g.start(victim)
			await(t, "event about the kept folder at the next start", func() bool { return len(m.log.eventLines(4308)) >= 2 })
		})
	}
}

// changeID changes one bit of the replica id in node.toml.
func changeID(t *testing.T, file string) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.Index(data, []byte("id = ")) + len("id = ")
	data[at+3] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}
