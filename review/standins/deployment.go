package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// Ports of the programs; each program has an address of its own.
const (
	portControl  = 7001
	portInternal = 7002
	portMetrics  = 7003
	portClients  = 7004
	portReady    = 7005
	portAdviser  = 7006
	portWorkers  = 20000 // port of the first worker
	seedCount    = 3     // control processes that the settings name
)

// deployment is the set of programs of one run.
type deployment struct {
	dir, network      string
	controls, entries int
	spares            int
	recordFile        string
	trouble           bool
}

func (d deployment) controlIP(i int) string { return fmt.Sprintf("%s.1.%d", d.network, i+1) }
func (d deployment) entryIP(i int) string   { return fmt.Sprintf("%s.2.%d", d.network, i+1) }
func (d deployment) standinIP() string      { return d.network + ".3.1" }
func (d deployment) adviser() string        { return fmt.Sprintf("%s:%d", d.standinIP(), portAdviser) }

// writeSettings writes one settings file for each program, as the templates in deploy/ render them
// for a site with 5 core machines.
func (d deployment) writeSettings() error {
	var seeds []string
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.controlIP(i), portControl))
	}
	common := func(name, ip string) string {
		return fmt.Sprintf("name = %q\nregion = \"r\"\nfailure_domain = \"z\"\nlog_level = \"info\"\nlisten_internal = \"%s:%d\"\nlisten_metrics = \"%s:%d\"\n"+
			"open_files = 4096\nseeds = %s\nadviser = %q\n", name, ip, portInternal, ip, portMetrics, quoteAll(seeds), d.adviser())
	}
	for i := range d.controls + d.spares {
		name, ip := fmt.Sprintf("control-%d", i), d.controlIP(i)
		for _, bootstrap := range []bool{true, false} {
			text := common(name, ip) + fmt.Sprintf("memory_mb = 280\nlisten_control = \"%s:%d\"\ntolerate_replicas = %d\ndata_dir = %q\ndisk_mb = 128\nworker_lease_max = \"6000ms\"\nbootstrap = %v\n",
				ip, portControl, (d.controls-1)/2, filepath.Join(d.dir, name), bootstrap)
			file := name + ".toml"
			if i >= d.controls && bootstrap {
				continue
			}
			if !bootstrap && i < d.controls {
				file = name + ".again.toml"
			}
			if err := os.WriteFile(filepath.Join(d.dir, file), []byte(text), 0o600); err != nil {
				return err
			}
		}
	}
	for i := range d.entries {
		name, ip := fmt.Sprintf("entry-%d", i), d.entryIP(i)
		text := common(name, ip) + fmt.Sprintf("memory_mb = 284\nlisten_clients = \"%s:%d\"\nlisten_ready = \"%s:%d\"\nstop_grace = \"6s\"\n", ip, portClients, ip, portReady)
		if err := os.WriteFile(filepath.Join(d.dir, name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// pid returns the process id of a program, which the script has written, or 0.
func (d deployment) pid(name string) int {
	text, err := os.ReadFile(filepath.Join(d.dir, name+".pid"))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return pid
}

// signal sends a signal to a program.
func (d deployment) signal(name string, signal syscall.Signal) {
	if pid := d.pid(name); pid > 1 {
		// The process may have ended.
		_ = syscall.Kill(pid, signal)
	}
}
