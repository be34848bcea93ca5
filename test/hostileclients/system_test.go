package hostileclients

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Limits in the settings of the processes. memoryMB is the least that the settings accept.
const (
	memoryMB  = 96
	openFiles = 2048
)

const (
	portControl  = 7001
	portInternal = 7002
	portMetrics  = 7003
	portClients  = 7004
	portReady    = 7005
)

// answerTimeout fails a test whose process hangs. No test checks how long an answer takes.
const answerTimeout = 60 * time.Second

// process is a program of the system.
type process struct {
	name, ip, logFile string
	cmd               *exec.Cmd
	exited            chan struct{}
	stopSampling      chan struct{}
	sampling          sync.WaitGroup
	maxDescriptors    int // written by the sampling goroutine, as are the next two
	maxMemoryKB       int // resident memory, and bytes that have arrived and are not read
	maxUnreadKB       int
}

// system is a control process, which is a group of its own, and an entry process.
type system struct {
	t              *testing.T
	dir            string
	control, entry *process
}

var (
	buildOnce  sync.Once
	programDir string
	buildErr   error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if programDir != "" {
		_ = os.RemoveAll(programDir) // a temporary folder
	}
	os.Exit(code)
}

// programs builds the programs once, without the race detector, whose memory would be measured.
func programs(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		if programDir, buildErr = os.MkdirTemp("", "hostileclients"); buildErr != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", programDir, "../../cmd/godwit-platform-control", "../../cmd/godwit-platform-entry", "../../cmd/godwit-entry").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return programDir
}

// loopbackIP returns the address of a process. The second octet is derived from the id of the test
// process, so that test processes running at the same time use different addresses.
func loopbackIP(number int) string {
	return fmt.Sprintf("127.%d.90.%d", 1+os.Getpid()%250, number)
}

// startSystem starts both processes and waits until a job is accepted.
func startSystem(t *testing.T) *system {
	s := &system{t: t, dir: t.TempDir()}
	s.control = &process{name: "control", ip: loopbackIP(1)}
	s.entry = &process{name: "entry", ip: loopbackIP(2)}
	common := func(p *process) string {
		return fmt.Sprintf(`name = %q
region = "r"
failure_domain = "z"
log_level = "info"
listen_internal = "%s:%d"
listen_metrics = "%s:%d"
memory_mb = %d
open_files = %d
seeds = ["%s:%d"]
adviser = ""
`, p.name, p.ip, portInternal, p.ip, portMetrics, memoryMB, openFiles, s.control.ip, portControl)
	}
	t.Cleanup(s.stop)
	s.start(s.control, "godwit-platform-control", common(s.control)+fmt.Sprintf(`listen_control = "%s:%d"
tolerate_replicas = 0
data_dir = %q
disk_mb = 128
worker_lease_max = "6s"
bootstrap = true
`, s.control.ip, portControl, filepath.Join(s.dir, "data")))
	s.start(s.entry, "godwit-platform-entry", common(s.entry)+fmt.Sprintf(`listen_clients = "%s:%d"
listen_ready = "%s:%d"
stop_grace = "3s"
`, s.entry.ip, portClients, s.entry.ip, portReady))
	s.configure(1, "")
	s.expectJobAccepted()
	return s
}

func (s *system) start(p *process, program, settings string) {
	s.t.Helper()
	file := filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.logFile = filepath.Join(s.dir, p.name+".log")
	log, err := os.Create(p.logFile)
	if err != nil {
		s.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(programs(s.t), program), "run", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process must not outlive a test that is killed. It has a session of its own: the kernel sends SIGHUP
	// to the stopped processes of a process group whose shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: true}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p.exited, p.stopSampling = make(chan struct{}), make(chan struct{})
	go func() {
		// The log of the process shows why it ended.
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	p.sampling.Go(p.sample)
}

// sampleInterval is short against the time for which the connections of a crowd stay open.
const sampleInterval = 20 * time.Millisecond

func (p *process) sample() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopSampling:
			return
		case <-ticker.C:
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.maxDescriptors = max(p.maxDescriptors, len(entries))
		}
		resident, err := memoryKB(p.cmd.Process.Pid, "VmRSS:")
		if err != nil {
			continue // it has ended
		}
		unread, err := unreadKB(p.ip)
		if err != nil {
			continue
		}
		p.maxUnreadKB = max(p.maxUnreadKB, unread)
		p.maxMemoryKB = max(p.maxMemoryKB, resident+unread)
	}
}

