package agent_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/agent"
	"github.com/godwitlink/godwitlink/core/lease"
)

func Example() {
	now := lease.ClockReading{Wall: time.Unix(0, 0)}
	a := agent.New(now)
	registration := a.Effects(now).Sync
	a.HandleResponse(now, agent.Response{
		Epoch: 1, Sequence: registration.Sequence, Granted: true,
		Terms:        lease.Terms{Duration: 15 * time.Second},
		SyncInterval: 2 * time.Second,
		Changed:      true, Version: 1,
		Tasks: []agent.Task{{Allocation: 7, Command: "check style"}},
	})
	for _, task := range a.Effects(now).Starts {
		fmt.Println("start", task.Allocation, task.Command)
	}
	// Output: start 7 check style
}
