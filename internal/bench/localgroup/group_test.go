package localgroup

import (
	"net"
	"testing"
	"time"
)

// dialTimeout stops a test that hangs. It is no requirement on the replica.
const dialTimeout = 5 * time.Second

// killRestartCycles is enough for at least one kill to happen before the server calls Serve.
const killRestartCycles = 100

func startGroup(t *testing.T, size int) *Group {
	t.Helper()
	group, err := Start(Options{Folder: t.TempDir(), Size: size})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := group.Close(); err != nil {
			t.Errorf("close: %v", err)
		}
	})
	return group
}

// connectFrom opens a connection from a port of 127.0.0.1, as if the kernel had chosen this source
// port for an outgoing connection of any process.
func connectFrom(t *testing.T, port int) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}}
	connection, err := dialer.Dial("tcp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
}

// Guards against a replica that cannot listen again after a restart, because an outgoing connection
// took its port as source port while the replica was down.
func TestRestartWhileItsPortIsASourcePort(t *testing.T) {
	group := startGroup(t, 1)
	joined, err := group.Join()
	if err != nil {
		t.Fatal(err)
	}
	connected := map[int]bool{}
	for _, i := range []int{0, joined} {
		if err := group.Kill(i); err != nil {
			t.Fatal(err)
		}
		address, err := net.ResolveTCPAddr("tcp", group.Address(i))
		if err != nil {
			t.Fatal(err)
		}
		if !connected[address.Port] {
			connectFrom(t, address.Port)
			connected[address.Port] = true
		}
		if err := group.Restart(i); err != nil {
			t.Errorf("restart of replica %d: %v", i+1, err)
		}
	}
}

// Guards against an error of a second Close. A test that closes its group early closes it again in
// its cleanup.
func TestCloseTwice(t *testing.T) {
	group := startGroup(t, 1)
	if err := group.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a replica that still listens after it was killed directly after its start, so that
// it cannot be restarted.
func TestKillRightAfterStartClosesTheListener(t *testing.T) {
	group := startGroup(t, 1)
	for range killRestartCycles {
		if err := group.Kill(0); err != nil {
			t.Fatal(err)
		}
		if err := group.Restart(0); err != nil {
			t.Fatal(err)
		}
	}
}