// unreadKB returns the bytes in the receive queues of all sockets at an address, which the platform counts as
// memory of the process there.
func unreadKB(ip string) (int, error) {
	address := net.ParseIP(ip).To4()
	// The kernel prints the address as a number of the machine, which is little-endian on all that we support.
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", address[3], address[2], address[1], address[0])
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		// sl local_address rem_address st tx_queue:rx_queue ...
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasPrefix(fields[1], prefix) || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += bytes
	}
	return int(total >> 10), nil
}

// stateListen is the state of a listening socket, whose receive queue has connections and not bytes.
const stateListen = "0A"

// stop kills both processes, and shows the end of their logs if the test has failed.
func (s *system) stop() {
	for _, p := range []*process{s.entry, s.control} {
		if p == nil || p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.exited
		if s.t.Failed() {
			s.t.Logf("--- last log lines of %s\n%s", p.name, logTail(p.logFile))
		}
	}
}

// logTailLines is the number of lines of a process log that a failed test shows.
const logTailLines = 8

func logTail(file string) string {
	content, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(lines[max(0, len(lines)-logTailLines):], "\n")
}

// checkBounds checks that the process runs, and that its memory, with the bytes that have arrived and are not
// read, and its descriptors never passed the limits of its settings.
func (s *system) checkBounds(p *process) {
	s.t.Helper()
	close(p.stopSampling)
	p.sampling.Wait()
	select {
	case <-p.exited:
		s.t.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
		return
	default:
	}
	peak, err := peakMemoryKB(p.cmd.Process.Pid)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Logf("%s: peak memory %d kB, %d kB with bytes that are not read (%d kB), at most %d descriptors", p.name, peak, p.maxMemoryKB, p.maxUnreadKB, p.maxDescriptors)
	peak = max(peak, p.maxMemoryKB)
	if peak > memoryMB<<10 {
		s.t.Errorf("%s used %d kB of memory, its limit is %d kB", p.name, peak, memoryMB<<10)
	}
	if p.maxDescriptors > openFiles {
		s.t.Errorf("%s had %d descriptors open, its limit is %d", p.name, p.maxDescriptors, openFiles)
	}
}

// peakMemoryKB returns the peak resident memory of a process.
func peakMemoryKB(pid int) (int, error) { return memoryKB(pid, "VmHWM:") }

// memoryKB returns a figure of the status of a process.
func memoryKB(pid int, name string) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(status), name)
	line, _, _ := strings.Cut(after, "\n")
	return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")))
}

func (s *system) controlAddress() string  { return fmt.Sprintf("%s:%d", s.control.ip, portControl) }
func (s *system) internalAddress() string { return fmt.Sprintf("%s:%d", s.control.ip, portInternal) }
func (s *system) clientsAddress() string  { return fmt.Sprintf("%s:%d", s.entry.ip, portClients) }

// Path and host of the only queue.
const (
	queueHost = "h"
	queuePath = "/q/"
)

// platformLimits are those of the platform's configurations.
const platformLimits = `{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`

// configure puts a configuration in force. padding makes its document larger.
func (s *system) configure(version int, padding string) {
	s.t.Helper()
	s.configureLimits(version, platformLimits, padding)
}

func (s *system) configureLimits(version int, limits, padding string) {
	s.t.Helper()
	body := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":%q,"pathPrefix":%q,"timeoutMs":30000,"targetLatencyMs":400,"priority":0,"service":"s","maxAttempts":3,"slackFactor":1.5}],
"services":[{"name":"s"}],
"limits":%s,"note":%q}`,
		version, queueHost, queuePath, limits, padding)
	s.expectAnswer(http.MethodPost, "http://"+s.controlAddress()+"/godwitlink/Config.Replace", "", func() string { return body })
}

// expectJobAccepted sends jobs to the entry process until one is accepted.
func (s *system) expectJobAccepted() {
	s.t.Helper()
	number := time.Now().UnixNano()
	s.expectAnswer(http.MethodPost, fmt.Sprintf("http://%s%s%016x", s.clientsAddress(), queuePath, number), queueHost, func() string {
		return `{"spec":"x","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":100}]}`
	})
}

// expectConfigRead reads the configuration from the control process until it is answered.
func (s *system) expectConfigRead() {
	s.t.Helper()
	s.expectAnswer(http.MethodGet, "http://"+s.controlAddress()+"/godwitlink/Config.Read", "", func() string { return "" })
}

// expectAnswer sends a request until it is answered with 200. A request that is refused or whose connection
// is closed is sent again, as ordinary clients do.
func (s *system) expectAnswer(method, url, host string, body func() string) {
	s.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body())))
		if err != nil {
			s.t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("X-Deadline-Ms", "5000")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // the status is enough
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	s.t.Errorf("%s %s: no ordinary request is answered, the last result is %s", method, url, last)
}
