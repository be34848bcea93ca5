package hostileclients

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Size of a crowd. A client whose connection is closed comes back on a new one until it has used up its
// connections.
const (
	entryCrowd           = 400
	controlCrowd         = 48
	idleCrowd            = 1500 // more than the sockets that callers can use with openFiles
	connectionsPerClient = 3
)

// crowdTimeout ends the wait for clients whose data the process does not read.
const crowdTimeout = 20 * time.Second

// traffic sends the data of one client on a connection. finish reports whether this client completes its
// request; the others stop just short of the end and keep the connection open.
type traffic func(conn net.Conn, finish bool) error

// oneInFive is the share of the clients that complete their requests.
const oneInFive = 5

// startCrowd runs the clients until the test ends. It returns when each has sent what it can.
func startCrowd(t *testing.T, address string, clients int, send traffic) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running, sending sync.WaitGroup
	var connections atomic.Int64
	for i := range clients {
		sending.Add(1)
		running.Go(func() {
			var sent sync.Once
			defer sent.Do(sending.Done)
			for range connectionsPerClient {
				if ctx.Err() != nil {
					return
				}
				conn, err := net.DialTimeout("tcp", address, 5*time.Second)
				if err != nil {
					continue
				}
				connections.Add(1)
				stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
				if send(conn, i%oneInFive == 0) == nil {
					sent.Do(sending.Done)
					// Ends when the process or the test closes the connection.
					_, _ = io.Copy(io.Discard, conn)
				}
				stopClose()
				_ = conn.Close() // may be closed already
			}
		})
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	done := make(chan struct{})
	go func() { sending.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(crowdTimeout):
	}
	t.Logf("%d clients have opened %d connections", clients, connections.Load())
}

// write sends all pieces.
func write(conn net.Conn, pieces ...[]byte) error {
	for _, piece := range pieces {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
