package faultdisk

import (
	"math/rand/v2"
	"time"
)

// Machine has a disk whose content remains when the process that uses it ends.
// Each process gets its own Disk, so that a stopped process can no longer change
// the disk of the next one. The methods must be called from one goroutine.
type Machine struct {
	disk *Disk
}

// NewMachine returns a machine with an empty disk. A sync takes syncDelay, so that
// a stop at a random time often falls between a write and its sync.
func NewMachine(syncDelay time.Duration) *Machine {
	m := &Machine{disk: New()}
	m.disk.syncDelay = syncDelay
	return m
}

// Disk returns the disk of the running process or, if there is none, of the next
// process.
func (m *Machine) Disk() *Disk { return m.disk }

// StopAfter makes all operations of the running process fail after the given
// number of further ones.
func (m *Machine) StopAfter(ops int) { m.disk.StopAt(m.disk.OperationCount() + 1 + ops) }

// Kill ends the running process. The next one finds all data that was written,
// synced or not.
func (m *Machine) Kill() {
	m.disk.Stop()
	m.replaceDisk(m.disk.AfterKill())
}

// PowerLoss ends the running process. Unsynced changes of all processes are kept,
// lost or torn as AfterPowerLoss describes.
func (m *Machine) PowerLoss(random *rand.Rand) {
	m.disk.Stop()
	m.replaceDisk(m.disk.AfterPowerLoss(random))
}

// replaceDisk sets the disk of the next process. A full disk stays full.
func (m *Machine) replaceDisk(disk *Disk) {
	disk.writeErr, disk.syncDelay = m.disk.writeErr, m.disk.syncDelay
	m.disk = disk
}
