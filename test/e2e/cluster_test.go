package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/cellconfig"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// clusterSize has the number of processes of each kind, and options that apply to all of them.
type clusterSize struct {
	controls, entries, workers, backends int
	// backendDelay is the time that a backend server takes for a request; zero means 5 ms. Tests
	// that kill a process during requests need slow ones.
	backendDelay time.Duration
	tls          bool // mutual TLS between processes and for operators, TLS for callers
}

// cluster has the processes of one test, each with its own loopback address.
type cluster struct {
	dir          string
	programDir   string
	cellFile     string // path
	config       cellconfig.File
	processes    []*process
	controls     []*controlProcess
	entries      []*entryProcess
	workers      []*workerProcess
	backends     []*backendProcess
	tlsFiles     *tlsFilePaths // nil without TLS
	callerScheme string        // http or https
	httpClient   *http.Client
}

type controlProcess struct {
	*process
	id              uint64
	internalAddress string
	metricsAddress  string
	settingsFile    string // path
}

type entryProcess struct {
	*process
	callerAddress, operatorAddress, platformAddress, metricsAddress string
}

type workerProcess struct {
	*process
	debugAddress string
}

type backendProcess struct {
	*process
	debugAddress string
}

// loopbackAddress returns an address of a process. The second octet is derived from the id of the test
// process, so that tests running at the same time use different addresses.
func loopbackAddress(kind, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+os.Getpid()%250, kind, number+1, port)
}

// Kinds of processes, used as the third octet of their addresses.
const (
	kindControl = 10
	kindEntry   = 20
	kindWorker  = 30
	kindBackend = 40
)

// newCluster starts all processes. The backend servers serve the first service of the cell file. The
// workers are spread over the regions of its first pool.
func newCluster(t *testing.T, example string, n clusterSize) *cluster {
	t.Helper()
	body, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	file, faults := cellconfig.Parse(body)
	if len(faults) > 0 {
		t.Fatalf("%s: %v", example, faults)
	}
	c := &cluster{
		dir: t.TempDir(), programDir: buildPrograms(t), cellFile: example, config: file,
		callerScheme: "http",
		httpClient:   &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if n.tls {
		c.enableTLS(t, n)
	}
	t.Cleanup(func() { c.cleanUp(t) })
	for i := range n.controls {
		c.startInitialControl(t, i, n.controls)
	}
	for i := range n.entries {
		c.startEntry(t, i, n.controls)
	}
	for i := range n.workers {
		c.startWorker(t, i, n.entries)
	}
	for i := range n.backends {
		c.startBackend(t, i, n)
	}
	return c
}

// cleanUp kills the running processes, and shows the ends of their logs if the test has failed.
func (c *cluster) cleanUp(t *testing.T) {
	for _, p := range c.processes {
		if p.alive() {
			p.kill()
		}
	}
	if !t.Failed() {
		return
	}
	for _, p := range c.processes {
		t.Log(p.logTail())
	}
}

// location returns the region and failure domain of the i-th process of a kind.
func (c *cluster) location(i int, regions []cell.Region) (cell.Region, cell.FailureDomain) {
	region := regions[i%len(regions)]
	for _, r := range c.config.Regions {
		if r.Name == region {
			return region, r.FailureDomains[(i/len(regions))%len(r.FailureDomains)]
		}
	}
	panic("region " + region + " is missing from the validated cell file")
}

func (c *cluster) regionNames() []cell.Region {
	var names []cell.Region
	for _, r := range c.config.Regions {
		names = append(names, r.Name)
	}
	return names
}

// startInitialControl starts a replica of the initial control group.
func (c *cluster) startInitialControl(t *testing.T, i, total int) {
	var voterIndexes []int
	for peer := range total {
		voterIndexes = append(voterIndexes, peer)
	}
	c.startControl(t, i, "form", voterIndexes)
}

// startControl starts a control replica. replicas has the indexes of the replicas in its settings.
func (c *cluster) startControl(t *testing.T, i int, start string, replicas []int) {
	region, domain := c.location(i, c.regionNames())
	control := &controlProcess{id: uint64(i + 1), internalAddress: loopbackAddress(kindControl, i, 7001), metricsAddress: loopbackAddress(kindControl, i, 7009)}
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"control-%d\"\nregion = %q\nfailure_domain = %q\nlog_level = \"info\"\n", i+1, region, domain)
	fmt.Fprintf(&b, "replica_id = %d\nstart = %q\ndata_dir = %q\n", control.id, start, filepath.Join(c.dir, fmt.Sprintf("data-%d", i+1)))
	fmt.Fprintf(&b, "listen_internal = %q\nlisten_metrics = %q\n", control.internalAddress, control.metricsAddress)
	b.WriteString("election_timeout_min = \"400ms\"\nelection_timeout_max = \"800ms\"\nheartbeat_interval = \"100ms\"\n")
	b.WriteString("max_clock_drift_ppm = 1000\nsnapshot_every_entries = 10000\n")
	b.WriteString(c.tlsTable("internal_tls", "mutual"))
	for _, peer := range replicas {
		fmt.Fprintf(&b, "[[replica]]\nid = %d\naddress = %q\n", peer+1, loopbackAddress(kindControl, peer, 7001))
	}
	name := fmt.Sprintf("control-%d", i+1)
	control.settingsFile = filepath.Join(c.dir, name+".toml")
	control.process = c.start(t, name, "godwit-control", b.String())
	c.controls = append(c.controls, control)
}

