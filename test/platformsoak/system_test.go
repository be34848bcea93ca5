package platformsoak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Sizes of the system under test.
const (
	controlCount     = 5
	entryCount       = 3
	seedAddressCount = 3 // control processes that the settings name
)

const (
	portControl  = 7001
	portInternal = 7002
	portMetrics  = 7003
	portClients  = 7004
	portReady    = 7005
)

// process is one program of the system. Its address and its disk outlive it.
type process struct {
	name, program, settings, ip, logFile string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
}

// system is the processes of one run.
type system struct {
	t               *testing.T
	dir, programDir string
	controls        []*process
	entries         []*process
	entryProxies    []*proxy // in front of the entry processes
	adviserProxy    *proxy
	workerProxies   []*proxy // in front of the workers
}

func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/godwit-platform-control", "../../cmd/godwit-platform-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

// ipOf returns a loopback address that no other run on this machine uses at the
// same time: the second octet comes from the id of the test process.
func loopbackIP(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, kind, number+1)
}

func startSystem(t *testing.T, programDir, adviser string) *system {
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
bootstrap = `, p.ip, portControl, filepath.Join(s.dir, p.name))
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

// start runs a process. first is false where the system has run before.
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
	// A test that is killed must leave no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// How the process ended shows in its log.
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(p.cmd, p.exited)
}

func (p *process) signal(signal syscall.Signal) {
	// A process that has exited needs no signal.
	_ = p.cmd.Process.Signal(signal)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// leastDamaged is the size of a segment below which it is not damaged. A byte
// in the first half of a larger one is not in its last record, which may count
// as torn.
const minCorruptedSegmentBytes = 16 << 10

// damage flips a byte of the log of a control process that does not run, and
// reports whether there was a segment for it.
func (s *system) corruptLog(p *process, random *rand.Rand) bool {
	// The folder in use has the longest or largest name: log, log-2, log-3.
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

// terminate asks for a planned stop. The process is killed where it takes longer
// than limit.
func (p *process) terminate(timeout time.Duration) {
	p.signal(syscall.SIGTERM)
	process, exited := p.cmd.Process, p.exited
	go func() {
		select {
		case <-exited:
		case <-time.After(timeout):
			// It may have exited just now.
			_ = process.Kill()
		}
	}()
}

func (s *system) stopAll() {
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		p.kill()
	}
	if !s.t.Failed() {
		return
	}
	// The logs of a failed run are kept for the search of its cause.
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
	s.t.Logf("logs are kept in %s", dir)
}

// controlAddresses is where workers and operators call.
func (s *system) controlAddresses() []string {
	var addresses []string
	for _, p := range s.controls {
		addresses = append(addresses, fmt.Sprintf("%s:%d", p.ip, portControl))
	}
	return addresses
}

const jobPath = "/q/"

// configure sends a configuration until it is acknowledged.
func (s *system) applyConfig(version int, timeout time.Duration) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":"h","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":3,"slackFactor":1.5},
{"name":"a","host":"a","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":3,"slackFactor":3,
"advice":{"decideMs":10,"periodMs":0.1,"validMs":1500}}],"services":[{"name":%q,"maxConns":64}]}`,
		version, jobPath, serviceName, jobPath, serviceName, serviceName)
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
				return nil
			}
			lastErr = fmt.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged: %w", version, lastErr)
}
