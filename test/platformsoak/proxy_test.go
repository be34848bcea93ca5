package platformsoak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// linkState defines how a proxy treats its connections.
type linkState int32

const (
	linkOpen      linkState = iota
	linkDelayed             // data is delayed by linkDelay
	linkBlackhole           // connections stay open but forward no data
	linkNoReplies           // data to the client is held back
	linkReset               // open and new connections are reset
)

const (
	linkDelay        = 150 * time.Millisecond
	linkPollInterval = 10 * time.Millisecond
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	address    string
	target     string
	state      atomic.Int32
	resetCount atomic.Int64 // incremented to reset all open connections

	// clientOf returns the process at the client's end of a connection.
	clientOf func(*net.TCPConn) *process
	cut      atomic.Pointer[clientCut] // nil if no single process is cut off
	heldBack atomic.Int64              // reads whose data was held back because of cut
	// releasedAt is the last time, in Unix milliseconds, at which calls that had been held back were
	// passed on.
	releasedAt atomic.Int64
	// changedAt is when the state or the cut last changed, in Unix milliseconds.
	changedAt atomic.Int64
}

// clientCut is the state of a link for one process.
type clientCut struct {
	process *process
	state   linkState
}

func startProxy(t *testing.T, target string) *proxy { return startClientProxy(t, target, nil) }

// startClientProxy starts a proxy that knows the processes of its clients.
func startClientProxy(t *testing.T, target string, clientOf func(*net.TCPConn) *process) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &proxy{address: listener.Addr().String(), target: target, clientOf: clientOf}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *proxy) setCut(cut *clientCut) {
	p.cut.Store(cut)
	p.changedAt.Store(time.Now().UnixMilli())
}

// openFor returns for how long calls and responses of all processes have passed.
func (p *proxy) openFor(now time.Time) time.Duration {
	if state := linkState(p.state.Load()); state != linkOpen && state != linkDelayed || p.cut.Load() != nil {
		return 0
	}
	return now.Sub(time.UnixMilli(p.changedAt.Load()))
}

func (p *proxy) set(state linkState) {
	p.state.Store(int32(state))
	p.changedAt.Store(time.Now().UnixMilli())
	if state == linkReset {
		p.resetCount.Add(1)
	}
}

func (p *proxy) serve(client *net.TCPConn) {
	if linkState(p.state.Load()) == linkReset {
		client.SetLinger(0)
		client.Close()
		return
	}
	conn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	resetCount := p.resetCount.Load()
	// The process is looked up only for a cut, because that takes several milliseconds.
	caller := sync.OnceValue(func() *process { return p.clientOf(client) })
	go p.forward(client, server, resetCount, caller, false)
	p.forward(server, client, resetCount, caller, true)
}

// forward copies one direction of a connection until it is closed or reset.
func (p *proxy) forward(from, to *net.TCPConn, resetCount int64, caller func() *process, toClient bool) {
	buffer := make([]byte, 32<<10)
	defer from.Close()
	defer to.Close()
	for {
		n, err := from.Read(buffer)
		if p.cutFrom(caller, toClient) {
			p.heldBack.Add(1)
		}
		for p.blocks(caller, toClient) && p.resetCount.Load() == resetCount {
			time.Sleep(linkPollInterval)
			if !toClient {
				p.releasedAt.Store(time.Now().UnixMilli())
			}
		}
		if p.resetCount.Load() != resetCount {
			from.SetLinger(0)
			to.SetLinger(0)
			return
		}
		if linkState(p.state.Load()) == linkDelayed {
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

// blocks reports whether data of a direction is held back from or for a process.
func (p *proxy) blocks(caller func() *process, toClient bool) bool {
	return linkState(p.state.Load()).blocks(toClient) || p.cutFrom(caller, toClient)
}

// cutFrom reports whether data of a direction is held back from or for a single process.
func (p *proxy) cutFrom(caller func() *process, toClient bool) bool {
	cut := p.cut.Load()
	return cut != nil && cut.state.blocks(toClient) && cut.process == caller()
}

func (s linkState) blocks(toClient bool) bool {
	return s == linkBlackhole || s == linkNoReplies && toClient
}
