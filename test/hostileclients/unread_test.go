package hostileclients

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// unreadCrowd is below the connections of clients that a process takes with memoryMB.
const unreadCrowd = 800

// sendBehind sends large requests behind one that is not answered before all have been sent. Writes that the process
// does not read end after a while.
func sendBehind(first, head, content string) traffic {
	large := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(content), content)
	return func(conn net.Conn, _ bool) error {
		if err := write(conn, []byte(first)); err != nil {
			return err
		}
		if err := conn.SetWriteDeadline(time.Now().Add(crowdTimeout / 4)); err != nil {
			return err
		}
		for range 8 {
			if write(conn, large) != nil {
				break
			}
		}
		return nil
	}
}

// Guards against bytes that have arrived and are not read, which count as memory of the process.
func TestUnreadBytesOfClients(t *testing.T) {
	const slowPost = "Content-Length: 100\r\n\r\n"
	for _, kind := range []struct {
		name    string
		address func(*system) string
		send    traffic
	}{
		// The first request stops short of its end, or is a job that waits for the log beside many others.
		{"jobs behind a job", (*system).clientsAddress, sendBehind(fmt.Sprintf("%sContent-Length: %d\r\n\r\n{\"spec\":\"x\",\"steps\":[%s]}", jobHead, len(stepOfOneTask)+len(`{"spec":"x","steps":[]}`), stepOfOneTask), jobHead, string(body(jobBodyBytes)))},
		{"reads behind a job", (*system).clientsAddress, sendBehind("GET "+queuePath+" HTTP/1.1\r\nHost: "+queueHost+"\r\n\r\n", jobHead, string(body(jobBodyBytes)))},
		{"reports behind a read", (*system).controlAddress, sendBehind("GET /godwitlink/Config.Read HTTP/1.1\r\nHost: h\r\n\r\n", reportHead, string(body(reportBodyBytes)))},
		{"messages behind a message", (*system).internalAddress, sendBehind(messageHead+slowPost, messageHead, string(body(reportBodyBytes)))},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startSystem(t)
			startCrowd(t, kind.address(s), unreadCrowd, kind.send)
			s.expectConfigRead()
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}
