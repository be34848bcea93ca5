package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// serviceTimeout is how long the system may take to serve: recoveryS of the site, 12 s, after the last
// machine is back, and a generous addition.
const serviceTimeout = 60 * time.Second

// servesScenario (review/4) hands the first configuration in, again and again as the operator does, and then one
// job. The rule holds if the configuration is acknowledged and the job is done in time.
func servesScenario(c *cell) {
	if err := c.startWorkers(4); err != nil {
		c.giveUp("workers: %v", err)
		return
	}
	began := time.Now()
	for i := 0; ; i++ {
		status, _, err := c.post(c.reportClient, "http://"+c.controlAddress(i)+"/godwitlink/Config.Replace", configuration(1, routesAtFirst))
		c.count(fmt.Sprintf("replace %d", status))
		if err == nil && status == http.StatusOK {
			c.log("configuration 1 acknowledged by %s", c.controlAddress(i))
			break
		}
		if time.Since(began) > serviceTimeout {
			c.breach("no control process has acknowledged the first configuration in %v", serviceTimeout)
			return
		}
		if i%20 == 0 {
			c.log("configuration 1: status %d from %s", status, c.controlAddress(i))
		}
		time.Sleep(100 * time.Millisecond)
	}
	fmt.Println("acknowledged after", time.Since(began))
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: "x", tasks: 2, taskTime: 300 * time.Millisecond}
	for !c.submit(j, 1000) {
		if time.Since(began) > serviceTimeout {
			c.breach("no job has been accepted in %v", serviceTimeout)
			return
		}
	}
	for {
		status, state := c.jobState(j.id, 3*time.Second)
		if status == http.StatusOK && state == "completed" {
			c.log("job %s completed", j.id)
			return
		}
		if time.Since(began) > serviceTimeout {
			c.breach("the job has not completed in %v", serviceTimeout)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
