package proxying

import (
	"time"

	"github.com/godwitlink/godwitlink/core/callproxy"
	"github.com/godwitlink/godwitlink/core/dispatch"
	"github.com/godwitlink/godwitlink/core/workload"
)

// holdCall converts a hold for its message.
func holdCall(h dispatch.Hold) callproxy.Call {
	call := targetOf(h.Call)
	call.Kind, call.LeaseUntil, call.AckedEnd, call.WaitMs = callproxy.KindHold, h.LeaseUntil, h.AckedEnd, h.Wait.Milliseconds()
	return call
}

func startCall(s dispatch.Start) callproxy.Call {
	call := targetOf(s.Call)
	call.Kind, call.LeaseUntil = callproxy.KindStart, s.LeaseUntil
	call.Run = &callproxy.RunCall{Task: s.Task, Run: uint64(s.Run), Payload: s.Payload, Checkpoint: s.Checkpoint, Ticket: s.Ticket}
	return call
}

func stopCall(s dispatch.Stop) callproxy.Call {
	call := targetOf(s.Call)
	call.Kind = callproxy.KindStop
	call.Run = &callproxy.RunCall{Task: s.Task, Run: uint64(s.Run)}
	return call
}

func targetOf(c dispatch.Call) callproxy.Call {
	return callproxy.Call{Worker: string(c.Worker), Address: c.Address, Token: c.Token}
}

// callOf is the reverse of targetOf. The boot is known to the leader only.
func callOf(c callproxy.Call) dispatch.Call {
	return dispatch.Call{Worker: workload.WorkerID(c.Worker), Address: c.Address, Token: c.Token}
}

func holdOf(c callproxy.Call) dispatch.Hold {
	return dispatch.Hold{Call: callOf(c), LeaseUntil: c.LeaseUntil, AckedEnd: c.AckedEnd, Wait: time.Duration(c.WaitMs) * time.Millisecond}
}

func startOf(c callproxy.Call) dispatch.Start {
	return dispatch.Start{
		Call: callOf(c), Task: c.Run.Task, Run: workload.RunNumber(c.Run.Run), LeaseUntil: c.LeaseUntil,
		Payload: c.Run.Payload, Checkpoint: c.Run.Checkpoint, Ticket: c.Run.Ticket,
	}
}

func stopOf(c callproxy.Call) dispatch.Stop {
	return dispatch.Stop{Call: callOf(c), Task: c.Run.Task, Run: workload.RunNumber(c.Run.Run)}
}

// wellFormed reports whether a call from a message can be sent.
func wellFormed(c callproxy.Call) bool {
	return c.Kind == callproxy.KindHold && c.Run == nil || (c.Kind == callproxy.KindStart || c.Kind == callproxy.KindStop) && c.Run != nil
}

// answerOf converts the report of a hold for its message.
func answerOf(id uint64, r dispatch.HoldReport) callproxy.Answer {
	answer := callproxy.Answer{ID: id, Outcome: uint8(r.Outcome), Clock: r.Clock, Boot: int64(r.Boot)}
	for _, a := range r.Active {
		answer.Active = append(answer.Active, callproxy.ActiveRun{Task: a.Task, Run: uint64(a.Run), Checkpoint: a.Checkpoint, Percent: a.Percent})
	}
	for _, e := range r.Ends {
		answer.Ends = append(answer.Ends, callproxy.ListedEnd{Number: e.Number, Task: e.Task, Run: uint64(e.Run), Result: string(e.Result), Checkpoint: e.Checkpoint})
	}
	return answer
}

func reportOf(a callproxy.Answer) dispatch.HoldReport {
	report := dispatch.HoldReport{Outcome: outcomeOf(a), Clock: a.Clock, Boot: workload.Boot(a.Boot)}
	for _, r := range a.Active {
		report.Active = append(report.Active, dispatch.ActiveRun{Task: r.Task, Run: workload.RunNumber(r.Run), Checkpoint: r.Checkpoint, Percent: r.Percent})
	}
	for _, e := range a.Ends {
		report.Ends = append(report.Ends, dispatch.ListedEnd{Number: e.Number, Task: e.Task, Run: workload.RunNumber(e.Run), Result: workload.RunEnd(e.Result), Checkpoint: e.Checkpoint})
	}
	return report
}

// outcomeOf returns the outcome in an answer. One that this version does not know counts as no answer.
func outcomeOf(a callproxy.Answer) dispatch.Outcome {
	if outcome := dispatch.Outcome(a.Outcome); outcome <= dispatch.OutcomeNotPermitted {
		return outcome
	}
	return dispatch.OutcomeNoAnswer
}
