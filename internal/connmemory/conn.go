package connmemory

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/memorybudget"
)

// What a connection costs beside its receive buffer, measured on Linux with Go 1.26: 1,000 connections that have sent
// a part of a request take 20 to 24 kB each, for two goroutines, buffers of 4 KiB each way, and the state of net/http.
const (
	connectionBytes = 24 << 10
	// freeHeadBytes and freeHeadLines are the size of a head that the cost of the connection covers.
	freeHeadBytes = 4 << 10
	freeHeadLines = 32
	// headByteCost and headLineCost are what net/http allocates for a head: its lines are copied into strings
	// of their own, and each field takes an entry of a map and a slice. internal/gateway keeps another copy.
	headByteCost = 3
	headLineCost = 200
	// headQuantum is the step in which memory for a head is asked for.
	headQuantum = 8 << 10
	// progressBytes is the least that a connection must receive or send to make progress. It is above what a
	// client sends that only keeps its connection open, byte by byte.
	progressBytes = 1 << 10
	// progressInterval is the least time between two reports of progress, short against StallTime.
	progressInterval = memorybudget.StallTime / 20
	// headSlackBytes is what net/http reads behind a head, or of a body, into its buffer of 4 KiB.
	headSlackBytes = 4 << 10
)

// Peer says who connects to a listener.
type Peer uint8

// Kinds of peers.
const (
	PeerClients   Peer = iota // clients of queues: the limits of the configuration apply
	PeerOperators             // workers and operators: fixed limits apply
	PeerProcesses             // other processes of the system, and probes: their memory is apart
)

// use returns the use that pays for what a connection needs.
func (p Peer) use(use memorybudget.Use) memorybudget.Use {
	if p == PeerProcesses && use != memorybudget.UseMessages {
		return memorybudget.UseProcesses
	}
	return use
}

// conn accounts for the memory of a connection. Its methods are called by net/http.
type conn struct {
	net.Conn
	budget *Budget
	id     memorybudget.ID
	peer   string // host
	kind   Peer
	noRoom string // answer to a head without room
	closed atomic.Bool
	// inHead is set while the head of a request is awaited or read.
	inHead atomic.Bool
	// awaitsRequest is set after an answer, until the server has seen the beginning of the next request.
	awaitsRequest atomic.Bool
	moved         atomic.Int64 // bytes since the last report of progress
	reportedAt    atomic.Int64 // time of that report, in Unix nanoseconds

	// Used only by the goroutine that reads heads.
	headBytes, headLines, headPaid int64
}

// Limit returns a listener whose connections draw on the budget. A connection without room is closed.
func (b *Budget) Limit(kind Peer, inner net.Listener) net.Listener {
	return b.LimitAnswering(kind, inner, answerNoRoom)
}

// LimitAnswering is like Limit with the answer to a head without room, for protocols that need more than a
// status.
func (b *Budget) LimitAnswering(kind Peer, inner net.Listener, noRoom string) net.Listener {
	return &listener{Listener: inner, budget: b, kind: kind, noRoom: noRoom}
}

type listener struct {
	net.Listener
	budget *Budget
	kind   Peer
	noRoom string
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, budget: l.budget, id: memorybudget.ID(l.budget.nextID.Add(1)), peer: peerHost(accepted.RemoteAddr()), kind: l.kind, noRoom: l.noRoom}
		c.inHead.Store(true)
		if l.budget.ask(message{kind: kindOpen, conn: c, use: l.kind.use(memorybudget.UseConnections), bytes: l.kind.openBytes()}) {
			return c, nil
		}
		// The refusal is counted. An error of closing has no consequence.
		_ = accepted.Close()
	}
}

// grow asks for memory. After a refusal the request must be given up.
func (c *conn) grow(use memorybudget.Use, bytes int64) bool {
	return c.budget.ask(message{kind: kindGrow, conn: c, use: use, bytes: bytes})
}

func (c *conn) tell(k kind) { c.budget.send(message{kind: k, conn: c}) }

func (c *conn) release(use memorybudget.Use, bytes int64) {
	if bytes > 0 {
		c.budget.send(message{kind: kindRelease, conn: c, use: use, bytes: bytes})
	}
}

// refused counts a refusal. The metric is set before the client gets its answer.
func (c *conn) refused(reason string) {
	c.budget.metrics.Add(metricRefusals, reason, 1)
	c.budget.send(message{kind: kindRefused, conn: c, reason: reason, peer: c.peer})
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.move(n)
	if n > 0 && c.inHead.Load() {
		if refusal := c.accountHead(p[:n]); refusal != "" {
			c.answerHead(refusal)
			return 0, io.EOF
		}
	}
	return n, err
}

