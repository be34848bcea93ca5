package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes. Each line begins with the seconds since the start of the case.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	// A record that cannot be written shows in the missing lines.
	_, _ = r.file.WriteString(line)
}

func (r *record) close() { _ = r.file.Close() }

// portCount is the number of ports that a script needs: for workers and operators, between the processes,
// for metrics, for clients and for readiness.
const portCount = 5

// printPorts prints free ports of a loopback address.
func printPorts(ip string) int {
	var listeners []net.Listener
	for range portCount {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitCouldNot
		}
		listeners = append(listeners, listener)
	}
	for _, listener := range listeners {
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
		_ = listener.Close()
	}
	return exitHeld
}
