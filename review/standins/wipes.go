package main

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Doses of the disk losses.
const (
	wipeRounds = 32
	// joinTime is how long a machine with an empty disk runs before it loses its disk again.
	joinTime = 900 * time.Millisecond
	// restTime is how long all machines run before the last two disks are lost: catchUpS of the site,
	// 4 s, after which none counts as lost any more, and as much again.
	restTime = 8 * time.Second
	// recoveryTime is recoveryS of the site.
	recoveryTime = 12 * time.Second
)

// loseDisks kills control processes and removes their data folders. The script starts them again.
func (c *cell) loseDisks(names ...string) {
	for _, name := range names {
		pid := c.pid(name)
		c.signal(name, syscall.SIGKILL)
		for range 100 {
			if syscall.Kill(pid, 0) != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
			c.giveUp("%v", err)
		}
	}
	c.log("disks lost: %v", names)
}

// wipesScenario (review/2) lets two machines of the core lose their disks again and again, and then, when all
// machines have been back for longer than catchUpS, the two others. Never more than two are lost.
func wipesScenario(c *cell) {
	if !c.begin(4) {
		return
	}
	trafficEnded := make(chan struct{})
	go c.submitUntil(trafficEnded)
	for round := 0; c.trouble && round < envInt("ROUNDS", wipeRounds); round++ {
		c.loseDisks("control-3", "control-4")
		time.Sleep(joinTime)
	}
	time.Sleep(restTime)
	newest := c.changeConfiguration(routesAtFirst, 3)
	c.log("newest acknowledged version: %d", newest)
	close(trafficEnded)
	time.Sleep(time.Second)
	if c.trouble {
		c.loseDisks("control-0", "control-1")
	}
	time.Sleep(max(recoveryTime, finishTime))
	c.checkJobs()
	c.checkConfiguration(newest)
}
