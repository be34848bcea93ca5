package platformproc

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/controlclient"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
	"github.com/godwitlink/godwitlink/internal/slowlink"
	"github.com/godwitlink/godwitlink/internal/workapi"
)

const (
	slowLinkBytesPerSecond = 250_000
	// maxConfigDelay is how late an acknowledged configuration may be in force at an entry process.
	maxConfigDelay = 3 * time.Second
)

// manyRoutes returns a configuration of n routes.
func manyRoutes(version, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"services":[{"name":"s"}],"routes":[`, version)
	for i := range n {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"host-%d.example","pathPrefix":"/prefix-%d/","service":"s","timeoutMs":3000,"targetLatencyMs":1200,"maxAttempts":4,"slackFactor":1.5,"advice":{"decideMs":12.5,"periodMs":0.25,"validMs":2000}}`, i, i%7, i)
	}
	b.WriteString("]}")
	return b.String()
}

// configure sends a configuration until it is acknowledged, as an operator does.
func (g *testGroup) configure(version, routes int) {
	config := manyRoutes(version, routes)
	await(g.t, fmt.Sprint("acknowledgement of configuration ", version), func() bool {
		return g.members[0].post(g.t, "Config.Replace", config) == http.StatusOK
	})
}

// newSlowJobService returns a running job service behind a slow link.
func (g *testGroup) newSlowJobService() *workapi.JobService {
	transport := &http.Transport{DialContext: slowlink.Dial(slowLinkBytesPerSecond), MaxIdleConnsPerHost: maxIdleConnsToLeader, DisableCompression: true}
	g.t.Cleanup(transport.CloseIdleConnections)
	logger, err := eventlog.New(&logBuffer{}, "info", g.t.Name())
	if err != nil {
		g.t.Fatal(err)
	}
	set := metrics.New()
	control := controlclient.New(internalAddressesOf(g.members), "http", &http.Client{Transport: transport}, set)
	service := workapi.NewJobService(workapi.JobServiceOptions{Control: control, Logger: logger, Metrics: set})
	ctx, cancel := context.WithCancel(g.t.Context())
	done := make(chan struct{}, 2)
	go func() { control.Run(ctx); done <- struct{}{} }()
	go func() { service.Run(ctx); done <- struct{}{} }()
	g.t.Cleanup(func() { cancel(); <-done; <-done })
	return service
}

// Guards against acknowledged routes that are refused by entry processes behind slow links, because each
// change sends the whole configuration.
func TestChangesOfALargeConfigurationPassASlowLink(t *testing.T) {
	const routes, changes = 2800, 10
	g := startTestGroup(t)
	service := g.newSlowJobService()
	g.configure(1, routes)
	served := func(route int) bool {
		_, outcome := service.FindQueue(fmt.Sprintf("host-%d.example", route%7), fmt.Sprintf("/prefix-%d/x", route), "")
		return outcome == workapi.OutcomeOK
	}
	await(t, "configuration at the entry process", func() bool { return served(routes - 1) })
	var acked [changes]time.Time
	for change := range changes {
		started := time.Now()
		g.configure(2+change, routes+1+change)
		acked[change] = time.Now()
		time.Sleep(time.Until(started.Add(490 * time.Millisecond)))
		for earlier := range change {
			if late := time.Since(acked[earlier]); late > maxConfigDelay && !served(routes+earlier) {
				t.Errorf("change %d is not in force %v after its acknowledgement", earlier, late)
			}
		}
	}
	for change := range changes {
		time.Sleep(time.Until(acked[change].Add(maxConfigDelay)))
		if !served(routes + change) {
			t.Errorf("change %d is not in force %v after its acknowledgement", change, maxConfigDelay)
		}
	}
}
