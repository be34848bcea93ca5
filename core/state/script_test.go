package state_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// script applies the commands of a datadriven file, one per line, to a state.
type script struct {
	t     *testing.T
	s     *state.State
	index uint64
	now   time.Time
}

// The results and events of scripted commands must be as expected, including the reason and the detail
// of each refusal.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		run := &script{t: t, s: state.New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				name, rest, _ := strings.Cut(line, " ")
				out.WriteString(run.step(name, newFields(t, rest)))
			}
			if found := run.s.Audit(); len(found) > 0 {
				t.Errorf("%s: %+v", d.Pos, found)
			}
			return out.String()
		})
	})
}

// fields are the "name=value" arguments of a line.
type fields struct {
	t      *testing.T
	values map[string]string
}

func newFields(t *testing.T, line string) fields {
	f := fields{t: t, values: map[string]string{}}
	for _, part := range strings.Fields(line) {
		name, value, _ := strings.Cut(part, "=")
		f.values[name] = value
	}
	return f
}

func (f fields) text(name, fallback string) string {
	if value, given := f.values[name]; given {
		return value
	}
	return fallback
}

func (f fields) number(name string, fallback int) int {
	value, given := f.values[name]
	if !given {
		return fallback
	}
	var n int
	if _, err := fmt.Sscan(value, &n); err != nil {
		f.t.Fatalf("%s=%s: %v", name, value, err)
	}
	return n
}

// step runs one line and returns its output.
func (r *script) step(name string, f fields) string {
	switch name {
	case "time":
		passed, err := time.ParseDuration(f.text("pass", "0s"))
		if err != nil {
			r.t.Fatal(err)
		}
		r.now = r.now.Add(passed)
		return r.apply(state.Command{Advance: &state.Advance{}})
	case "job":
		return fmt.Sprintf("%+v\n", r.s.Query(state.Query{Job: &state.JobQuery{Job: cell.JobID(f.number("id", 1))}}).Job)
	case "status":
		return fmt.Sprintf("%+v\n", *r.s.Query(state.Query{Status: &state.StatusQuery{}}).Status)
	case "workers":
		return fmt.Sprintf("%+v\n", r.s.Workers())
	case "config":
		query := state.Query{Config: &state.ConfigQuery{Generation: cell.Generation(f.number("gen", 0))}}
		record := r.s.Query(query).Config
		return fmt.Sprintf("generation %d by %s, %d bytes\n", record.Generation, record.Submitter, len(record.Body))
	case "request":
		found := r.s.Query(state.Query{Request: &state.RequestQuery{Key: requestKey(f)}}).Request
		return "found:" + describeParts(state.Result{Request: found}) + "\n"
	case "members":
		return fmt.Sprintf("%+v\n", r.s.Query(state.Query{Members: &state.MembersQuery{}}).Members)
	}
	return r.apply(r.command(name, f))
}

func requestKey(f fields) state.RequestKey {
	return state.RequestKey{Service: "s", Team: "a", Key: f.text("key", "")}
}

func (r *script) command(name string, f fields) state.Command {
	epoch := cell.Epoch(f.number("epoch", 1))
	worker := cell.WorkerName(f.text("worker", "w1"))
	entry := cell.EntryName(f.text("entry", "e1"))
	incarnation := cell.Incarnation(f.number("inc", 1))
	attempt := uint64(f.number("attempt", 1))
	switch name {
	case "file":
		return state.Command{ApplyFile: &state.ApplyFile{Body: r.file(f)}}
	case "submit":
		return state.Command{SubmitJob: &state.SubmitJob{Key: f.text("key", ""), Spec: spec(f)}}
	case "cancel":
		return state.Command{CancelJob: &state.CancelJob{Job: cell.JobID(f.number("id", 1))}}
	case "plan":
		return state.Command{CommitPlan: r.plan(f, worker, epoch)}
	case "register":
		return state.Command{RegisterWorker: &state.RegisterWorker{Worker: cell.Worker{
			Name: worker, Incarnation: incarnation, Region: cell.Region(f.text("region", "north")),
			FailureDomain: cell.FailureDomain(f.text("domain", "north-1")), Pool: cell.Pool(f.text("pool", "small")),
			Capacity: cell.Resources{MilliCPU: int64(f.number("cpu", 4000)), MemoryBytes: int64(f.number("gib", 8)) << 30},
		}}}
	case "report":
		return state.Command{ReportTasks: &state.ReportTasks{Worker: worker, Epoch: epoch, Reports: []state.TaskReport{{
			Allocation: cell.AllocationID(f.number("allocation", 1)), Outcome: state.TaskOutcome(f.text("outcome", "running")),
			Detail: f.text("detail", ""),
		}}}}
	case "expire":
		return state.Command{ExpireWorker: &state.ExpireWorker{Worker: worker, Epoch: epoch}}
	case "join":
		return state.Command{JoinMember: &state.JoinMember{Member: state.Member{Name: entry, Incarnation: incarnation}}}
	case "leave":
		return state.Command{LeaveMember: &state.LeaveMember{Name: entry, Incarnation: incarnation}}
	case "begin":
		return state.Command{BeginRequest: &state.BeginRequest{Key: requestKey(f), Digest: uint64(f.number("digest", 1)), Entry: entry,
			Incarnation: incarnation, Attempt: attempt, Retention: time.Duration(f.number("hours", 1)) * time.Hour}}
	case "finish":
		c := &state.FinishRequest{Key: requestKey(f), Entry: entry, Attempt: attempt, Outcome: state.Outcome(f.text("outcome", "done"))}
		if body, given := f.values["answer"]; given {
			c.Answer = &state.StoredAnswer{Status: 200, Body: []byte(body)}
		}
		return state.Command{FinishRequest: c}
	case "nothing":
		return state.Command{}
	}
	r.t.Fatalf("unknown command %q", name)
	return state.Command{}
}

