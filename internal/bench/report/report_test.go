package report

import (
	"bytes"
	"encoding/base64"
	"encoding/csv"
	"html"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/internal/bench/commitbench"
	"github.com/godwitlink/godwitlink/internal/bench/controlbench"
	"github.com/godwitlink/godwitlink/internal/bench/logbench"
	"github.com/godwitlink/godwitlink/internal/bench/placementbench"
	"github.com/godwitlink/godwitlink/internal/bench/policybench"
	"github.com/godwitlink/godwitlink/internal/bench/proxybench"
	"github.com/godwitlink/godwitlink/internal/bench/routingbench"
	"github.com/godwitlink/godwitlink/internal/bench/statebench"
)

func sampleFigures() Figures {
	const ms = time.Millisecond
	return Figures{
		Routing: routingbench.Figures{Scenarios: []routingbench.Row{{Scenario: "all well", Method: "random", P50: ms, P99: 9 * ms}}},
		Placement: placementbench.Figures{Rows: []placementbench.Row{
			{Workers: 50, State: "30% full", P50: 3000, P99: 9000}, {Workers: 900, State: "30% full", P50: 5000, P99: 20000},
		}},
		Log: logbench.Figures{Rows: []logbench.Row{
			{InFlight: 1, Mode: "pipelined", CommitRow: logbench.CommitRow{PerSecond: 500, P99: 2 * ms}},
		}},
		Control: controlbench.Figures{{Workers: 50, BytesPerSecond: 700, CPU: 0.2, Memory: 1 << 25}, {Workers: 900, BytesPerSecond: 690, CPU: 2, Memory: 1 << 28}},
		Policy:  policybench.Figures{{Policy: "first-fit", Waits: []policybench.Wait{{Class: "urgent", P50: 0.1, P99: 5}}, Packing: 0.9}},
		Commit: commitbench.Figures{Commits: []commitbench.CommitRow{
			{Version: "plain", InFlight: 1, PerSecond: 300, P99: 4 * ms}, {Version: "group commit", InFlight: 1, PerSecond: 900, P99: 2 * ms},
		}},
		Proxy: proxybench.Figures{Rows: []proxybench.Row{{Variant: "direct GET", PerSecond: 50000, P50: ms}}},
		State: statebench.Figures{{
			Workers: 50, Commands: []*statebench.Cost{{Kind: "submit job", Count: 2, Bytes: 400, Total: ms}},
			Memory: []statebench.MemoryCost{{Kind: "worker", Count: 50, Heap: 50000, Snapshot: 5000}},
		}},
	}
}

// Guards against a report that lacks the CSV file, the table or the pictures of a benchmark.
func TestReportHasAllBenchmarks(t *testing.T) {
	folder, f := t.TempDir(), sampleFigures()
	if err := write(folder, f, page{Command: "godwit-bench report", Processors: 3}); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(filepath.Join(folder, PageFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"routing", "placement", "log", "control", "policy", "commit", "proxy", "state"} {
		checkCSV(t, filepath.Join(folder, name+".csv"))
		if !bytes.Contains(content, []byte(`<h2 id="`+name+`">`)) {
			t.Errorf("no section %s", name)
		}
		for _, c := range f.charts(name) {
			checkPicture(t, c, html.UnescapeString(string(content)))
		}
	}
	for _, want := range []string{"godwit-bench report", "Processors: 3", "first-fit", "direct GET", "submit job"} {
		if !bytes.Contains(content, []byte(want)) {
			t.Errorf("the page has no %q", want)
		}
	}
}

func checkCSV(t *testing.T, path string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Error(err)
		return
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil || len(rows) < 2 {
		t.Errorf("%s: %d rows, error %v", path, len(rows), err)
	}
}

// checkPicture checks that the page has a valid PNG picture of the chart.
func checkPicture(t *testing.T, c chart, page string) {
	t.Helper()
	_, after, found := strings.Cut(page, `alt="`+c.title+`" src="data:image/png;base64,`)
	encoded, _, _ := strings.Cut(after, `"`)
	data, err := base64.StdEncoding.DecodeString(encoded)
	if !found || err != nil {
		t.Errorf("the page has no picture %s: %v", c.name, err)
		return
	}
	if _, err := png.Decode(bytes.NewReader(data)); err != nil {
		t.Errorf("%s: %v", c.name, err)
	}
}

// Guards against an empty picture, and against a panic on a logarithmic axis, for a chart whose only
// point cannot be shown.
func TestEmptyChartIsRefused(t *testing.T) {
	empty := chart{name: "empty", xLog: true, series: []series{{name: "zero", points: []point{{0, 1}}}}}
	if err := writePNG(&bytes.Buffer{}, empty); err == nil {
		t.Error("no error for a chart without points")
	}
}
