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

// Settings are the sizes and times of a run.
type Settings struct {
	MeasureTime       time.Duration // duration of one measurement; each variant is measured Rounds times
	Rounds            int           // the variants alternate in each round, so that drift affects all equally
	ThroughputCallers int           // concurrent callers in the measurement of throughput
	DelayCallers      int           // concurrent callers in the measurement of delay
	IdleConnections   int           // idle connections in the measurement of memory
}

// DefaultSettings returns the settings of the published comparison. A run takes about 10 s.
func DefaultSettings() Settings {
	return Settings{MeasureTime: 200 * time.Millisecond, Rounds: 4, ThroughputCallers: 32, DelayCallers: 4, IdleConnections: 1000}
}

// variant is one way to reach the backend server.
type variant struct {
	name    string
	method  string
	url     string
	delays  []time.Duration
	count   int
	failed  int
	elapsed time.Duration
}

// Run measures all variants and prints a table.
func Run(ctx context.Context, w io.Writer, settings Settings) error {
	f, err := Measure(ctx, settings)
	if err != nil {
		return err
	}
	return f.Print(w)
}

// Measure measures all variants.
func Measure(ctx context.Context, settings Settings) (Figures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSetup(ctx)
	if err != nil {
		return Figures{}, err
	}
	defer s.close()
	throughput, delay := s.variants(), s.variants()
	for range settings.Rounds {
		for _, v := range throughput {
			v.measure(settings.ThroughputCallers, settings.MeasureTime)
		}
		for _, v := range delay {
			v.measure(settings.DelayCallers, settings.MeasureTime)
		}
	}
	perConnection, err := s.idleMemory(settings.IdleConnections)
	if err != nil {
		return Figures{}, err
	}
	return newFigures(settings, throughput, delay, perConnection), nil
}

func (s *setup) variants() []*variant {
	return []*variant{
		{name: "direct GET", method: http.MethodGet, url: s.direct + "/bench/a"},
		{name: "ReverseProxy GET", method: http.MethodGet, url: s.proxy + "/bench/a"},
		{name: "gateway GET", method: http.MethodGet, url: s.gateway + "/bench/a"},
		{name: "ReverseProxy POST", method: http.MethodPost, url: s.proxy + "/bench/a"},
		{name: "gateway POST", method: http.MethodPost, url: s.gateway + "/bench/a"},
	}
}

// callerResult holds the delays of the successful requests of one caller and the number of its
// failed requests.
type callerResult struct {
	delays []time.Duration
	failed int
}

// measure runs several callers concurrently for measureTime. Each caller sends its requests one after
// the other.
func (v *variant) measure(callers int, measureTime time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	results := make(chan callerResult, callers)
	start := time.Now()
	for range callers {
		go func() { results <- v.runCaller(transport, start.Add(measureTime)) }()
	}
	for range callers {
		m := <-results
		v.delays = append(v.delays, m.delays...)
		v.count += len(m.delays)
		v.failed += m.failed
	}
	v.elapsed += time.Since(start)
}

func (v *variant) runCaller(transport *http.Transport, end time.Time) callerResult {
	var m callerResult
	for time.Now().Before(end) {
		sent := time.Now()
		if err := v.sendRequest(transport); err != nil {
			m.failed++
			continue
		}
		m.delays = append(m.delays, time.Since(sent))
	}
	return m
}

func (v *variant) sendRequest(transport *http.Transport) error {
	var body io.Reader
	if v.method == http.MethodPost {
		body = strings.NewReader("a small body")
	}
	req, err := http.NewRequest(v.method, v.url, body)
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

func (v *variant) rate() float64 { return float64(v.count) / v.elapsed.Seconds() }

func (v *variant) percentile(share float64) time.Duration {
	if len(v.delays) == 0 {
		return 0
	}
	slices.Sort(v.delays)
	return v.delays[min(len(v.delays)-1, int(share*float64(len(v.delays))))]
}

// idleMemory returns the bytes that an idle connection between a caller and the gateway uses in this
// process, including the caller's end.
func (s *setup) idleMemory(connections int) (int64, error) {
	before := memoryInUse()
	address := strings.TrimPrefix(s.gateway, "http://")
	for range connections {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		if err := sendRequestOn(conn); err != nil {
			return 0, err
		}
	}
	return (memoryInUse() - before) / int64(connections), nil
}

func sendRequestOn(conn net.Conn) error {
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
