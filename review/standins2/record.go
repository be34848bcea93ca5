package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// record is the file that a case writes. Each line begins with the time of day.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	return &record{file: file}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%s  %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
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
