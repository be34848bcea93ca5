package platformsoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Numbers of processes of the system under test.
const (
	controlCount     = 5
	entryCount       = 3
	seedAddressCount = 3 // control processes whose addresses are in the settings
)

const (
	portControl  = 7001
	portInternal = 7002
	portMetrics  = 7003
	portClients  = 7004
	portReady    = 7005
)

// process is a program of the system. It keeps its address and its data folder when it restarts.
type process struct {
	name, program, settings, ip, logFile string
	cmd                                  *exec.Cmd
	pid                                  atomic.Int64
	exited                               chan struct{}
}

// system has the processes and proxies of one run.
type system struct {
	t               *testing.T
	dir, programDir string
	controls        []*process
	entries         []*process
	entryProxies    []*proxy // between the clients and the entry processes
	adviserProxy    *proxy
	teams           *teamKeys // nil if the configuration lists no teams
	workerProxies   []*proxy  // between the control processes and the workers
}

// leader returns the control process that has begun to dispatch last, by its log, or nil.
func (s *system) leader() (leader *process) {
	latest := ""
	for _, p := range s.controls {
		content, err := os.ReadFile(p.logFile)
		if err != nil {
			s.t.Error(err)
			return nil
		}
		before, _, found := cutLast(string(content), `"event":4000,`)
		if !found {
			continue
		}
		_, at, _ := cutLast(before, `"time":"`)
		if at > latest {
			leader, latest = p, at
		}
	}
	return leader
}

// logged reports whether the log of a control process contains a text.
func (s *system) logged(text string) bool {
	for _, p := range s.controls {
		content, err := os.ReadFile(p.logFile)
		if err != nil {
			s.t.Error(err)
		}
		if strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}

// cutLast divides a text at the last occurrence of a separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+len(separator):], true
}

// controlOf returns the control process that has opened a connection to this process. It is nil if the
// connection has been closed. The kernel lists connections with their addresses in hexadecimal digits,
// the bytes of the IP address reversed, and their inode.
func (s *system) controlOf(conn *net.TCPConn) *process {
	list, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		s.t.Error(err)
		return nil
	}
	hex := func(address net.Addr) string {
		tcp := address.(*net.TCPAddr)
		ip := tcp.IP.To4()
		return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	}
	_, line, found := strings.Cut(string(list), hex(conn.RemoteAddr())+" "+hex(conn.LocalAddr())+" ")
	line, _, _ = strings.Cut(line, "\n")
	fields := strings.Fields(line)
	if !found || len(fields) < 7 {
		return nil
	}
	for _, p := range s.controls {
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.pid.Load()))
		if err != nil {
			s.t.Error(err)
		}
		for _, link := range links {
			// A file that has been closed in the meantime has no target.
			if target, _ := os.Readlink(link); target == "socket:["+fields[6]+"]" {
				return p
			}
		}
	}
	return nil
}

func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/godwit-platform-control", "../../cmd/godwit-platform-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// loopbackIP returns the address of a process. The second octet is derived from the id of the test
// process, so that tests running at the same time use different addresses.
func loopbackIP(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, kind, number+1)
}

