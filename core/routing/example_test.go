package routing_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// A server that refuses a connection is ejected at once; the next request goes to another server.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	table := routing.NewTable(routing.Options{Region: "r", FailureDomain: "d", Random: rand.New(rand.NewPCG(1, 1))})
	table.SetPolicies(map[cell.Service]routing.Policy{"turnos": {Lease: 2 * time.Second, MaxEntries: 9}})
	for _, name := range []cell.BackendName{"b1", "b2"} {
		table.Announce(now, routing.Announcement{
			Service: "turnos", Backend: name, Incarnation: 1, Region: "r", FailureDomain: "d",
			Slots: 8, Connections: 60, SeenAt: now,
		})
	}
	first, _ := table.Pick(now, routing.Request{Service: "turnos"})
	table.Started(now, first)
	table.Finished(now, first, routing.Observation{Result: routing.ResultConnectFailed})
	second, refusal := table.Pick(now, routing.Request{Service: "turnos"})
	fmt.Println(first.Connections, second.Backend != first.Backend, refusal == routing.RefusalNone)
	_, refusal = table.Pick(now.Add(2*time.Second), routing.Request{Service: "turnos"})
	fmt.Println(refusal)
	// Output:
	// 6 true true
	// no-backend
}
