package hostileclients

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Sizes of what the clients send.
const (
	// unfinishedHeadBytes is just below the 1 MB that net/http reads of a head by default.
	unfinishedHeadBytes = 1_000_000
	oversizeHeadBytes   = 3 << 20
	emptyLineBytes      = 2 << 20
	jobBodyBytes        = 256 << 10 // the largest job that the configuration allows
	reportBodyBytes     = 4 << 20   // the largest report
	smallBodyBytes      = 1 << 10
	missingBytes        = 64 // that a client leaves out at the end of its body
	bodyPieces          = 32
	pauseBetweenPieces  = 5 * time.Millisecond
	largeChunkBytes     = 64 << 10
	smallChunkBytes     = 4
)

const (
	jobHead    = "POST " + queuePath + "00000000000000aa HTTP/1.1\r\nHost: " + queueHost + "\r\nX-Deadline-Ms: 60000\r\n"
	reportHead = "POST /godwitlink/Instances.Heartbeat/w HTTP/1.1\r\nHost: h\r\n"
	// messageHead begins a message of another replica.
	messageHead = "POST /twirp/godwitlink.rpc.Replication/Step HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\n"
)

// body returns a body of valid JSON, so that it is read to its end.
func body(size int) []byte {
	return []byte(`{"spec":"` + strings.Repeat("x", size-len(`{"spec":""}`)) + `"}`)
}

// repeated returns a text repeated up to a size.
func repeated(text string, size int) []byte { return bytes.Repeat([]byte(text), size/len(text)) }

func sendUnfinishedHead(line []byte) traffic {
	return func(conn net.Conn, finish bool) error {
		if err := write(conn, []byte(jobHead), line); err != nil || !finish {
			return err
		}
		return write(conn, []byte("\r\n\r\n"))
	}
}

// fieldsUpTo returns distinct short header fields, which take far more memory than bytes on the wire.
func fieldsUpTo(size int) []byte {
	var fields bytes.Buffer
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.Bytes()
}

func sendEmptyLines(lines []byte) traffic {
	return func(conn net.Conn, finish bool) error {
		// net/http skips some empty lines after a POST.
		if finish {
			if err := write(conn, []byte(jobHead+"Content-Length: 2\r\n\r\n{}")); err != nil {
				return err
			}
		}
		return write(conn, lines)
	}
}

func sendWhole(head string, content []byte) traffic {
	request := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(content)), content...)
	return func(conn net.Conn, finish bool) error {
		if finish {
			return write(conn, request)
		}
		return write(conn, request[:len(request)-missingBytes])
	}
}

func sendInPieces(head string, content []byte) traffic {
	request := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, len(content)), content...)
	return func(conn net.Conn, finish bool) error {
		sent := request
		if !finish {
			sent = request[:len(request)-missingBytes]
		}
		for piece := (len(sent) + bodyPieces - 1) / bodyPieces; len(sent) > 0; time.Sleep(pauseBetweenPieces) {
			n := min(piece, len(sent))
			if err := write(conn, sent[:n]); err != nil {
				return err
			}
			sent = sent[n:]
		}
		return nil
	}
}

func sendChunks(head string, content []byte, chunkBytes int) traffic {
	request := bytes.NewBufferString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for len(content) > 0 {
		n := min(chunkBytes, len(content))
		fmt.Fprintf(request, "%x\r\n%s\r\n", n, content[:n])
		content = content[n:]
	}
	return func(conn net.Conn, finish bool) error {
		if finish {
			return write(conn, request.Bytes(), []byte("0\r\n\r\n"))
		}
		return write(conn, request.Bytes()[:request.Len()-missingBytes])
	}
}

func sendNothing(net.Conn, bool) error { return nil }

// sendStopped sends requests that none of the clients completes, so that the number of connections matters and
// not what they hold.
func sendStopped(head string) traffic {
	send := sendWhole(head, body(smallBodyBytes))
	return func(conn net.Conn, _ bool) error { return send(conn, false) }
}

