package replog_test

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/bench/logsim"
)

// registers is the state machine of the randomised runs: a few registers that clients read and
// write. next is the index of the next entry to apply and serves to check the order.
type registers struct {
	id     replog.ReplicaID
	check  *checker
	next   uint64
	values map[byte]uint32
}

type write struct {
	Key   byte
	Value uint32
}

func (m *registers) Apply(e replog.Entry) {
	if m.next != 0 && e.Index != m.next {
		m.check.recordViolation(replog.InvariantCommitMonotonic, "replica %d applied entry %d, want entry %d", m.id, e.Index, m.next)
	}
	m.next = e.Index + 1
	m.check.checkApplied(m.id, e)
	if e.Kind != replog.EntryCommand {
		return
	}
	var w write
	if err := json.Unmarshal(e.Data, &w); err != nil {
		panic(err)
	}
	m.values[w.Key] = w.Value
}

func (m *registers) Snapshot() []byte { return mustEncode(m.values) }

func (m *registers) Restore(data []byte) {
	m.next = 0
	m.values = map[byte]uint32{}
	if err := json.Unmarshal(data, &m.values); err != nil {
		panic(err)
	}
}

// operation is a client's read or write of one register. Times are simulated true time.
type operation struct {
	read       bool
	write      write
	callTime   int64
	returnTime int64 // math.MaxInt64 if the outcome is unknown
	ignored    bool  // the operation certainly had no effect
}

// nextOperationTimeout is the time without a response after which a client starts its next
// operation.
const nextOperationTimeout = 60 * time.Millisecond

// maxConcurrent bounds the concurrent reads, and the concurrent writes, at one replica. Operations
// without a response after concurrencyTimeout no longer count. The linearizability check takes time
// that is exponential in the number of concurrent operations.
const (
	maxConcurrent      = 2
	concurrencyTimeout = 500 * time.Millisecond
)

// scheduleOperation schedules the next operation of a client, at a random replica that considers
// itself the leader.
func (x *soakRun) scheduleOperation() {
	x.sim.After(x.randomDuration(x.clientInterval, 4*x.clientInterval), func() {
		if x.faultsEnded {
			return
		}
		r := x.randomLeader()
		kind := operationKey{read: x.rng.IntN(2) == 0}
		if r != nil {
			kind.replica = r.ID
		}
		if r == nil || x.openOperations[kind] >= maxConcurrent || x.sim.Now() < x.clientsPausedUntil {
			x.scheduleOperation()
			return
		}
		x.openOperations[kind]++
		startNext := sync.OnceFunc(x.scheduleOperation)
		finish := sync.OnceFunc(func() { x.openOperations[kind]-- })
		x.sim.After(nextOperationTimeout, startNext)
		x.sim.After(concurrencyTimeout, finish)
		x.startOperation(r, kind.read, func() {
			startNext()
			finish()
		})
	})
}

// operationKey is the key by which concurrent operations are counted. They are counted for each
// replica, so that one unresponsive replica does not stop operations at the others.
type operationKey struct {
	replica replog.ReplicaID
	read    bool
}

func (x *soakRun) startOperation(r *logsim.Replica, read bool, done func()) {
	x.lastValue++
	op := &operation{
		read: read, callTime: int64(x.sim.Now()), returnTime: math.MaxInt64,
		write: write{byte(x.rng.IntN(registerCount)), x.lastValue},
	}
	x.history = append(x.history, op)
	var err error
	if op.read {
		err = r.Read(func(ok bool) {
			op.ignored = !ok
			op.returnTime = int64(x.sim.Now())
			op.write.Value = r.Machine.(*registers).values[op.write.Key]
			done()
		})
	} else {
		err = r.Propose(op.write.encode(), func(outcome logsim.Outcome) {
			op.ignored = outcome == logsim.Replaced
			if outcome == logsim.Committed {
				op.returnTime = int64(x.sim.Now())
			}
			done()
		})
	}
	op.ignored = op.ignored || err != nil
}

func (w write) encode() []byte { return mustEncode(w) }

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// linearizabilityTimeout bounds the linearizability check of one run. A check that does not finish in
// time is a violation.
const linearizabilityTimeout = 5 * time.Second

// checkHistory checks that the operations on each register are linearizable.
//
// Each written value is unique. A write with an unknown outcome is omitted if no read returned its
// value; otherwise it must have taken effect before the first such read ended. Both rules preserve
// the result and shorten the search.
func (x *soakRun) checkHistory() {
	seen := map[uint32]int64{}
	for _, op := range x.history {
		if op.read && !op.ignored && op.returnTime != math.MaxInt64 {
			if end, ok := seen[op.write.Value]; !ok || op.returnTime < end {
				seen[op.write.Value] = op.returnTime
			}
		}
	}
	var ops []porcupine.Operation
	for i, op := range x.history {
		end := op.returnTime
		if first, ok := seen[op.write.Value]; ok && !op.read {
			end = min(end, first)
		}
		if op.ignored || end == math.MaxInt64 {
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: *op, Call: op.callTime, Output: op.write.Value, Return: end})
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, ops, linearizabilityTimeout); result != porcupine.Ok {
		x.check.recordViolation(invariantLinearizable, "history of %d operations is %s", len(ops), result)
	}
}

var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make([][]porcupine.Operation, registerCount)
		for _, op := range history {
			key := op.Input.(operation).write.Key
			byKey[key] = append(byKey[key], op)
		}
		return byKey
	},
	Init: func() any { return uint32(0) },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.read {
			return state == output, state
		}
		return true, op.write.Value
	},
}
