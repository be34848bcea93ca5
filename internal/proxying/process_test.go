package proxying

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// proxyProcessVariable makes the test program run as a call proxy, so that its processor time is not
// counted as that of the leader.
const proxyProcessVariable = "GODWIT_TEST_CALL_PROXY"

func TestMain(m *testing.M) {
	if os.Getenv(proxyProcessVariable) != "" {
		runProxyProcess()
		return
	}
	os.Exit(m.Run())
}

// runProxyProcess serves as a call proxy until the standard input is closed. It prints its address, and after
// each line of input the number of starts that it has sent.
func runProxyProcess() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	address := listener.Addr().String()
	workers := &fakeWorkers{holdTime: 900 * time.Millisecond}
	p := NewProxy(ProxyOptions{
		SelfAddress: address, Workers: workers, Logger: eventlog.Nop(), Metrics: metrics.New(),
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	})
	go p.Run(context.Background())
	go func() { panic(http.Serve(listener, p)) }()
	fmt.Println(address)
	for input := bufio.NewScanner(os.Stdin); input.Scan(); {
		fmt.Println(workers.starts.Load())
	}
}

// proxyProcess is a call proxy in a process of its own.
type proxyProcess struct {
	address string
	process *os.Process
	in      io.Writer
	out     io.Reader
}

// starts returns the number of starts that the process has sent.
func (p *proxyProcess) starts(t testing.TB) (count int) {
	t.Helper()
	if _, err := fmt.Fprintln(p.in); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fscanln(p.out, &count); err != nil {
		t.Fatal(err)
	}
	return count
}

func startProxyProcess(t testing.TB) *proxyProcess {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), proxyProcessVariable+"=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.Close()
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
	})
	p := &proxyProcess{process: cmd.Process, in: in, out: out}
	if _, err := fmt.Fscanln(out, &p.address); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a proxy that sends, when its process runs again, the calls that have arrived while it was
// stopped past the leader's lease (platform rule TWICE).
func TestFrozenProxySendsNothingAfterTheLease(t *testing.T) {
	const leaseLeft = 200 * time.Millisecond
	g := startGroup(t, 0)
	p := startProxyProcess(t)
	g.workers = 700
	g.leader.SetMembers(t.Context(), []string{g.address, p.address})
	g.awaitUsed(1)
	before := p.starts(t)
	if err := p.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	g.send(50, leaseLeft)
	time.Sleep(2 * leaseLeft)
	if err := p.process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	// A result may be that the leader has given the call up.
	got := g.collect(150)
	if got["start-not-permitted"]+got["start-no-answer"] != 50 {
		t.Errorf("results %v, want no start to be sent", got)
	}
	if after := p.starts(t); after != before {
		t.Errorf("%d starts were sent", after-before)
	}
}