// askWithoutReading sends requests for the configuration and reads none of the answers.
func askWithoutReading(conn net.Conn, _ bool) error {
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	if err := write(conn, repeated("GET /godwitlink/Config.Read HTTP/1.1\r\nHost: h\r\n\r\n", 512)); err != nil {
		return err
	}
	time.Sleep(crowdTimeout / 4)
	return nil
}

// Guards against an entry process that ends, passes its memory limit or answers no one after clients have
// sent one kind of traffic outside the limits.
func TestEntryWithHostileClients(t *testing.T) {
	job := body(jobBodyBytes)
	for _, kind := range []struct {
		name    string
		clients int
		send    traffic
	}{
		{"head without end", entryCrowd, sendUnfinishedHead(append([]byte("X: "), repeated("x", unfinishedHeadBytes)...))},
		{"head of many fields", entryCrowd, sendUnfinishedHead(fieldsUpTo(unfinishedHeadBytes))},
		{"head over the limit", entryCrowd, sendUnfinishedHead(append([]byte("X: "), repeated("x", oversizeHeadBytes)...))},
		{"empty lines", entryCrowd, sendEmptyLines(repeated("\r\n", emptyLineBytes))},
		{"whole bodies", entryCrowd, sendWhole(jobHead, job)},
		{"bodies in pieces", entryCrowd, sendInPieces(jobHead, job)},
		{"large chunks", entryCrowd, sendChunks(jobHead, job, largeChunkBytes)},
		{"small chunks", entryCrowd, sendChunks(jobHead, job, smallChunkBytes)},
		{"open connections", idleCrowd, sendNothing},
		{"stopped requests on all sockets", idleCrowd, sendStopped(jobHead)},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startSystem(t)
			startCrowd(t, s.clientsAddress(), kind.clients, kind.send)
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

// Guards against the same for a control process: at the listener of workers and operators, and at the one of
// the other processes of the system.
func TestControlWithHostileClients(t *testing.T) {
	report := body(reportBodyBytes)
	for _, kind := range []struct {
		name    string
		address func(*system) string
		clients int
		send    traffic
	}{
		{"head without end", (*system).controlAddress, entryCrowd, sendUnfinishedHead(append([]byte("X: "), repeated("x", unfinishedHeadBytes)...))},
		{"head of many fields", (*system).controlAddress, entryCrowd, sendUnfinishedHead(fieldsUpTo(unfinishedHeadBytes))},
		{"whole bodies", (*system).controlAddress, controlCrowd, sendWhole(reportHead, report)},
		{"bodies in pieces", (*system).controlAddress, controlCrowd, sendInPieces(reportHead, report)},
		{"large chunks", (*system).controlAddress, controlCrowd, sendChunks(reportHead, report, largeChunkBytes)},
		{"small chunks", (*system).controlAddress, controlCrowd, sendChunks(reportHead, report, smallChunkBytes)},
		{"stopped requests on all sockets", (*system).controlAddress, idleCrowd, sendStopped(reportHead)},
		{"whole messages", (*system).internalAddress, controlCrowd, sendWhole(messageHead, report)},
		{"messages in chunks", (*system).internalAddress, controlCrowd, sendChunks(messageHead, report, largeChunkBytes)},
	} {
		t.Run(kind.name, func(t *testing.T) {
			s := startSystem(t)
			startCrowd(t, kind.address(s), kind.clients, kind.send)
			s.expectConfigRead()
			s.expectJobAccepted()
			s.checkBounds(s.entry)
			s.checkBounds(s.control)
		})
	}
}

// documentBytes is the size of a configuration whose answers fill no socket buffer of a reader.
const documentBytes = 1 << 20

// Guards against answers that fill the memory of a control process while their readers do not read them.
func TestControlWithSlowReaders(t *testing.T) {
	s := startSystem(t)
	s.configure(2, strings.Repeat("x", documentBytes))
	startCrowd(t, s.controlAddress(), entryCrowd, askWithoutReading)
	s.expectConfigRead()
	s.expectJobAccepted()
	s.checkBounds(s.entry)
	s.checkBounds(s.control)
}
