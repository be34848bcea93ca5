package proxybench

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"
)

// Settings are the bounds of a run.
type Settings struct {
	Piece       time.Duration // of one measurement; each arm has Rounds of them
	Rounds      int           // the arms take turns, so that drift hits all alike
	Busy        int           // callers at once for the throughput
	Quiet       int           // callers at once for the delay
	Connections int           // idle connections for the memory
}

// DefaultSettings take about 10 s.
func DefaultSettings() Settings {
	return Settings{Piece: 200 * time.Millisecond, Rounds: 4, Busy: 32, Quiet: 4, Connections: 1000}
}

// arm is one way to reach the backend server.
type arm struct {
	name   string
	method string
	url    string
	delays []time.Duration
	count  int
	failed int
	spent  time.Duration
}

// Run measures all arms and prints a table.
func Run(ctx context.Context, w io.Writer, settings Settings) error {
	f, err := Measure(ctx, settings)
	if err != nil {
		return err
	}
	return f.Print(w)
}

// Measure measures all arms.
func Measure(ctx context.Context, settings Settings) (Figures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSetup(ctx)
	if err != nil {
		return Figures{}, err
	}
	defer s.close()
	busy, quiet := s.arms(), s.arms()
	for range settings.Rounds {
		for _, a := range busy {
			a.measure(settings.Busy, settings.Piece)
		}
		for _, a := range quiet {
			a.measure(settings.Quiet, settings.Piece)
		}
	}
	perConnection, err := s.idleMemory(settings.Connections)
	if err != nil {
		return Figures{}, err
	}
	return newFigures(settings, busy, quiet, perConnection), nil
}

func (s *setup) arms() []*arm {
	return []*arm{
		{name: "direct GET", method: http.MethodGet, url: s.direct + "/bench/a"},
		{name: "ReverseProxy GET", method: http.MethodGet, url: s.proxy + "/bench/a"},
		{name: "gateway GET", method: http.MethodGet, url: s.gateway + "/bench/a"},
		{name: "ReverseProxy POST", method: http.MethodPost, url: s.proxy + "/bench/a"},
		{name: "gateway POST", method: http.MethodPost, url: s.gateway + "/bench/a"},
	}
}

// measured is what one caller found.
type measured struct {
	delays []time.Duration
	failed int
}

// measure sends requests from several callers, each one after the other.
func (a *arm) measure(callers int, piece time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	results := make(chan measured, callers)
	start := time.Now()
	for range callers {
		go func() { results <- a.caller(transport, start.Add(piece)) }()
	}
	for range callers {
		m := <-results
		a.delays = append(a.delays, m.delays...)
		a.count += len(m.delays)
		a.failed += m.failed
	}
	a.spent += time.Since(start)
}

func (a *arm) caller(transport *http.Transport, end time.Time) measured {
	var m measured
	for time.Now().Before(end) {
		sent := time.Now()
		if err := a.once(transport); err != nil {
			m.failed++
			continue
		}
		m.delays = append(m.delays, time.Since(sent))
	}
	return m
}

func (a *arm) once(transport *http.Transport) error {
	var body io.Reader
	if a.method == http.MethodPost {
		body = strings.NewReader("a small body")
	}
	req, err := http.NewRequest(a.method, a.url, body)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != answerBytes) {
		err = fmt.Errorf("status %d with %d bytes", resp.StatusCode, n)
	}
	return err
}

func (a *arm) rate() float64 { return float64(a.count) / a.spent.Seconds() }

func (a *arm) percentile(share float64) time.Duration {
	if len(a.delays) == 0 {
		return 0
	}
	slices.Sort(a.delays)
	return a.delays[min(len(a.delays)-1, int(share*float64(len(a.delays))))]
}

// idleMemory returns the bytes that an idle connection of a caller holds in
// this process, with the caller's end of it.
func (s *setup) idleMemory(connections int) (int64, error) {
	before := memoryInUse()
	address := strings.TrimPrefix(s.gateway, "http://")
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		if err := onceOn(conn); err != nil {
			return 0, err
		}
	}
	return (memoryInUse() - before) / int64(connections), nil
}

func onceOn(conn net.Conn) error {
	if _, err := io.WriteString(conn, "GET /bench/a HTTP/1.1\r\nHost: bench\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
