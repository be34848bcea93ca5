// Package slowlink is connections for tests that pass bytes at the rate of a slow
// link in both directions.
package slowlink

import (
	"context"
	"net"
	"slices"
	"time"
)

// chunksPerSecond is how often bytes pass in a second. More would need shorter sleeps than
// a busy machine keeps to.
const chunksPerSecond = 50

// Listener accepts connections with a rate in bytes per second. Where StopAfter
// is above 0, what a connection writes after so many bytes is lost on the way.
type Listener struct {
	net.Listener
	Rate      int
	StopAfter int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, link: l}, nil
}

// Dial is the dialer of an http.Transport whose requests pass a slow link with a
// rate in bytes per second.
func Dial(rate int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed, link: Listener{Rate: rate}}, nil
	}
}

// conn is used by one reader and one writer at a time, as net/http does.
type conn struct {
	net.Conn
	link    Listener
	written int
}

func (c *conn) chunkBytes() int { return c.link.Rate / chunksPerSecond }

func (c *conn) delay(n int) { time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.Rate)) }

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), c.chunkBytes())])
	c.delay(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for part := range slices.Chunk(data, c.chunkBytes()) {
		c.written += len(part)
		if c.link.StopAfter > 0 && c.written > c.link.StopAfter {
			return len(data), nil
		}
		c.delay(len(part))
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
