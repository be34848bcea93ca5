package replog_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// A group of three replicas elects a leader and commits two commands. In this example, messages and
// syncs take no time.
func Example() {
	now := time.Unix(0, 0)
	group := map[replog.ReplicaID]*replog.Core{}
	for id := replog.ReplicaID(1); id <= 3; id++ {
		core, err := replog.New(replog.Config{
			ID: id, Membership: replog.Membership{Voters: []replog.ReplicaID{1, 2, 3}},
			ElectionTimeoutMin: 400 * time.Millisecond, ElectionTimeoutMax: 800 * time.Millisecond,
			HeartbeatInterval: 100 * time.Millisecond, MaxDriftPPM: 1000,
			MaxBatchBytes: 64 << 10, MaxInflight: 16, MaxPending: 1000, Seed: 1,
		}, now)
		if err != nil {
			panic(err)
		}
		group[id] = core
	}

	applied := map[replog.ReplicaID][]string{}
	// settle carries out effects until no replica returns any.
	settle := func() {
		for busy := true; busy; {
			busy = false
			for id := replog.ReplicaID(1); id <= 3; id++ {
				effects := group[id].Effects()
				busy = busy || !effects.Empty()
				group[id].Persisted(now, effects.Mark)
				for _, m := range append(effects.Messages, effects.AfterSync...) {
					group[m.To].Step(now, m)
				}
				for _, entry := range effects.Committed {
					if entry.Kind == replog.EntryCommand {
						applied[id] = append(applied[id], string(entry.Data))
					}
				}
			}
		}
	}

	var leader *replog.Core
	for leader == nil {
		now = now.Add(10 * time.Millisecond)
		for id := replog.ReplicaID(1); id <= 3; id++ {
			group[id].Tick(now)
			settle()
			if group[id].Status().Ready {
				leader = group[id]
			}
		}
	}
	_, _, err := leader.Propose(now, [][]byte{[]byte("a"), []byte("b")})
	settle()
	now = now.Add(100 * time.Millisecond) // the next heartbeat carries the commit index
	leader.Tick(now)
	settle()
	fmt.Println(err, leader.Status().Term, applied[1], applied[2], applied[3])
	// Output: <nil> 1 [a b] [a b] [a b]
}
