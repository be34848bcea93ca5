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

// errIdentityLost says that node.toml is missing or was not written so.
var errIdentityLost = merry.Sentinel("identity of the replica is lost")

// identity is the identity of a control replica. It lives as long as its disk: a
// replica that has lost the disk or a part of the log gets another one, because
// it has forgotten what it voted for.
type identity struct {
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
	identityFile = "node.toml"
	// firstJoinedID is above every id that is derived from an IPv4 address.
	firstJoinedID = 1 << 32
	// maxJoinedID keeps ids positive as signed numbers.
	maxJoinedID = 1 << 62
)

// readIdentity reads the identity. The error is errNodeLost, which wraps the cause,
// where there is none that can be used; other errors may pass.
func readIdentity(dir string) (identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, merry.Wrap(errIdentityLost, merry.WithCause(err))
	}
	if err != nil {
		return identity{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	var known identity
	if err := toml.Unmarshal(data, &known); err != nil {
		return identity{}, merry.Wrap(errIdentityLost, merry.WithCause(err), merry.AppendMessage(identityFile))
	}
	if !known.valid() {
		return identity{}, merry.Append(errIdentityLost, "a value is out of range")
	}
	return known, nil
}

// valid reports whether the values can be those of an identity.
func (n identity) valid() bool {
	_, foldersValid := folderNumber(n.logFolderName())
	if n.Damaged != nil {
		number, ok := folderNumber(n.Damaged.Folder)
		foldersValid = foldersValid && ok && number < n.logFolderNumber()
	}
	return n.ID != 0 && foldersValid
}

// logFolderName is the name of the folder with the log.
func (n identity) logFolderName() string {
	if n.Log == "" {
		return firstLogFolder
	}
	return n.Log
}

// logFolderNumber is the number of the folder with the log, 0 where there is no
// identity.
func (n identity) logFolderNumber() int {
	if n.ID == 0 {
		return 0
	}
	number, _ := folderNumber(n.logFolderName())
	return number
}

// newIdentity makes an identity. At the very first start the seeds found the group;
// their ids follow from their addresses, so that they agree without a word.
func newIdentity(s *ControlSettings) identity {
	founders := foundersAt(internalAddresses(s.Seeds, s.ListenInternal))
	if s.Bootstrap {
		for _, f := range founders {
			if f.Address == s.ListenInternal {
				return identity{ID: f.ID, Founders: founders}
			}
		}
	}
	return identity{ID: newJoinedID(), Joined: true}
}

func foundersAt(addresses []string) []founder {
	var founders []founder
	for _, address := range addresses {
		id := idOfAddress(address)
		if id != 0 && !slices.ContainsFunc(founders, func(f founder) bool { return f.ID == id }) {
			founders = append(founders, founder{ID: id, Address: address})
		}
	}
	slices.SortFunc(founders, func(a, b founder) int { return int(a.ID) - int(b.ID) })
	return founders
}

// idOfAddress returns the IPv4 address as a number, or 0.
func idOfAddress(address string) uint64 {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return 0
	}
	id := uint64(0)
	for _, b := range parsed.Addr().As4() {
		id = id<<8 | uint64(b)
	}
	return id
}

// writeIdentity stores the identity so that it survives a loss of power.
func writeIdentity(dir string, n identity) error {
	data, err := toml.Marshal(n)
	if err != nil {
		return merry.Wrap(ErrNode, merry.WithCause(err))
	}
	disk, err := diskio.NewFolder(dir)
	if err == nil {
		err = diskio.WriteFile(disk, identityFile, data)
	}
	if err != nil {
		return merry.Wrap(ErrNode, merry.WithCause(err))
	}
	return nil
}

// initialPeers returns the replicas that a replica starts with: the founders, or for
// one that joins the seeds, without this machine.
func (n identity) initialPeers(s *ControlSettings) []replication.Peer {
	founders := n.Founders
	if n.Joined {
		founders = foundersAt(internalAddresses(s.Seeds, s.ListenInternal))
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
