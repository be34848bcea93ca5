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

// ErrIdentity says that the identity file of a replica cannot be read or written.
var ErrIdentity = merry.Sentinel("replica identity cannot be read or stored")

// errIdentityLost says that node.toml is missing or invalid.
var errIdentityLost = merry.Sentinel("replica identity is missing or invalid")

// identity is the identity of a control replica, stored in node.toml. It is valid as long as the
// disk: a replica that has lost its disk or part of its log gets a new identity, because it no
// longer knows how it has voted.
type identity struct {
	ID       uint64    `toml:"id"`
	Joined   bool      `toml:"joined"`        // the replica joined an existing group
	Founders []founder `toml:"founders"`      // founders of the group; empty if Joined is set
	Log      string    `toml:"log,omitempty"` // name of the log folder; firstLogFolder if empty
	// Damaged is the damaged log of a former identity. Its folder is kept for inspection until an
	// operator or freeLogSpace deletes it.
	Damaged *damagedLog `toml:"damaged,omitempty"`
}

// damagedLog is a log that is no longer used. Nothing is read from it.
type damagedLog struct {
	Folder string `toml:"folder"`
	ID     uint64 `toml:"id"` // former replica id; 0 if unknown
	Cause  string `toml:"cause"`
}

type founder struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"` // IP address and port of its internal listener
}

const (
	identityFile = "node.toml"
	// firstJoinedID is greater than any id that is derived from an IPv4 address.
	firstJoinedID = 1 << 32
	// maxJoinedID keeps ids positive when they are converted to signed integers.
	maxJoinedID = 1 << 62
)

// readIdentity reads the identity from node.toml. The error is errIdentityLost, wrapping the cause,
// if the file is missing or invalid. Other errors may be temporary.
func readIdentity(dir string) (identity, error) {
	data, err := os.ReadFile(filepath.Join(dir, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return identity{}, merry.Wrap(errIdentityLost, merry.WithCause(err))
	}
	if err != nil {
		return identity{}, merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	var known identity
	if err := toml.Unmarshal(data, &known); err != nil {
		return identity{}, merry.Wrap(errIdentityLost, merry.WithCause(err), merry.AppendMessage(identityFile))
	}
	if !known.valid() {
		return identity{}, merry.Append(errIdentityLost, "node.toml contains an invalid value")
	}
	return known, nil
}

// valid reports whether the values form a usable identity.
func (i identity) valid() bool {
	_, foldersValid := folderNumber(i.logFolderName())
	if i.Damaged != nil {
		number, ok := folderNumber(i.Damaged.Folder)
		foldersValid = foldersValid && ok && number < i.logFolderNumber()
	}
	return i.ID != 0 && foldersValid
}

// logFolderName returns the name of the folder that contains the log.
func (i identity) logFolderName() string {
	if i.Log == "" {
		return firstLogFolder
	}
	return i.Log
}

// logFolderNumber returns the number of the folder that contains the log, or 0 for the zero
// identity.
func (i identity) logFolderNumber() int {
	if i.ID == 0 {
		return 0
	}
	number, _ := folderNumber(i.logFolderName())
	return number
}

// newIdentity creates an identity. At the first start of the group, the seeds are its founders.
// Their ids are derived from their addresses, so that they agree on the ids without communication.
func newIdentity(s *ControlSettings) identity {
	founders := foundersFromAddresses(internalAddresses(s.Seeds, s.ListenInternal))
	if s.Bootstrap {
		for _, f := range founders {
			if f.Address == s.ListenInternal {
				return identity{ID: f.ID, Founders: founders}
			}
		}
	}
	return identity{ID: newJoinedID(), Joined: true}
}

func foundersFromAddresses(addresses []string) []founder {
	var founders []founder
	for _, address := range addresses {
		id := idFromAddress(address)
		if id != 0 && !slices.ContainsFunc(founders, func(f founder) bool { return f.ID == id }) {
			founders = append(founders, founder{ID: id, Address: address})
		}
	}
	slices.SortFunc(founders, func(a, b founder) int { return int(a.ID) - int(b.ID) })
	return founders
}

// idFromAddress returns the IPv4 address as a number, or 0 if the address is not IPv4.
func idFromAddress(address string) uint64 {
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

// writeIdentity stores the identity durably, so that it survives a power loss.
func writeIdentity(dir string, self identity) error {
	data, err := toml.Marshal(self)
	if err != nil {
		return merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	disk, err := diskio.NewFolder(dir)
	if err == nil {
		err = diskio.WriteFile(disk, identityFile, data)
	}
	if err != nil {
		return merry.Wrap(ErrIdentity, merry.WithCause(err))
	}
	return nil
}

// initialVoters returns the voters of the first membership. A replica that joined knows the membership
// only from its log.
func (i identity) initialVoters() []replication.Peer {
	var peers []replication.Peer
	for _, f := range i.Founders {
		peers = append(peers, replication.Peer{ID: replog.ReplicaID(f.ID), Address: f.Address})
	}
	return peers
}
