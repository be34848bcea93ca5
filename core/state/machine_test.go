package state_test

import (
	"pgregory.net/rapid"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/state"
)

// machine simulates a worker independently of the state: the tasks that it runs and its lease.
type machine struct {
	info     cell.Worker
	up       bool
	leased   bool
	epoch    cell.Epoch // last epoch that the machine was given
	runs     map[cell.AllocationID]cell.Allocation
	outcomes map[cell.AllocationID]state.TaskOutcome // ended allocations, which may not be reported yet
}

func newMachine(info cell.Worker) *machine {
	m := &machine{info: info}
	m.stop()
	return m
}

func (m *machine) stop() {
	m.up, m.leased, m.epoch = false, false, 0
	m.runs = map[cell.AllocationID]cell.Allocation{}
	m.outcomes = map[cell.AllocationID]state.TaskOutcome{}
}

// loseLease ends the lease and stops the tasks that must not run without one.
func (m *machine) loseLease() {
	m.leased = false
	for id, a := range m.runs {
		if a.OnDisconnect == cell.DisconnectStop {
			delete(m.runs, id)
		}
	}
}

func (sim *simCell) drawMachine(t *rapid.T) *machine {
	return rapid.SampledFrom(sim.machines).Draw(t, "machine")
}

func (sim *simCell) isRetired(m *machine) bool {
	for _, name := range sim.retired {
		if name == m.info.Name {
			return true
		}
	}
	return false
}

// boot registers a machine. A machine that is down starts as a new incarnation first.
func (sim *simCell) boot(t *rapid.T) {
	sim.bootMachine(t, sim.drawMachine(t))
}

func (sim *simCell) bootMachine(t *rapid.T, m *machine) {
	if !m.up {
		m.up = true
		m.info.Incarnation++
	}
	sim.register(t, m)
}

func (sim *simCell) register(t *rapid.T, m *machine) {
	c := state.Command{RegisterWorker: &state.RegisterWorker{Worker: m.info}}
	result := sim.send(t, c)
	sim.recordRegistration(c, result)
	switch result.Refusal {
	case state.RefusalNone:
		if result.Worker.Epoch != m.epoch {
			m.loseLease()
		}
		m.epoch, m.leased = result.Worker.Epoch, true
	case state.RefusalWorkerRetired:
		if !sim.isRetired(m) {
			t.Fatalf("machine %s is refused as retired but is not retired", m.info.Name)
		}
	default:
		t.Fatalf("registration of %+v is refused: %+v", m.info, result)
	}
}

// recordRegistration records the epoch that a command started or ended.
func (sim *simCell) recordRegistration(c state.Command, result state.Result) {
	switch {
	case c.RegisterWorker != nil && result.Refusal == state.RefusalNone:
		sim.epochs[c.RegisterWorker.Worker.Name] = result.Worker.Epoch
	case c.ExpireWorker != nil && result.Refusal == state.RefusalNone:
		sim.epochs[c.ExpireWorker.Worker] = 0
	}
}

// crash stops a machine, or disconnects it until its lease has expired.
func (sim *simCell) crash(t *rapid.T) {
	m := sim.drawMachine(t)
	if rapid.Bool().Draw(t, "cut off only") {
		m.loseLease()
		return
	}
	m.stop()
}

// expire ends the epoch of a machine whose lease has expired.
func (sim *simCell) expire(t *rapid.T) {
	m := sim.drawMachine(t)
	epoch := sim.epochs[m.info.Name]
	if epoch == 0 || m.up && m.leased && m.epoch == epoch {
		t.Skip("no lease has expired")
	}
	c := state.Command{ExpireWorker: &state.ExpireWorker{Worker: m.info.Name, Epoch: epoch}}
	result := sim.send(t, c)
	sim.recordRegistration(c, result)
	if result.Refusal != state.RefusalNone {
		t.Fatalf("expiry of %s is refused: %+v", m.info.Name, result)
	}
}

// retire removes a machine permanently and submits a file that lists it as retired.
func (sim *simCell) retire(t *rapid.T) {
	m := sim.drawMachine(t)
	if m.up || sim.isRetired(m) || len(sim.retired) == 2 {
		t.Skip("the machine is up or retired, or two machines are retired")
	}
	sim.retired = append(sim.retired, m.info.Name)
	sim.submitFile(t, sim.generation+1, "first", 16)
}

