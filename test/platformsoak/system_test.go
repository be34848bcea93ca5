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
	controls = 5
	entries  = 3
	seeds    = 3 // control processes that the settings name
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
	name, program, settings, ip, log string
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

// system is the processes of one run.
type system struct {
	t        *testing.T
	dir, bin string
	controls []*process
	entries  []*process
	clients  []*proxy // in front of the entry processes
	adviser  *proxy
	workers  []*proxy // in front of the workers
}

func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/godwit-platform-control", "../../cmd/godwit-platform-entry").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// ipOf returns a loopback address that no other run on this machine uses at the
// same time: the second octet comes from the id of the test process.
func ipOf(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, kind, number+1)
}

func startSystem(t *testing.T, bin, adviser string) *system {
	s := &system{t: t, dir: t.TempDir(), bin: bin, adviser: startProxy(t, adviser)}
	var named []string
	for i := range seeds {
		named = append(named, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", ipOf(1, i), portControl)))
	}
	common := `name = %q
region = "r"
failure_domain = "z"
log_level = "info"
listen_internal = "%s:7002"
listen_metrics = "%s:7003"
memory_mb = 280
seeds = [` + strings.Join(named, ", ") + `]
adviser = %q
`
	for i := range controls {
		p := &process{name: fmt.Sprint("control-", i), program: "godwit-platform-control", ip: ipOf(1, i)}
		p.settings = fmt.Sprintf(common, p.name, p.ip, p.ip, s.adviser.address) + fmt.Sprintf(`listen_control = "%s:%d"
tolerate_replicas = 2
data_dir = %q
disk_mb = 128
worker_lease_max = "6s"
bootstrap = `, p.ip, portControl, filepath.Join(s.dir, p.name))
		s.controls = append(s.controls, p)
		s.start(p, true)
	}
	for i := range entries {
		p := &process{name: fmt.Sprint("entry-", i), program: "godwit-platform-entry", ip: ipOf(2, i)}
		p.settings = fmt.Sprintf(common, p.name, p.ip, p.ip, s.adviser.address) + fmt.Sprintf(`listen_clients = "%s:%d"
listen_ready = "%s:%d"
stop_grace = "3s"
`, p.ip, portClients, p.ip, portReady)
		s.entries = append(s.entries, p)
		s.clients = append(s.clients, startProxy(t, fmt.Sprintf("%s:%d", p.ip, portClients)))
		s.start(p, true)
	}
	t.Cleanup(s.end)
	return s
}

// start runs a process. first is false where the system has run before.
func (s *system) start(p *process, first bool) {
	settings := p.settings
	if p.program == "godwit-platform-control" {
		settings += fmt.Sprintln(first)
	}
	file := filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	p.log = filepath.Join(s.dir, p.name+".log")
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(s.bin, p.program), "run", "--settings", file)
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
const leastDamaged = 16 << 10

// damage flips a byte of the log of a control process that does not run, and
// reports whether there was a segment for it.
func (s *system) damage(p *process, random *rand.Rand) bool {
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
		if len(data) < leastDamaged {
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
func (p *process) terminate(limit time.Duration) {
	p.signal(syscall.SIGTERM)
	process, exited := p.cmd.Process, p.exited
	go func() {
		select {
		case <-exited:
		case <-time.After(limit):
			// It may have exited just now.
			_ = process.Kill()
		}
	}()
}

func (s *system) end() {
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		p.kill()
	}
	if !s.t.Failed() {
		return
	}
	// The logs of a failed run are kept for the search of its cause.
	kept, err := os.MkdirTemp("", "platformsoak")
	if err != nil {
		s.t.Log(err)
		return
	}
	for _, p := range append(append([]*process{}, s.controls...), s.entries...) {
		content, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, p.name+".log"), content, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	s.t.Logf("logs are kept in %s", kept)
}

// controlAddresses is where workers and operators call.
func (s *system) controlAddresses() []string {
	var all []string
	for _, p := range s.controls {
		all = append(all, fmt.Sprintf("%s:%d", p.ip, portControl))
	}
	return all
}

const queuePath = "/q/"

// configure sends a configuration until it is acknowledged.
func (s *system) configure(version int, limit time.Duration) error {
	body := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"q","host":"h","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":%q,"maxAttempts":3,"slackFactor":1.5},
{"name":"a","host":"a","pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":3,"slackFactor":3,
"advice":{"decideMs":10,"periodMs":0.1,"validMs":1500}}],"services":[{"name":%q,"maxConns":64}]}`,
		version, queuePath, fleetService, queuePath, fleetService, fleetService)
	client := &http.Client{Timeout: time.Second}
	var last error
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, address := range s.controlAddresses() {
			response, err := client.Post("http://"+address+"/godwitlink/Config.Replace", "application/json", bytes.NewReader([]byte(body)))
			if err != nil {
				last = err
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
			last = fmt.Errorf("status %d", response.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged: %w", version, last)
}
