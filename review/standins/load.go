package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Load of the site aelc-turnos.
const (
	jobsPerSecond = 56.7
	burstFactor   = 2.3 // the largest x of burst in the site file
	loadTime      = 106 * time.Second
	specBytes     = 4000 // the largest spec that PROTOCOL.md allows
	// memoryLimitMB is limits.memoryMb of a core machine. The platform kills a process that uses more.
	memoryLimitMB  = 280
	memoryInterval = 10 * time.Millisecond
	// The rule is broken if the processes of minCrashedMachines machines end endsInADay times each.
	endsInADay         = 3
	minCrashedMachines = 2
)

// loadScenario (review/5) hands jobs in at the rate of the site, or with bursts, and kills a control process that
// uses more memory than its machine has, as the platform does.
func loadScenario(c *cell) {
	if !c.begin(48) {
		return
	}
	rate := jobsPerSecond
	if c.trouble {
		rate *= burstFactor
	}
	trafficEnded := make(chan struct{})
	crashed := make(chan struct{})
	go c.enforceMemory(trafficEnded, crashed)
	began := time.Now()
	for n := 0; time.Since(began) < loadTime; n++ {
		select {
		case <-crashed:
			return
		case <-time.After(time.Until(began.Add(time.Duration(float64(n) / rate * float64(time.Second))))):
		}
		spec := strings.Repeat("x", specBytes-8) + fmt.Sprintf("%08x", rand.Uint32())
		j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: spec, steps: 4, tasks: 1, taskTime: 300 * time.Millisecond}
		go c.submit(j, 2000)
	}
	close(trafficEnded)
}

// enforceMemory kills the control processes that use more memory than they may, until enough of them have
// ended so often that the rule is broken.
func (c *cell) enforceMemory(ended <-chan struct{}, crashed chan<- struct{}) {
	killed, ends := make([]int, c.controls), make([]int, c.controls) // process ids, and how often each ended
	defer func() {
		c.log("ends of the control processes for their memory: %v", ends)
		fmt.Println("ends of the control processes for their memory:", ends)
	}()
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryInterval):
		}
		for i := range c.controls {
			name := fmt.Sprintf("control-%d", i)
			pid := c.pid(name)
			if mb := memoryMB(pid); mb > memoryLimitMB && pid != killed[i] {
				killed[i] = pid
				ends[i]++
				c.log("%s uses %d MB and is killed", name, mb)
				c.signal(name, syscall.SIGKILL)
			}
		}
		machines := 0
		for _, count := range ends {
			if count >= endsInADay {
				machines++
			}
		}
		if machines >= minCrashedMachines {
			c.breach("Fault: processes on %d core machines ended %d times each, for more than %d MB of memory", machines, endsInADay, memoryLimitMB)
			close(crashed)
			return
		}
	}
}

// memoryMB returns the memory of a process, without that of its files, or 0 if it does not run.
func memoryMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kb / 1024
		}
	}
	return 0
}
