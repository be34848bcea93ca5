package faultdisk

import (
	"math/rand/v2"
	"time"
)

// Machine has a disk that outlives the processes that use it. Each process gets
// its own Disk, so that one that was stopped can no longer change what the next
// one finds. One goroutine calls the methods.
type Machine struct {
	disk *Disk
}

// NewMachine returns a machine with an empty disk. A sync takes syncs, so that
// a stop at any moment often falls between a write and its sync.
func NewMachine(syncDelay time.Duration) *Machine {
	m := &Machine{disk: New()}
	m.disk.syncDelay = syncDelay
	return m
}

// Disk is the disk of the running process, or of the next one to be started.
func (m *Machine) Disk() *Disk { return m.disk }

// StopAfter lets the running process stop at the operation after as many more.
func (m *Machine) StopAfter(ops int) { m.disk.DieAt(m.disk.Ops() + 1 + ops) }

// Kill ends the running process. Everything that it has written is there for
// the next one, synced or not.
func (m *Machine) Kill() {
	m.disk.Die()
	m.replaceDisk(m.disk.AfterKill())
}

// PowerLoss ends the running process. What no process has synced is kept, lost
// or torn.
func (m *Machine) PowerLoss(random *rand.Rand) {
	m.disk.Die()
	m.replaceDisk(m.disk.AfterPowerLoss(random))
}

// replaceDisk is the disk of the next process. A full disk stays full.
func (m *Machine) replaceDisk(disk *Disk) {
	disk.writeErr, disk.syncDelay = m.disk.writeErr, m.disk.syncDelay
	m.disk = disk
}
