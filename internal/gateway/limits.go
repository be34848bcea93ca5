package gateway

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/godwitlink/godwitlink/core/exchange"
)

// Limits of callers' connections.
const (
	headerTimeout     = 5 * time.Second
	callerIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 32 << 10
	headerReadSlack   = 4 << 10 // bytes that net/http reads beyond MaxHeaderBytes
)

// connContextKey is the context key of a caller's connection.
type connContextKey struct{}

// CallerServer returns an HTTP server with the gateway's limits for callers. It must
// serve a listener from CallerListener.
func (g *Gateway) CallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.checkFraming(handler),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(discardWriter{}, "", 0), // malformed requests are counted
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
		ConnState: func(conn net.Conn, s http.ConnState) {
			if caller, ok := conn.(*callerConn); ok && s == http.StateIdle {
				caller.resetRequest()
			}
		},
	}
}

// checkFraming wraps a handler. It refuses requests with ambiguous framing and records that
// a handler has the request, so that its answer is written unchanged.
func (g *Gateway) checkFraming(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if conn, ok := req.Context().Value(connContextKey{}).(*callerConn); ok {
			conn.handlerCalled.Store(true)
		}
		if hasAmbiguousFraming(req) {
			w.Header().Set("Connection", "close")
			g.refuse(w, req, newRefusal(exchange.ReasonBadRequest, 0, "body is framed in two ways"))
			return
		}
		handler.ServeHTTP(w, req)
	})
}

type discardWriter struct{}

// Write implements io.Writer.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// CallerListener returns a listener that limits the number of connections and checks
// the framing of requests. With TLS it must wrap the TLS listener. Connections above
// the limit are answered as overloaded and closed.
func (g *Gateway) CallerListener(l net.Listener, maxConnections int) net.Listener {
	return &callerListener{Listener: l, gateway: g, limit: int64(maxConnections)}
}

type callerListener struct {
	net.Listener
	gateway   *Gateway
	limit     int64
	openConns atomic.Int64
}

// OverloadedAnswer is sent to a caller above the connection limit, or without memory for
// its head. Its outcome is unknown, because the request is not read and an earlier one
// with the same key may have run.
const OverloadedAnswer = "HTTP/1.1 503 Service Unavailable\r\nGodwit-Outcome: unknown\r\n" +
	"Godwit-Reason: overloaded\r\nRetry-After: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// overloadedAnswerTimeout limits the time to write OverloadedAnswer.
const overloadedAnswerTimeout = 100 * time.Millisecond

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.limit {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.openConns.Add(-1)
		l.refuse(conn)
	}
}

func (l *callerListener) refuse(conn net.Conn) {
	l.gateway.opts.Metrics.Add(metricConnectionsRefused, string(exchange.ReasonOverloaded), 1)
	// Errors are ignored: the caller then sees a closed connection without an answer.
	_ = conn.SetDeadline(time.Now().Add(overloadedAnswerTimeout))
	_, _ = conn.Write([]byte(OverloadedAnswer))
	_ = conn.Close()
}

// framing describes how the end of the current request's body is determined.
type framing int32

const (
	framingUnknown     framing = iota // head not seen, or read together with the previous request
	framingUnambiguous                // at most one of Content-Length and Transfer-Encoding
	framingAmbiguous                  // both Content-Length and Transfer-Encoding
)

// callerConn checks the head of each request for both Content-Length and
// Transfer-Encoding, because net/http drops the Content-Length in this case before a
// handler can refuse the request. It also adds the reason code to the answers that
// net/http generates.
type callerConn struct {
	net.Conn
	listener      *callerListener
	closed        atomic.Bool
	head          []byte // bytes of the current request's head; used only by Read
	framing       atomic.Int32
	handlerCalled atomic.Bool // a handler has received the current request
}

// maxKeptHeadBytes is the largest buffer that an idle connection keeps for the next head.
const maxKeptHeadBytes = 4 << 10

// resetRequest resets the state between two requests. No Read is running then.
func (c *callerConn) resetRequest() {
	if c.head = c.head[:0]; cap(c.head) > maxKeptHeadBytes {
		c.head = nil
	}
	c.framing.Store(int32(framingUnknown))
	c.handlerCalled.Store(false)
}

// NetConn returns the connection that c wraps, like the method of *tls.Conn.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && framing(c.framing.Load()) == framingUnknown && len(c.head) < maxHeaderBytes+headerReadSlack {
		c.scanHead(p[:n])
	}
	return n, err
}

var headEnd = []byte("\r\n\r\n")

func (c *callerConn) scanHead(piece []byte) {
	c.head = append(c.head, piece...)
	end := bytes.Index(c.head, headEnd)
	if end < 0 {
		return
	}
	c.framing.Store(int32(detectFraming(c.head[:end])))
}

func detectFraming(head []byte) framing {
	lower := bytes.ToLower(head)
	hasLength := bytes.Contains(lower, []byte("\ncontent-length:"))
	hasEncoding := bytes.Contains(lower, []byte("\ntransfer-encoding:"))
	if hasLength && hasEncoding {
		return framingAmbiguous
	}
	return framingUnambiguous
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	if !c.handlerCalled.Load() && bytes.HasPrefix(p, []byte("HTTP/1.1 4")) {
		if err := c.writeGeneratedAnswer(p); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	return c.Conn.Write(p)
}

var crlf = []byte("\r\n")

// writeGeneratedAnswer writes the answer that net/http generates for a malformed or oversize
// head, with the outcome and the reason added.
func (c *callerConn) writeGeneratedAnswer(p []byte) error {
	status, rest, _ := bytes.Cut(p, crlf)
	reason := exchange.ReasonBadRequest
	if bytes.Contains(status, []byte(" 431")) {
		reason = exchange.ReasonTooLarge
	}
	c.listener.gateway.opts.Metrics.Add(metricRefusals, string(reason), 1)
	extra := "\r\nGodwit-Outcome: not-run\r\nGodwit-Reason: " + string(reason) + "\r\n"
	_, err := c.Conn.Write(slices.Concat(status, []byte(extra), rest))
	return err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// hasAmbiguousFraming reports whether a chunked request also has a Content-Length. A chunked
// request whose head was read together with the previous request counts as ambiguous.
func hasAmbiguousFraming(req *http.Request) bool {
	conn, ok := req.Context().Value(connContextKey{}).(*callerConn)
	if !ok {
		return false
	}
	return len(req.TransferEncoding) > 0 && framing(conn.framing.Load()) != framingUnambiguous
}
