// Package slowlink provides network connections for tests that limit the throughput in both
// directions to that of a slow link.
package slowlink

import (
	"context"
	"net"
	"slices"
	"time"
)

// chunksPerSecond is how many chunks a connection transfers per second. A higher value would need
// sleeps that are too short to be accurate on a busy machine.
const chunksPerSecond = 50

// Listener accepts connections that are limited to BytesPerSecond. When DropAfterBytes is above 0,
// each connection silently discards what it writes after that many bytes.
type Listener struct {
	net.Listener
	BytesPerSecond int
	DropAfterBytes int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, link: l}, nil
}

// Dial returns a dial function for an http.Transport whose connections are limited to rate bytes
// per second.
func Dial(rate int) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed, link: Listener{BytesPerSecond: rate}}, nil
	}
}

// conn is a connection with a limited rate. At most one goroutine may read and one may write at a
// time, as in net/http.
type conn struct {
	net.Conn
	link    Listener
	written int
}

func (c *conn) chunkBytes() int { return c.link.BytesPerSecond / chunksPerSecond }

func (c *conn) delay(n int) {
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.BytesPerSecond))
}

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
		if c.link.DropAfterBytes > 0 && c.written > c.link.DropAfterBytes {
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
