package replica

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/codec"
	"github.com/godwitlink/godwitlink/internal/eventlog"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against an account of the memory of jobs that is below what the control processes hold for them: the log,
// the state, the leader's copy of it, and two encoded snapshots.
func TestMemoryOfJobsIsNotUnderestimated(t *testing.T) {
	const jobs = 400
	for name, draw := range map[string]func(random *rand.Rand) workload.JobSpec{
		"small": func(*rand.Rand) workload.JobSpec { return specOf("x", 1, 1) },
		"mixed": func(random *rand.Rand) workload.JobSpec {
			return specOf(strings.Repeat("x", random.IntN(20_000)), 1+random.IntN(8), 1+random.IntN(50))
		},
		"texts": func(*rand.Rand) workload.JobSpec { return specOf(strings.Repeat("x", 50_000), 1, 1) },
		"steps": func(*rand.Rand) workload.JobSpec { return specOf("x", 64, 1) },
		"tasks": func(*rand.Rand) workload.JobSpec { return specOf("x", 1, 2000) },
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			before := heapBytes()
			replicated, index := state.New(), uint64(0)
			apply := func(command workload.Command) []byte {
				entry, err := codec.EncodeCommand(state.Command{At: time.Unix(1_000_000, 0), Workload: &command})
				if err != nil {
					t.Fatal(err)
				}
				decoded, err := codec.DecodeCommand(entry)
				if err != nil {
					t.Fatal(err)
				}
				index++
				if result, _ := replicated.Apply(index, decoded); result.Refusal != "" || result.Workload.Refusal != "" {
					t.Fatalf("refused: %+v", result.Workload)
				}
				return entry
			}
			log := [][]byte{apply(workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Host: "host.example", PathPrefix: "/queue/", Service: "service", MaxAttempts: 3}}}})}
			for i := range jobs {
				log = append(log, apply(workload.Command{Submit: &workload.Submit{ID: workload.JobID(fmt.Sprintf("%016x", i)), Spec: draw(random)}}))
			}
			copied, err := workload.Restore(replicated.Workload().Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			var snapshots [2][]byte
			for i := range snapshots {
				if snapshots[i], err = codec.EncodeSnapshot(replicated.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			held, counted := heapBytes()-before, replicated.Workload().JobMemory().Total
			t.Logf("%d bytes held for %d jobs, %d counted", held, jobs, counted)
			if held > counted {
				t.Errorf("%d bytes held for %d jobs, %d counted", held, jobs, counted)
			}
			runtime.KeepAlive(log)
			runtime.KeepAlive(copied)
			runtime.KeepAlive(snapshots)
		})
	}
}

// Guards against the same for jobs that have ended.
func TestMemoryOfEndedJobsIsNotUnderestimated(t *testing.T) {
	const jobs = 2000
	before := heapBytes()
	replicated := state.New()
	held := replicated.Workload()
	held.Apply(time.Unix(1_000_000, 0), 0, workload.Command{Configure: &workload.Config{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "service"}}}})
	for i := range jobs {
		id := workload.JobID(fmt.Sprintf("%016x", i))
		held.Apply(time.Unix(1_000_000, 0), 0, workload.Command{Submit: &workload.Submit{ID: id, Spec: specOf("x", 1, 1)}})
		held.Apply(time.Unix(1_000_000, 0), 0, workload.Command{Cancel: &workload.Cancel{ID: id}})
	}
	held.Expire(time.Minute, 0)
	copied, err := workload.Restore(held.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshots [2][]byte
	for i := range snapshots {
		if snapshots[i], err = codec.EncodeSnapshot(replicated.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	bytes, counted := heapBytes()-before, held.JobMemory().Total
	t.Logf("%d bytes held for %d ended jobs, %d counted; a snapshot of %d bytes", bytes, jobs, counted, len(snapshots[0]))
	if bytes > counted {
		t.Errorf("%d bytes held for %d ended jobs, %d counted", bytes, jobs, counted)
	}
	runtime.KeepAlive(replicated)
	runtime.KeepAlive(copied)
	runtime.KeepAlive(snapshots)
}

func specOf(payload string, steps, tasks int) workload.JobSpec {
	spec := workload.JobSpec{Queue: "q", Payload: payload}
	for i := range steps {
		step := workload.StepSpec{Tasks: tasks, Estimate: time.Second, RequiredLabel: "label", PreferredRack: "rack"}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	return spec
}

// Guards against jobs that the leader accepts without room in the memory for jobs, counted with those that wait
// for the log, and against a refusal of a job that is accepted already.
func TestJobsWithoutMemoryAreRefused(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	leader := newRefusingTask(now)
	leader.waits = queueWaits{}
	one := submitCommand("any").Workload.Submit.Spec.Memory()
	leader.opts.JobMemoryBytes, leader.opts.Logger = 100*one, eventlog.Nop()
	leader.jobMemory = newJobMemory(leader.opts)
	submit := func(id workload.JobID) bool {
		return !leader.refuseJob(now, proposeCall{reply: newReply[proposeResult](), command: submitCommand(id)})
	}
	for i := range uint64(200) {
		id := workload.JobID(fmt.Sprint(i))
		if submit(id) {
			leader.proposals.pending[100+i] = pendingProposal{term: 2, command: submitCommand(id)}
		}
	}
	held := int64(len(leader.proposals.pending)) + 1 // and the job that the state knows
	if held < 80 || held > 82 {
		t.Errorf("%d jobs accepted, want about four fifths of 100", held)
	}
	if !leader.jobMemory.refusing {
		t.Error("the refusals are not reported")
	}
	for _, id := range []workload.JobID{"known", "in-log", "0"} {
		if !submit(id) {
			t.Errorf("%s: an accepted job is refused", id)
		}
	}
	leader.reportJobMemory(now.Add(quietTime))
	if leader.jobMemory.refusing {
		t.Error("the end of the refusals is not reported")
	}
}
