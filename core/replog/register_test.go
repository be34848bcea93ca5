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

// registers is the state machine of the randomized runs: a few registers that clients read and
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
		m.check.violated(replog.CheckCommitMonotonic, "replica %d applied entry %d, want entry %d", m.id, e.Index, m.next)
	}
	m.next = e.Index + 1
	m.check.applied(m.id, e)
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
	read  bool
	write write
	call  int64
	end   int64 // math.MaxInt64 if the outcome is unknown
	drop  bool  // the operation certainly had no effect
}

// clientTimeout is the time without a response after which a client starts its next operation.
const clientTimeout = 60 * time.Millisecond

// maxOpen bounds the concurrent reads, and the concurrent writes, at one replica. Operations
// without a response after openTimeout no longer count. The linearizability check takes time
// exponential in the number of concurrent operations.
const (
	maxOpen     = 2
	openTimeout = 500 * time.Millisecond
)

// client issues operations one after another, each at a random replica that considers itself the
// leader.
func (x *run) client() {
	x.sim.After(x.between(x.pace, 4*x.pace), func() {
		if x.healing {
			return
		}
		r := x.anyLeader()
		kind := openKind{read: x.rng.IntN(2) == 0}
		if r != nil {
			kind.at = r.ID
		}
		if r == nil || x.open[kind] >= maxOpen || x.sim.Now() < x.quietUntil {
			x.client()
			return
		}
		x.open[kind]++
		goOn := sync.OnceFunc(x.client)
		finish := sync.OnceFunc(func() { x.open[kind]-- })
		x.sim.After(clientTimeout, goOn)
		x.sim.After(openTimeout, finish)
		x.operate(r, kind.read, func() {
			goOn()
			finish()
		})
	})
}

// openKind is the key by which concurrent operations are counted. They are counted for each
// replica, so that one unresponsive replica does not stop operations at the others.
type openKind struct {
	at   replog.ReplicaID
	read bool
}

func (x *run) operate(r *logsim.Replica, read bool, done func()) {
	x.lastValue++
	op := &operation{
		read: read, call: int64(x.sim.Now()), end: math.MaxInt64,
		write: write{byte(x.rng.IntN(registerCount)), x.lastValue},
	}
	x.history = append(x.history, op)
	var err error
	if op.read {
		err = r.Read(func(ok bool) {
			op.drop = !ok
			op.end = int64(x.sim.Now())
			op.write.Value = r.Machine.(*registers).values[op.write.Key]
			done()
		})
	} else {
		err = r.Propose(op.write.encode(), func(outcome logsim.Outcome) {
			op.drop = outcome == logsim.Replaced
			if outcome == logsim.Committed {
				op.end = int64(x.sim.Now())
			}
			done()
		})
	}
	op.drop = op.drop || err != nil
}

func (w write) encode() []byte { return mustEncode(w) }

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// historyTimeout bounds the linearizability check of one run.
const historyTimeout = 5 * time.Second

// checkHistory checks that the operations on each register are linearizable.
//
// Each written value is unique. A write with an unknown outcome is omitted if no read returned its
// value; otherwise it must have taken effect before the first such read ended. Both rules preserve
// the result and shorten the search.
func (x *run) checkHistory() {
	seen := map[uint32]int64{}
	for _, op := range x.history {
		if op.read && !op.drop && op.end != math.MaxInt64 {
			if end, ok := seen[op.write.Value]; !ok || op.end < end {
				seen[op.write.Value] = op.end
			}
		}
	}
	var ops []porcupine.Operation
	for i, op := range x.history {
		end := op.end
		if first, ok := seen[op.write.Value]; ok && !op.read {
			end = min(end, first)
		}
		if op.drop || end == math.MaxInt64 {
			continue
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: *op, Call: op.call, Output: op.write.Value, Return: end})
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, ops, historyTimeout); result != porcupine.Ok {
		x.check.violated(checkLinearizable, "history of %d operations is %s", len(ops), result)
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