// answerHead answers a head that is not read to its end. No handler has the request, and the answer to the one
// before is complete. What the client has sent already is read for a moment, because closing the connection
// before that would discard the answer.
func (c *conn) answerHead(refusal string) {
	// Errors mean that the client has disconnected.
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	if _, err := io.WriteString(c.Conn, refusal); err == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	}
}

// move records bytes that were received or sent.
func (c *conn) move(n int) {
	if c.moved.Add(int64(n)) < progressBytes {
		return
	}
	now := time.Now().UnixNano()
	if now-c.reportedAt.Load() < int64(progressInterval) {
		return
	}
	c.reportedAt.Store(now)
	c.moved.Store(0)
	c.tell(kindProgress)
}

const (
	// refusalTimeout limits the time that a client whose head is refused may take to read its answer.
	refusalTimeout = 200 * time.Millisecond
	// discardTimeout limits the time for which the body of an answered request is still read.
	discardTimeout = time.Second
	// maxDiscardedBytes is what is read of a refused request, as much as the largest body that a listener takes.
	maxDiscardedBytes = 4 << 20
)

// Answers to a head that is not read to its end. The request has not run.
const (
	refusalTail     = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	answerNoRoom    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + refusalTail
	answerLargeHead = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + refusalTail
)

// accountHead pays for a piece of a head. It returns the answer if the request must be refused.
func (c *conn) accountHead(piece []byte) (refusal string) {
	c.headBytes += int64(len(piece))
	c.headLines += int64(bytes.Count(piece, []byte{'\n'}))
	if c.headBytes > c.maxHeadBytes()+headSlackBytes {
		c.refused(reasonHeadTooLarge)
		return answerLargeHead
	}
	if c.headBytes <= freeHeadBytes && c.headLines <= freeHeadLines {
		return ""
	}
	missing := headByteCost*c.headBytes + headLineCost*c.headLines - c.headPaid
	if missing <= 0 {
		return ""
	}
	missing = max(missing, headQuantum)
	if !c.grow(c.kind.use(memorybudget.UseHeads), missing) {
		return c.noRoom
	}
	c.headPaid += missing
	return ""
}

// maxHeadBytes returns the limit of a head.
func (c *conn) maxHeadBytes() int64 {
	if c.kind == PeerClients {
		return c.budget.Limits().HeadBytes
	}
	return DefaultLimits.HeadBytes
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.move(n)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.tell(kindClose)
	}
	return err
}

// SetReadDeadline implements net.Conn. The server sets a deadline for each head and between two requests; a
// limit of the configuration may be shorter than that of the server, which cannot change while it runs.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.kind == PeerClients && c.inHead.Load() {
		limits := c.budget.Limits()
		switch {
		case t.IsZero():
			c.awaitsRequest.Store(false)
		case c.awaitsRequest.Load():
			t = earlier(t, time.Now().Add(limits.IdleTimeout))
		default:
			t = earlier(t, time.Now().Add(limits.HeaderTimeout))
		}
	}
	return c.Conn.SetReadDeadline(t)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// Attach makes a server tell the budget about the requests on its connections. Its listener must be one of
// Limit, and its handler one of Handler.
func Attach(server *http.Server) {
	nextContext, nextState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, c)
		}
		if held := find(c); held != nil {
			ctx = context.WithValue(ctx, connKey{}, held)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if nextState != nil {
			nextState(c, state)
		}
		if held := find(c); held != nil && state == http.StateIdle {
			held.awaitRequest()
		}
	}
}

// inner is implemented by connections that wrap another one, such as *tls.Conn.
type inner interface{ NetConn() net.Conn }

// find returns the connection of the budget that c is or wraps, or nil.
func find(c net.Conn) *conn {
	for {
		if held, ok := c.(*conn); ok {
			return held
		}
		wrapping, ok := c.(inner)
		if !ok {
			return nil
		}
		c = wrapping.NetConn()
	}
}

// closeSocket closes the innermost connection. Closing one with TLS would wait for a peer that does not read.
func (c *conn) closeSocket() {
	innermost := c.Conn
	for wrapping, ok := innermost.(inner); ok; wrapping, ok = innermost.(inner) {
		innermost = wrapping.NetConn()
	}
	// The owner of the connection sees an error at its next read or write. It may be closed already.
	_ = innermost.Close()
}

// awaitRequest resets the account of the head. The server reads nothing meanwhile.
func (c *conn) awaitRequest() {
	c.headBytes, c.headLines, c.headPaid = 0, 0, 0
	c.awaitsRequest.Store(true)
	c.inHead.Store(true)
	c.tell(kindEndRequest)
}
