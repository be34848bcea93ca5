package report

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// PageFile is the name of the page in the report's folder.
const PageFile = "report.html"

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Options of a report.
type Options struct {
	Out     string // folder of the report; created if it does not exist
	Folder  string // holds the data folders of the benchmarks; on the disk to measure
	Quick   bool   // use smaller sizes and shorter times
	Command string // command line shown on the page
}

// Run runs all benchmarks and writes the report. It writes each step to progress.
func Run(ctx context.Context, progress io.Writer, o Options) error {
	if err := os.MkdirAll(o.Out, folderMode); err != nil {
		return err
	}
	sizes := fullOptions(o.Folder)
	if o.Quick {
		sizes = quickOptions(o.Folder)
	}
	began := time.Now()
	f, err := collect(ctx, progress, sizes)
	if err != nil {
		return err
	}
	p := page{Command: o.Command, Date: began, Processors: runtime.NumCPU(), Took: time.Since(began).Round(time.Second)}
	if err := write(o.Out, f, p); err != nil {
		return err
	}
	fmt.Fprintln(progress, "wrote", filepath.Join(o.Out, PageFile))
	return nil
}

// write writes the page and the CSV files of a report.
func write(folder string, f Figures, p page) error {
	for _, data := range f.dataSets() {
		s := section{Name: data.name, CSV: data.name + ".csv"}
		var table strings.Builder
		if err := f.print(&table, data.name); err != nil {
			return err
		}
		s.Table = table.String()
		for _, c := range f.charts(data.name) {
			var png bytes.Buffer
			if err := writePNG(&png, c); err != nil {
				return err
			}
			s.Pictures = append(s.Pictures, newPicture(c.title, png.Bytes()))
		}
		var csv bytes.Buffer
		if err := writeCSV(&csv, data.samples); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, s.CSV), csv.Bytes(), fileMode); err != nil {
			return err
		}
		p.Sections = append(p.Sections, s)
	}
	var html bytes.Buffer
	if err := p.write(&html); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, PageFile), html.Bytes(), fileMode)
}

// print writes the tables of a benchmark.
func (f Figures) print(w io.Writer, benchmark string) error {
	printers := map[string]interface{ Print(io.Writer) error }{
		"routing": f.Routing, "placement": f.Placement, "log": f.Log, "control": f.Control,
		"policy": f.Policy, "commit": f.Commit, "proxy": f.Proxy, "state": f.State,
	}
	return printers[benchmark].Print(w)
}