// file returns a cell file in which the text of the argument "old" is replaced by that of "new". In
// both, ~ stands for a space, ' for a quotation mark and | for a line break.
func (r *script) file(f fields) []byte {
	var retired []cell.WorkerName
	if name, given := f.values["retired"]; given {
		retired = append(retired, cell.WorkerName(name))
	}
	body := string(fileBody(f.number("gen", 1), f.text("by", "first"), f.number("quota", 16), retired))
	unquote := strings.NewReplacer("~", " ", "'", `"`, "|", "\n")
	for _, n := range []string{"", "2"} {
		old, given := f.values["old"+n]
		if !given {
			continue
		}
		if !strings.Contains(body, unquote.Replace(old)) {
			r.t.Fatalf("the file has no %s", old)
		}
		body = strings.ReplaceAll(body, unquote.Replace(old), unquote.Replace(f.values["new"+n]))
	}
	return []byte(body)
}

func spec(f fields) cell.JobSpec {
	return cell.JobSpec{
		Team: cell.Team(f.text("team", "a")), Policy: cell.PolicyName(f.text("policy", "batch")),
		Priority: cell.Priority(f.text("priority", "normal")), Tasks: f.number("tasks", 1),
		Size:   cell.Resources{MilliCPU: int64(f.number("cpu", 1000)), MemoryBytes: int64(f.number("gib", 1)) << 30},
		Region: cell.Region(f.text("region", "")),
	}
}

// plan returns a plan that places the tasks "job.index,..." on one worker.
func (r *script) plan(f fields, worker cell.WorkerName, epoch cell.Epoch) *state.CommitPlan {
	plan := &state.CommitPlan{}
	for _, part := range strings.Split(f.text("tasks", ""), ",") {
		var task cell.TaskID
		if _, err := fmt.Sscanf(part, "%d.%d", &task.Job, &task.Index); err == nil {
			plan.Placements = append(plan.Placements, state.Placement{Task: task, Worker: worker, Epoch: epoch})
		}
	}
	if id := f.number("preempt", 0); id != 0 {
		plan.Preemptions = append(plan.Preemptions, cell.AllocationID(id))
	}
	return plan
}

// apply applies a command and returns a description of its result and events.
func (r *script) apply(c state.Command) string {
	r.index++
	c.At = r.now
	result, events := r.s.Apply(r.index, c)
	var out strings.Builder
	if result.Refusal != state.RefusalNone {
		fmt.Fprintf(&out, "refused: %s", result.Refusal)
	} else {
		out.WriteString("ok")
	}
	if result.Detail != "" {
		fmt.Fprintf(&out, ": %s", result.Detail)
	}
	out.WriteString(describeParts(result) + "\n")
	for _, e := range events {
		out.WriteString("  " + describeEvent(e) + "\n")
	}
	return out.String()
}

func describeParts(r state.Result) string {
	var out string
	if r.File != nil {
		out += fmt.Sprintf(" file(%d repeated=%v changes=%v)", r.File.Generation, r.File.Repeated, r.File.Changes)
		for _, fault := range r.File.Faults {
			out += "\n  " + fault.String()
		}
	}
	if r.Job != nil {
		out += fmt.Sprintf(" %+v", *r.Job)
	}
	if r.Plan != nil {
		out += fmt.Sprintf(" plan%q %v", r.Plan.Placements, r.Plan.Allocations)
	}
	if r.Worker != nil {
		out += fmt.Sprintf(" epoch=%d", r.Worker.Epoch)
	}
	if r.Request != nil {
		out += fmt.Sprintf(" dispatch=%v state=%s", r.Request.Dispatch, r.Request.State)
		if r.Request.Answer != nil {
			out += " answer=" + string(r.Request.Answer.Body)
		}
	}
	return out
}

func describeEvent(e state.Event) string {
	switch {
	case e.ConfigChanged != nil:
		return fmt.Sprintf("config %d", e.ConfigChanged.Record.Generation)
	case e.JobAdded != nil:
		return fmt.Sprintf("job %d added", e.JobAdded.ID)
	case e.JobEnded != nil:
		return fmt.Sprintf("job %d ended: %s", e.JobEnded.ID, e.JobEnded.State)
	case e.TaskQueued != nil:
		return fmt.Sprintf("queued %+v", *e.TaskQueued)
	case e.TaskPlaced != nil:
		a := e.TaskPlaced.Allocation
		return fmt.Sprintf("placed %v on %s epoch %d as %d", a.Task, a.Worker, a.Epoch, a.ID)
	case e.TaskStarted != nil:
		return fmt.Sprintf("started %d", e.TaskStarted.Allocation)
	case e.TaskStopping != nil:
		return fmt.Sprintf("stopping %d", e.TaskStopping.Allocation)
	case e.AllocationEnded != nil:
		return fmt.Sprintf("ended %d epoch %d %s", e.AllocationEnded.Allocation.ID, e.AllocationEnded.Allocation.Epoch, e.AllocationEnded.Outcome)
	case e.WorkerAdded != nil:
		return fmt.Sprintf("worker %s epoch %d", e.WorkerAdded.Worker.Name, e.WorkerAdded.Epoch)
	case e.WorkerRemoved != nil:
		return fmt.Sprintf("worker %s epoch %d removed", e.WorkerRemoved.Worker, e.WorkerRemoved.Epoch)
	}
	return fmt.Sprintf("%+v", e)
}
