package platformproc

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// add starts a control replica on a new machine. The given machines are the seeds of its settings.
func (g *testGroup) add(seeds ...*testMember) *testMember {
	m := g.newMember()
	m.settings.Seeds = controlAddressesOf(seeds)
	g.start(len(g.members) - 1)
	return m
}

// remove kills a process for good.
func (g *testGroup) remove(former *testMember) {
	g.kill(slices.Index(g.members, former))
	g.members = slices.DeleteFunc(g.members, func(m *testMember) bool { return m == former })
}

// replace removes a machine for good and waits until a new one, whose seeds are the machines that
// remain, has taken its place in the group.
func (g *testGroup) replace(former *testMember) *testMember {
	g.t.Helper()
	g.remove(former)
	added := g.add(slices.Clone(g.members)...)
	g.awaitOwnVoters()
	return added
}

// restartAll kills all processes of the group and starts them again. The given machines are the
// seeds of their settings then.
func (g *testGroup) restartAll(seeds ...*testMember) {
	for i := range g.members {
		g.kill(i)
	}
	for i, m := range g.members {
		m.settings.Seeds, m.settings.Bootstrap = controlAddressesOf(seeds), false
		g.start(i)
	}
}

// wipe kills a process, removes its disk and starts it again.
func (g *testGroup) wipe(m *testMember) {
	g.t.Helper()
	i := slices.Index(g.members, m)
	g.kill(i)
	if err := os.RemoveAll(m.settings.DataDir); err != nil {
		g.t.Fatal(err)
	}
	m.settings.Bootstrap = false
	g.start(i)
}

// awaitOwnVoters waits until the voters of the group are the members of the test group.
func (g *testGroup) awaitOwnVoters() {
	g.t.Helper()
	g.client.SetMembers(internalAddressesOf(g.members))
	await(g.t, "identity of each member", func() bool {
		return !slices.ContainsFunc(g.members, func(m *testMember) bool { _, err := readIdentity(m.settings.DataDir); return err != nil })
	})
	var voters []uint64
	for _, m := range g.members {
		voters = append(voters, m.id(g.t))
	}
	g.awaitVoters(voters)
}

// awaitAddresses waits until each member knows an address of each other member.
func (g *testGroup) awaitAddresses() {
	g.t.Helper()
	for _, m := range g.members {
		await(g.t, "addresses of all members at "+m.settings.Name, func() bool {
			return m.metric(g.t, "control_members_without_address") == "0"
		})
	}
}

// metric returns the value of a metric, or "" if the process does not answer or has not set it.
func (m *testMember) metric(t *testing.T, name string) string {
	t.Helper()
	client := &http.Client{}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + m.settings.ListenMetrics + "/metrics")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value
		}
	}
	return ""
}

func controlAddressesOf(members []*testMember) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.settings.ListenControl)
	}
	return addresses
}

func internalAddressesOf(members []*testMember) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.settings.ListenInternal)
	}
	return addresses
}

// Guards against members that no longer find each other after a restart, because the seeds in their
// settings share no address with those that they knew at their first start.
func TestMembersFindEachOtherWithOtherSeeds(t *testing.T) {
	g := startTestGroup(t)
	g.commit(1, 20)
	first := g.replace(g.members[1])
	second := g.replace(g.members[1])
	g.restartAll(first, second)
	g.awaitAddresses()

	// From here on the founder and the first machine are the only ones with the log.
	g.wipe(second)
	if unseen := g.commit(2, 20); unseen != 0 {
		t.Errorf("%d of 20 acknowledged commands are unknown to the group", unseen)
	}
}

var (
	addressesSeed = flag.Uint64("addresses.seed", 1, "first seed of TestMembersFindEachOther")
	addressesRuns = flag.Int("addresses.runs", 1, "number of runs of TestMembersFindEachOther for each size of the group, with consecutive seeds")
)

// Guards against a group whose members do not find each other after replacements, lost disks, other
// seeds and restarts, and which therefore does not bear the next loss.
func TestMembersFindEachOther(t *testing.T) {
	for _, size := range []int{3, 5} {
		for i := range *addressesRuns {
			seed := *addressesSeed + uint64(i)
			t.Run(fmt.Sprintf("%d members, seed %d", size, seed), func(t *testing.T) {
				r := &addressesRun{testGroup: startTestGroupOf(t, size), random: rand.New(rand.NewPCG(seed, uint64(size)))}
				r.machinesEver = slices.Clone(r.members)
				r.execute()
			})
		}
	}
}