func (c *cluster) startEntry(t *testing.T, i, controls int) {
	region, domain := c.location(i, c.regionNames())
	e := &entryProcess{
		callerAddress:   loopbackAddress(kindEntry, i, 8001),
		operatorAddress: loopbackAddress(kindEntry, i, 8004),
		platformAddress: loopbackAddress(kindEntry, i, 8002),
		metricsAddress:  loopbackAddress(kindEntry, i, 8009),
	}
	var addresses []string
	for control := range controls {
		addresses = append(addresses, fmt.Sprintf("%q", loopbackAddress(kindControl, control, 7001)))
	}
	e.process = c.start(t, fmt.Sprintf("entry-%d", i+1), "godwit-entry", fmt.Sprintf(`
name = "entry-%d"
region = %q
failure_domain = %q
log_level = "info"
listen_callers = %q
listen_operators = %q
listen_platform = %q
listen_internal = %q
listen_metrics = %q
control_addresses = [%s]
readiness_delay = "500ms"
stop_grace = "20s"
max_connections = 1000
%s%s%s`, i+1, region, domain, e.callerAddress, e.operatorAddress, e.platformAddress, loopbackAddress(kindEntry, i, 8003), e.metricsAddress, strings.Join(addresses, ", "),
		c.tlsTable("callers_tls", "tls"), c.tlsTable("operators_tls", "mutual"), c.tlsTable("internal_tls", "mutual")))
	c.entries = append(c.entries, e)
}

// platformAddresses returns the addresses of the entry processes as a TOML list. Each worker and
// backend server starts at a different one.
func platformAddresses(i, entries int) string {
	var addresses []string
	for k := range entries {
		addresses = append(addresses, fmt.Sprintf("%q", loopbackAddress(kindEntry, (i+k)%entries, 8002)))
	}
	return strings.Join(addresses, ", ")
}

func (c *cluster) startWorker(t *testing.T, i, entries int) {
	pool := c.config.Pools[0]
	region, domain := c.location(i, pool.Regions)
	w := &workerProcess{debugAddress: loopbackAddress(kindWorker, i, 9009)}
	w.process = c.start(t, fmt.Sprintf("worker-%d", i+1), "godwit-worker", fmt.Sprintf(`
name = "worker-%d"
region = %q
failure_domain = %q
log_level = "info"
rack = "%s-rack-%d"
pool = %q
cpus = %.1f
memory = %q
accelerators = %d
entries = [%s]
listen_debug = %q
`, i+1, region, domain, domain, i/8, pool.Name, pool.MaxWorkerCPUs, pool.MaxWorkerMemory,
		pool.MaxWorkerAccelerators, platformAddresses(i, entries), w.debugAddress))
	c.workers = append(c.workers, w)
}

func (c *cluster) startBackend(t *testing.T, i int, n clusterSize) {
	delay := n.backendDelay
	if delay == 0 {
		delay = 5 * time.Millisecond
	}
	region, domain := c.location(i, c.regionNames())
	service := c.config.Services[0]
	b := &backendProcess{debugAddress: loopbackAddress(kindBackend, i, 9009)}
	b.process = c.start(t, fmt.Sprintf("backend-%d", i+1), "godwit-backend", fmt.Sprintf(`

name = "backend-%d"
region = %q
failure_domain = %q
log_level = "info"
service = %q
listen = %q
listen_debug = %q
entries = [%s]
slots = 8
connections = 60
announce_interval = %q
announce_lease = %q
[faults]
delay = %q
failure_rate = 0.0
truncate_rate = 0.0
reset_rate = 0.0
late_rate = 0.0
late_delay = "0s"
foreign_rate = 0.0
seed = 1
`, i+1, region, domain, service.Name, loopbackAddress(kindBackend, i, 9001), b.debugAddress,
		platformAddresses(i, n.entries), service.AnnounceInterval, service.AnnounceLease, delay))
	c.backends = append(c.backends, b)
}

// leader waits for the control group to have a running leader, and returns it.
func (c *cluster) leader(t *testing.T) *controlProcess {
	t.Helper()
	var leader *controlProcess
	eventually(t, "a leader of the control group", func() error {
		for _, control := range c.controls {
			if !control.alive() {
				continue
			}
			status, err := c.replicaStatus(control)
			if err != nil {
				continue
			}
			for _, candidate := range c.controls {
				if candidate.id == status.LeaderId && candidate.alive() {
					leader = candidate
					return nil
				}
			}
		}
		return fmt.Errorf("no replica reports a running leader")
	})
	return leader
}

func (c *cluster) replicaStatus(control *controlProcess) (*rpcpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	scheme := "http"
	if c.tlsFiles != nil {
		scheme = "https"
	}
	return rpcpb.NewReplicationProtobufClient(scheme+"://"+control.internalAddress, c.httpClient).Status(ctx, &rpcpb.StatusRequest{})
}

// waitUntilReady waits until every entry process has a configuration in force.
func (c *cluster) waitUntilReady(t *testing.T) {
	t.Helper()
	for _, e := range c.entries {
		eventually(t, e.name+" to be ready", func() error { return c.getOK("http://" + e.metricsAddress + "/readyz") })
	}
}

func (c *cluster) getOK(url string) error {
	response, err := c.httpClient.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}

// waitTimeout bounds each wait of these tests. It is reached only by a test that hangs.
const waitTimeout = 30 * time.Second

// eventually repeats a check until it succeeds, and fails the test after waitTimeout.
func eventually(t *testing.T, description string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waiting for %s: %v", description, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
