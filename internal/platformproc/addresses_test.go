package platformproc

import (
	"bufio"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
)

// add starts a control replica on a new machine. The given machines are the seeds of its settings.
func (g *testGroup) add(seeds ...*testMember) *testMember {
	m := g.newMember()
	m.settings.Seeds = controlAddressesOf(seeds)
	g.start(len(g.members) - 1)
	return m
}

// replace removes a machine for good and waits until a new one, whose seeds are the machines that
// remain, has taken its place in the group.
func (g *testGroup) replace(former *testMember) *testMember {
	g.t.Helper()
	g.kill(slices.Index(g.members, former))
	g.members = slices.DeleteFunc(g.members, func(m *testMember) bool { return m == former })
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
