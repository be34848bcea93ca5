package codec

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/workload"
)

func sampleCallBatch() callproxy.CallBatch {
	task := workload.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	return callproxy.CallBatch{Session: 1, Term: 2, ReplyTo: "10.0.0.1:7002", Calls: []callproxy.Call{
		{ID: 3, Kind: callproxy.KindHold, Until: 4, TimeoutMs: 5, Worker: "w", Address: "10.0.0.2:7000", Token: 6, LeaseUntil: -1, AckedEnd: 7, WaitMs: 8},
		{ID: 9, Kind: callproxy.KindStart, Worker: "w", Run: &callproxy.RunCall{Task: task, Run: 10, Payload: "p", Checkpoint: "c", Ticket: "t"}},
	}}
}

func sampleAnswerBatch() callproxy.AnswerBatch {
	task := workload.TaskID{Job: "j", Step: 2}
	return callproxy.AnswerBatch{Session: 1, Proxy: "10.0.0.3:7002", Answers: []callproxy.Answer{{
		ID: 3, Outcome: 1, Clock: 2, Boot: 4,
		Active: []callproxy.ActiveRun{{Task: task, Run: 5, Checkpoint: "c", Percent: 6}},
		Ends:   []callproxy.ListedEnd{{Number: 7, Task: task, Run: 8, Result: "done", Checkpoint: "d"}},
	}}}
}

// Guards against a call or an answer that changes on its way through a call proxy.
func TestCallMessagesRoundTrip(t *testing.T) {
	roundTrip(t, callBatches, sampleCallBatch())
	roundTrip(t, answerBatches, sampleAnswerBatch())
	roundTrip(t, clockReadings, callproxy.ClockReading{Clock: 1 << 60})
}

func FuzzCallBatch(f *testing.F)   { fuzzRoundTrip(f, callBatches, sampleCallBatch()) }
func FuzzAnswerBatch(f *testing.F) { fuzzRoundTrip(f, answerBatches, sampleAnswerBatch()) }