// sync performs a sync of a machine with the leader: the machine reports its tasks and applies its
// assignments.
func (sim *simCell) sync(t *rapid.T) {
	m := sim.drawMachine(t)
	if !m.up || m.epoch == 0 {
		t.Skip("the machine is not registered")
	}
	sim.syncMachine(t, m)
}

// cycle simulates normal operation: machines end tasks, sync and boot, a job is submitted, and tasks
// are placed.
func (sim *simCell) cycle(t *rapid.T) {
	for _, m := range sim.machines {
		switch {
		case m.up && m.epoch != 0:
			sim.endSomeTasks(t, m)
			sim.syncMachine(t, m)
		case !m.up && !sim.isRetired(m) && rapid.Bool().Draw(t, "boots"):
			sim.bootMachine(t, m)
		}
	}
	sim.submit(t)
	if len(sim.view.Workers) > 0 {
		sim.plan(t)
	}
}

func (sim *simCell) endSomeTasks(t *rapid.T, m *machine) {
	for _, id := range sortedKeys(m.runs) {
		if rapid.IntRange(0, 2).Draw(t, "goes on") == 0 {
			m.endTask(t, id)
		}
	}
}

func (sim *simCell) syncMachine(t *rapid.T, m *machine) {
	sim.report(t, m)
	view := sim.replicas[0].Worker(m.info.Name)
	if !view.Registered || view.Epoch != m.epoch {
		m.loseLease()
		return
	}
	m.leased = true
	m.applyAssignments(view)
}

func (m *machine) applyAssignments(view state.WorkerView) {
	assigned := map[cell.AllocationID]state.Assignment{}
	for _, assignment := range view.Assignments {
		assigned[assignment.Allocation.ID] = assignment
	}
	for id := range m.runs {
		if _, kept := assigned[id]; !kept {
			delete(m.runs, id)
		}
	}
	for id, assignment := range assigned {
		_, ended := m.outcomes[id]
		switch {
		case ended:
		case assignment.Stop:
			delete(m.runs, id)
			m.outcomes[id] = state.ReportStopped
		default:
			m.runs[id] = assignment.Allocation
		}
	}
}

func (sim *simCell) report(t *rapid.T, m *machine) {
	c := state.ReportTasks{Worker: m.info.Name, Epoch: m.epoch}
	for _, id := range sortedKeys(m.runs) {
		used := cell.Resources{MilliCPU: 100}
		c.Reports = append(c.Reports, state.TaskReport{Allocation: id, Outcome: state.ReportRunning, Used: used})
	}
	for _, id := range sortedKeys(m.outcomes) {
		c.Reports = append(c.Reports, state.TaskReport{Allocation: id, Outcome: m.outcomes[id], Detail: "exit 1"})
	}
	command := state.Command{ReportTasks: &c}
	sim.expectEpoch(t, command, sim.send(t, command))
}

// end ends a running task.
func (sim *simCell) end(t *rapid.T) {
	m := sim.drawMachine(t)
	if len(m.runs) == 0 {
		t.Skip("no task is running")
	}
	id := rapid.SampledFrom(sortedKeys(m.runs)).Draw(t, "allocation")
	m.endTask(t, id)
}

func (m *machine) endTask(t *rapid.T, id cell.AllocationID) {
	delete(m.runs, id)
	outcomes := []state.TaskOutcome{state.ReportSucceeded, state.ReportFailed, state.ReportFailed, state.ReportStopped, state.ReportCheckpointed}
	m.outcomes[id] = rapid.SampledFrom(outcomes).Draw(t, "outcome")
}

// checkMachines asserts that no task runs on two machines and that the tasks of a machine fit its
// capacity.
func (sim *simCell) checkMachines(t *rapid.T) {
	runs := map[cell.TaskID]cell.WorkerName{}
	for _, m := range sim.machines {
		var used cell.Resources
		for _, a := range m.runs {
			if other, twice := runs[a.Task]; twice {
				t.Fatalf("task %v runs on %s and %s", a.Task, other, m.info.Name)
			}
			runs[a.Task] = m.info.Name
			used = used.Add(a.Size)
		}
		if !used.Fits(m.info.Capacity) {
			t.Fatalf("machine %s of %v runs %v", m.info.Name, m.info.Capacity, used)
		}
	}
}