// addressesRun is a randomized run. At no time more members are lost than the group bears, apart from
// the restart of all, which keeps the disks.
type addressesRun struct {
	*testGroup
	random       *rand.Rand
	machinesEver []*testMember // former machines included
	commits      int
}

const (
	addressesRounds   = 3
	addressesCommands = 20
)

func (r *addressesRun) execute() {
	if len(r.members) > seedCount {
		r.awaitOwnVoters() // the seeds found the group, the others join it
	}
	r.checkCommands()
	for range addressesRounds {
		for range 1 + r.random.IntN(3) {
			r.loseMachines()
		}
		r.restartWithOtherSeeds()
		r.awaitAddresses()
		// The loss that follows shows whether the members reach each other.
		r.wipeSome()
		r.awaitOwnVoters()
		r.checkCommands()
	}
}

func (r *addressesRun) loseMachines() {
	victim := r.members[r.random.IntN(len(r.members))]
	switch r.random.IntN(4) {
	case 0:
		r.logf("%s is removed, another machine is added", victim.settings.Name)
		r.remove(victim)
		r.addWithSeeds()
	case 1:
		r.logf("a machine is added, %s is stopped as planned", victim.settings.Name)
		r.addWithSeeds(victim)
		victim.stop()
		victim.ended <- <-victim.ended
		r.remove(victim)
	case 2:
		r.wipeSome()
	case 3:
		if r.tolerated < 2 {
			return
		}
		r.logf("%s is down while another machine is replaced", victim.settings.Name)
		r.remove(victim) // until it starts again below
		r.remove(r.members[r.random.IntN(len(r.members))])
		r.addWithSeeds()
		await(r.t, "the permission to join", func() bool { return r.members[len(r.members)-1].hasJoined() })
		r.members = append(r.members, victim)
		victim.settings.Bootstrap = false
		r.start(len(r.members) - 1)
	}
	r.awaitOwnVoters()
}

// addWithSeeds adds a machine with one seed that is a member and others that may be gone. The given
// members are about to leave.
func (r *addressesRun) addWithSeeds(leaving ...*testMember) {
	seeds := r.anyMachines(seedCount - 1)
	staying := without(r.members, leaving)
	seeds = append(seeds, staying[r.random.IntN(len(staying))])
	r.machinesEver = append(r.machinesEver, r.add(seeds...))
}

// wipeSome removes as many disks at the same time as the group bears.
func (r *addressesRun) wipeSome() {
	for _, i := range r.random.Perm(len(r.members))[:r.tolerated] {
		r.logf("%s loses its disk", r.members[i].settings.Name)
		r.wipe(r.members[i])
	}
}

// restartWithOtherSeeds kills all processes. The seeds of their settings are the newest machines, or
// former ones, or differ for each process.
func (r *addressesRun) restartWithOtherSeeds() {
	for i := range r.members {
		r.kill(i)
	}
	former := without(r.machinesEver, r.members)
	choice := r.random.IntN(3)
	for i, m := range r.members {
		seeds := r.anyMachines(seedCount)
		switch {
		case choice == 0:
			seeds = r.machinesEver[len(r.machinesEver)-seedCount:]
		case choice == 1 && len(former) > 0:
			seeds = former[max(0, len(former)-seedCount):]
		}
		m.settings.Seeds, m.settings.Bootstrap = controlAddressesOf(seeds), false
		r.logf("%s starts with the seeds %v", m.settings.Name, m.settings.Seeds)
		r.start(i)
	}
}

func without(all, excluded []*testMember) []*testMember {
	return slices.DeleteFunc(slices.Clone(all), func(m *testMember) bool { return slices.Contains(excluded, m) })
}

// anyMachines returns n machines, former ones included.
func (r *addressesRun) anyMachines(n int) []*testMember {
	var chosen []*testMember
	for _, i := range r.random.Perm(len(r.machinesEver))[:n] {
		chosen = append(chosen, r.machinesEver[i])
	}
	return chosen
}

// checkCommands checks that the group knows the commands that it acknowledged.
func (r *addressesRun) checkCommands() {
	r.t.Helper()
	want := 0
	if r.commits++; r.commits == 1 {
		want = addressesCommands
	}
	if unseen := r.commit(r.commits, addressesCommands); unseen != want {
		r.t.Fatalf("%d of %d commands are new to the group, want %d", unseen, addressesCommands, want)
	}
}

func (r *addressesRun) logf(format string, args ...any) {
	r.t.Logf(time.Now().UTC().Format("15:04:05.000 ")+format, args...)
}
