package platformsoak

import (
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// link is the state of a proxy.
type link int32

const (
	linkOpen     link = iota
	linkDelayed       // bytes come later by linkDelay
	linkSilent        // open connections stay open, nothing passes
	linkOneWay        // nothing comes back
	linkRefusing      // connections are reset
)

const (
	linkDelay = 150 * time.Millisecond
	linkPoll  = 10 * time.Millisecond
)

// proxy passes TCP connections on to a target and disturbs them.
type proxy struct {
	address string
	target  string
	state   atomic.Int32
	resets  atomic.Int64 // raised to reset all connections
}

func startProxy(t *testing.T, target string) *proxy {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	p := &proxy{address: socket.Addr().String(), target: target}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) set(state link) {
	p.state.Store(int32(state))
	if state == linkRefusing {
		p.resets.Add(1)
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	if link(p.state.Load()) == linkRefusing {
		client.SetLinger(0)
		client.Close()
		return
	}
	opened, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	server := opened.(*net.TCPConn)
	resets := p.resets.Load()
	go p.pass(client, server, resets, false)
	p.pass(server, client, resets, true)
}

// pass copies one direction until it ends or the connection is reset.
func (p *proxy) pass(from, to *net.TCPConn, resets int64, back bool) {
	buffer := make([]byte, 32<<10)
	defer from.Close()
	defer to.Close()
	for {
		n, err := from.Read(buffer)
		for p.holds(back) && p.resets.Load() == resets {
			time.Sleep(linkPoll)
		}
		if p.resets.Load() != resets {
			from.SetLinger(0)
			to.SetLinger(0)
			return
		}
		if link(p.state.Load()) == linkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) holds(back bool) bool {
	state := link(p.state.Load())
	return state == linkSilent || state == linkOneWay && back
}
