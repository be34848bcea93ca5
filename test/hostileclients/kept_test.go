package hostileclients

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// Guards against answers to reads of other processes that are encoded beside each other without a bound.
func TestControlWithManyReadsOfProcesses(t *testing.T) {
	query, err := codec.EncodeQuery(state.Query{Queues: &state.QueuesQuery{Document: true}})
	if err != nil {
		t.Fatal(err)
	}
	content, err := proto.Marshal(&rpcpb.ReadRequest{Query: query})
	if err != nil {
		t.Fatal(err)
	}
	request := fmt.Appendf(nil, "POST /twirp/godwitlink.rpc.Control/Read HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
	for name, await := range map[string]func(net.Conn){
		"answers are read":     func(net.Conn) {},
		"answers are not read": func(net.Conn) { time.Sleep(crowdTimeout / 4) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t)
			s.configure(2, strings.Repeat("x", documentBytes))
			startCrowd(t, s.internalAddress(), 4*controlCrowd, func(conn net.Conn, _ bool) error {
				defer await(conn)
				return write(conn, request)
			})
			s.expectConfigRead()
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

// Guards against configurations in quick succession that fill the memory of a control process by the log.
func TestControlWithManyConfigurations(t *testing.T) {
	const documents = 400
	s := startSystem(t)
	padding := strings.Repeat("x", documentBytes)
	var version atomic.Int64
	version.Store(1)
	startCrowd(t, s.controlAddress(), controlCrowd, func(conn net.Conn, _ bool) error {
		for range documents / controlCrowd {
			body := fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":"s"}],"limits":{},"note":%q}`, version.Add(1), padding)
			if err := write(conn, fmt.Appendf(nil, "POST /godwitlink/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)); err != nil {
				return err
			}
			buffer := make([]byte, 1024)
			if _, err := conn.Read(buffer); err != nil {
				return err
			}
		}
		return nil
	})
	s.expectConfigRead()
	s.configure(int(version.Add(1)), "")
	s.expectJobAccepted()
	s.checkBounds(s.entry)
	s.checkBounds(s.control)
}

// Guards against a control process that keeps all workers that have ever reported, and passes its memory limit.
func TestControlWithManyReportedWorkers(t *testing.T) {
	s := startSystem(t)
	var worker atomic.Int64
	labels := elements(`"label-of-some-length"`, 16<<10)
	s.crowd(jobCrowd, func(client *http.Client) bool {
		report := fmt.Sprintf(`{"service":"s","address":"%s:9","zone":"z","state":"ready","capacity":{"cpu":1000,"memMb":1000},"labels":%s,"born":1}`, loopbackIP(9), labels)
		response, err := client.Post(fmt.Sprintf("http://%s/godwitlink/Instances.Heartbeat/w%d", s.controlAddress(), worker.Add(1)), "application/json", strings.NewReader(report))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	s.expectConfigRead()
	s.expectJobAccepted()
	s.checkBounds(s.entry)
	s.checkBounds(s.control)
}
