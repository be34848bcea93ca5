package hostileclients

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// startCellEntry starts an entry process of a cell, godwit-entry, without a control group: it reads requests as
// with one, and refuses them.
func startCellEntry(t *testing.T) *system {
	s := &system{t: t, dir: t.TempDir(), entry: &process{name: "cell-entry", ip: loopbackIP(3)}}
	t.Cleanup(s.stop)
	address := func(port int) string { return fmt.Sprintf("%s:%d", s.entry.ip, port) }
	s.start(s.entry, "godwit-entry", fmt.Sprintf(`name = "cell-entry"
region = "r"
failure_domain = "z"
log_level = "info"
listen_callers = %q
listen_operators = %q
listen_platform = %q
listen_internal = %q
listen_metrics = %q
control_addresses = ["%s:1"]
readiness_delay = "0s"
stop_grace = "1s"
max_connections = %d
memory_mb = %d
[callers_tls]
mode = "plain"
certificate = ""
key = ""
authorities = ""
[operators_tls]
mode = "plain"
certificate = ""
key = ""
authorities = ""
[internal_tls]
mode = "plain"
certificate = ""
key = ""
authorities = ""
`, address(portClients), address(portControl), address(portReady), address(portInternal), address(portMetrics), loopbackIP(4), openFiles, memoryMB))
	s.expectRefusal()
	return s
}

// expectRefusal sends requests until one has the ordinary answer of an entry process without a configuration.
func (s *system) expectRefusal() {
	s.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + s.clientsAddress() + "/service/a")
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if last = response.Header.Get("Godwit-Reason"); last == "not-ready" {
			return
		}
	}
	s.t.Errorf("no ordinary request is answered, the last result is %q", last)
}

const (
	cellJobHead      = "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
	cellJobBodyBytes = 1 << 20 // the largest body of a job
	// cellHeadBytes is just below the 32 KiB that an entry process of a cell takes of a head.
	cellHeadBytes = 31 << 10
)

// Guards against an entry process of a cell that ends, passes its memory limit or answers no one after clients
// have sent one kind of traffic outside the limits.
func TestCellEntryWithHostileClients(t *testing.T) {
	job := body(cellJobBodyBytes)
	for _, kind := range []struct {
		name    string
		clients int
		send    traffic
	}{
		{"heads of many fields", idleCrowd, sendUnfinishedHead(fieldsUpTo(cellHeadBytes))},
		{"whole bodies", entryCrowd, sendWhole(cellJobHead, job)},
		{"bodies in pieces", entryCrowd, sendInPieces(cellJobHead, job)},
		{"large chunks", entryCrowd, sendChunks(cellJobHead, job, largeChunkBytes)},
		{"small chunks", entryCrowd, sendChunks(cellJobHead, job, smallChunkBytes)},
		{"open connections", idleCrowd, sendNothing},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startCellEntry(t)
			startCrowd(t, s.clientsAddress(), kind.clients, kind.send)
			s.expectRefusal()
			s.checkBounds(s.entry)
		})
	}
}