// startSystem starts the control and entry processes, and the proxies before the entry processes and
// before the adviser.
func startSystem(t *testing.T, programDir, adviser string, callProxyWorkers int) *system {
	s := &system{t: t, dir: t.TempDir(), programDir: programDir, adviserProxy: startProxy(t, adviser)}
	var seedAddresses []string
	for i := range seedAddressCount {
		seedAddresses = append(seedAddresses, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", loopbackIP(1, i), portControl)))
	}
	commonSettings := `name = %q
region = "r"
failure_domain = "z"
log_level = "info"
listen_internal = "%s:7002"
listen_metrics = "%s:7003"
memory_mb = 280
open_files = 4096
seeds = [` + strings.Join(seedAddresses, ", ") + `]
adviser = %q
`
	for i := range controlCount {
		p := &process{name: fmt.Sprint("control-", i), program: "godwit-platform-control", ip: loopbackIP(1, i)}
		p.settings = fmt.Sprintf(commonSettings, p.name, p.ip, p.ip, s.adviserProxy.address) + fmt.Sprintf(`listen_control = "%s:%d"
tolerate_replicas = 2
data_dir = %q
disk_mb = 128
worker_lease_max = "6s"
call_proxy_workers = %d
bootstrap = `, p.ip, portControl, filepath.Join(s.dir, p.name), callProxyWorkers)
		s.controls = append(s.controls, p)
		s.start(p, true)
	}
	for i := range entryCount {
		p := &process{name: fmt.Sprint("entry-", i), program: "godwit-platform-entry", ip: loopbackIP(2, i)}
		p.settings = fmt.Sprintf(commonSettings, p.name, p.ip, p.ip, s.adviserProxy.address) + fmt.Sprintf(`listen_clients = "%s:%d"
listen_ready = "%s:%d"
stop_grace = "3s"
`, p.ip, portClients, p.ip, portReady)
		s.entries = append(s.entries, p)
		s.entryProxies = append(s.entryProxies, startProxy(t, fmt.Sprintf("%s:%d", p.ip, portClients)))
		s.start(p, true)
	}
	t.Cleanup(s.stopAll)
	return s
}

// start starts a process. firstStart is false for a restart.
func (s *system) start(p *process, firstStart bool) {
	settings := p.settings
	if p.program == "godwit-platform-control" {
		settings += fmt.Sprintln(firstStart)
	}
	file := filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.logFile = filepath.Join(s.dir, p.name+".log")
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(s.programDir, p.program), "run", "--settings", file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The process must not outlive a test that is killed. It has a session of its own: the kernel sends SIGHUP
	// to the stopped processes of a process group whose shell ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setsid: true}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// The log of the process shows why it ended.
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(signal syscall.Signal) {
	// A signal to a process that has exited fails, which does not matter.
	_ = p.cmd.Process.Signal(signal)
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// minCorruptedSegmentBytes is the minimum size of a log segment to corrupt. In a segment of this size
// the first half does not contain the last record, which recovery may treat as a torn write.
const minCorruptedSegmentBytes = 16 << 10

// corruptLog flips a bit in the log of a control process that is not running. It reports whether a
// segment was large enough.
func (s *system) corruptLog(p *process, random *rand.Rand) bool {
	// The folder in use has the last name in lexical order: log, log-2, log-3.
	folders, err := filepath.Glob(filepath.Join(s.dir, p.name, "log*"))
	if err != nil || len(folders) == 0 {
		return false
	}
	segments, err := filepath.Glob(filepath.Join(slices.Max(folders), "segment-*.wal"))
	if err != nil {
		s.t.Fatal(err)
	}
	for _, file := range segments {
		data, err := os.ReadFile(file)
		if err != nil {
			s.t.Fatal(err)
		}
		if len(data) < minCorruptedSegmentBytes {
			continue
		}
		data[random.IntN(len(data)/2)] ^= 1
		if err := os.WriteFile(file, data, 0o600); err != nil {
			s.t.Fatal(err)
		}
		return true
	}
	return false
}

func (s *system) dataFolder(p *process) string { return filepath.Join(s.dir, p.name) }

// hasDataFolder reports whether a process has created its data folder.
func (s *system) hasDataFolder(p *process) bool {
	info, err := os.Stat(s.dataFolder(p))
	return err == nil && info.IsDir()
}

// blockDataFolder puts a file in the place of the data folder of a process that is not running. unblock
// puts the folder back, and fails the test if the process has ended because it could not use its folder.
func (s *system) blockDataFolder(p *process) (unblock func()) {
	folder := s.dataFolder(p)
	aside := folder + ".aside"
	if err := os.Rename(folder, aside); err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(folder, nil, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return func() {
		select {
		case <-p.exited:
			s.t.Errorf("%s has ended because its data folder cannot be used", p.name)
		default:
		}
		if err := os.Remove(folder); err != nil {
			s.t.Fatal(err)
		}
		if err := os.Rename(aside, folder); err != nil {
			s.t.Fatal(err)
		}
	}
}

// terminate starts a planned stop, and kills the process if it takes longer than the timeout.
func (p *process) terminate(timeout time.Duration) {
	p.signal(syscall.SIGTERM)
	process, exited := p.cmd.Process, p.exited
	go func() {
		select {
		case <-exited:
		case <-time.After(timeout):
			// The process may have exited in the meantime.
			_ = process.Kill()
		}
	}()
}

// stopAll kills all processes, and keeps their logs if the test has failed.
func (s *system) stopAll() {
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		p.kill()
	}
	if !s.t.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "platformsoak")
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		content, err := os.ReadFile(p.logFile)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, p.name+".log"), content, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("the process logs are in %s", dir)
}

// controlAddresses returns the addresses that workers and operators call.
func (s *system) controlAddresses() []string {
	var addresses []string
	for _, p := range s.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.ip, portControl))
	}
	return addresses
}

const jobPath = "/q/"

// tenants returns the teams of a version of the configuration that is sent now.
func (s *system) tenants(version int) string {
	if s.teams == nil {
		return ""
	}
	s.teams.configSent(version)
	return s.teams.tenants(version)
}

// applyConfig submits a configuration to the control processes in turn until one acknowledges it.
func (s *system) applyConfig(version int, timeout time.Duration) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":"h","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":3,"slackFactor":1.5},
{"name":"a","host":"a","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":3,"slackFactor":3,
"advice":{"decideMs":10,"periodMs":0.1,"validMs":1500}}],"services":[{"name":%q,"maxConns":64}]%s}`,
		version, jobPath, serviceName, jobPath, serviceName, serviceName, s.tenants(version))
	client := &http.Client{Timeout: time.Second}
	var lastErr error
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		for _, address := range s.controlAddresses() {
			response, err := client.Post("http://"+address+"/godwitlink/Config.Replace", "application/json", bytes.NewReader([]byte(body)))
			if err != nil {
				lastErr = err
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				if s.teams != nil {
					s.teams.configAcked(version)
				}
				return nil
			}
			lastErr = fmt.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d was not acknowledged: %w", version, lastErr)
}
