package platformproc

import (
	"errors"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/diskio"
	"github.com/godwitlink/godwitlink/internal/replication"
)

// ErrNode says that the file with the identity of a replica cannot be used.
var ErrNode = merry.Sentinel("identity of the replica cannot be used")

// errNodeLost says that node.toml is missing or was not written so.
var errNodeLost = merry.Sentinel("identity of the replica is lost")

// node is the identity of a control replica. It lives as long as its disk: a
// replica that has lost the disk or a part of the log gets another one, because
// it has forgotten what it voted for.
type node struct {
	ID       uint64    `toml:"id"`
	Joined   bool      `toml:"joined"`        // it did not found the group
	Founders []founder `toml:"founders"`      // of the group; empty where Joined
	Log      string    `toml:"log,omitempty"` // folder of the log; firstLog where empty
	// Damaged is the log of a former identity, whose folder is kept for a look
	// until it is deleted.
	Damaged *damagedLog `toml:"damaged,omitempty"`
}

// damagedLog is a log that was given up. Nothing is read from it.
type damagedLog struct {
	Folder string `toml:"folder"`
	ID     uint64 `toml:"id"` // of the replica; 0 where it is not known
	Cause  string `toml:"cause"`
}

type founder struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"` // IP and port of its internal listener
}

const (
	nodeFile = "node.toml"
	// firstJoinedID is above every id that is derived from an IPv4 address.
	firstJoinedID = 1 << 32
	// maxJoinedID keeps ids positive as signed numbers.
	maxJoinedID = 1 << 62
)

// readNode reads the identity. The error is errNodeLost, which wraps the cause,
// where there is none that can be used; other errors may pass.
func readNode(dir string) (node, error) {
	data, err := os.ReadFile(filepath.Join(dir, nodeFile))
	if errors.Is(err, fs.ErrNotExist) {
		return node{}, merry.Wrap(errNodeLost, merry.WithCause(err))
	}
	if err != nil {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	var known node
	if err := toml.Unmarshal(data, &known); err != nil {
		return node{}, merry.Wrap(errNodeLost, merry.WithCause(err), merry.AppendMessage(nodeFile))
	}
	if !known.usable() {
		return node{}, merry.Append(errNodeLost, "a value is out of range")
	}
	return known, nil
}

// usable reports whether the values can be those of an identity.
func (n node) usable() bool {
	_, log := folderNumber(n.logFolder())
	if n.Damaged != nil {
		number, ok := folderNumber(n.Damaged.Folder)
		log = log && ok && number < n.logNumber()
	}
	return n.ID != 0 && log
}

// logFolder is the name of the folder with the log.
func (n node) logFolder() string {
	if n.Log == "" {
		return firstLog
	}
	return n.Log
}

// logNumber is the number of the folder with the log, 0 where there is no
// identity.
func (n node) logNumber() int {
	if n.ID == 0 {
		return 0
	}
	number, _ := folderNumber(n.logFolder())
	return number
}

// newNode makes an identity. At the very first start the seeds found the group;
// their ids follow from their addresses, so that they agree without a word.
func newNode(s *ControlSettings) node {
	founders := foundersOf(internalAddresses(s.Seeds, s.ListenInternal))
	if s.Bootstrap {
		for _, f := range founders {
			if f.Address == s.ListenInternal {
				return node{ID: f.ID, Founders: founders}
			}
		}
	}
	return node{ID: newJoinedID(), Joined: true}
}

func foundersOf(addresses []string) []founder {
	var founders []founder
	for _, address := range addresses {
		id := addressID(address)
		if id != 0 && !slices.ContainsFunc(founders, func(f founder) bool { return f.ID == id }) {
			founders = append(founders, founder{ID: id, Address: address})
		}
	}
	slices.SortFunc(founders, func(a, b founder) int { return int(a.ID) - int(b.ID) })
	return founders
}

// addressID returns the IPv4 address as a number, or 0.
func addressID(address string) uint64 {
	at, err := netip.ParseAddrPort(address)
	if err != nil || !at.Addr().Is4() {
		return 0
	}
	id := uint64(0)
	for _, b := range at.Addr().As4() {
		id = id<<8 | uint64(b)
	}
	return id
}

// writeNode stores the identity so that it survives a loss of power.
func writeNode(dir string, n node) error {
	data, err := toml.Marshal(n)
	if err != nil {
		return merry.Wrap(ErrNode, merry.WithCause(err))
	}
	disk, err := diskio.NewFolder(dir)
	if err == nil {
		err = diskio.WriteFile(disk, nodeFile, data)
	}
	if err != nil {
		return merry.Wrap(ErrNode, merry.WithCause(err))
	}
	return nil
}

// peers returns the replicas that a replica starts with: the founders, or for
// one that joins the seeds, without this machine.
func (n node) peers(s *ControlSettings) []replication.Peer {
	founders := n.Founders
	if n.Joined {
		founders = foundersOf(internalAddresses(s.Seeds, s.ListenInternal))
	}
	var peers []replication.Peer
	for _, f := range founders {
		if n.Joined && f.Address == s.ListenInternal {
			continue
		}
		peers = append(peers, replication.Peer{ID: replog.ReplicaID(f.ID), Address: f.Address})
	}
	return peers
}
