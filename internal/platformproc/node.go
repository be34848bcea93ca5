package platformproc

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"github.com/godwitlink/godwitlink/core/replog"
	"github.com/godwitlink/godwitlink/internal/replication"
)

// ErrNode says that the file with the identity of a replica cannot be used.
var ErrNode = merry.Sentinel("identity of the replica cannot be used")

// node is the identity of a control replica. It lives as long as its disk: a
// replica that has lost the disk gets another one, because it has forgotten
// what it voted for.
type node struct {
	ID       uint64    `toml:"id"`
	Joined   bool      `toml:"joined"`   // it did not found the group
	Founders []founder `toml:"founders"` // of the group; empty where Joined
}

type founder struct {
	ID      uint64 `toml:"id"`
	Address string `toml:"address"` // IP and port of its internal listener
}

const (
	nodeFile   = "node.toml"
	folderMode = 0o700
	fileMode   = 0o600
	// firstJoinedID is above every id that is derived from an IPv4 address.
	firstJoinedID = 1 << 32
	// maxJoinedID keeps ids positive as signed numbers.
	maxJoinedID = 1 << 62
)

// loadNode reads the identity, or makes one where the disk is empty.
func loadNode(s *ControlSettings) (node, error) {
	if err := os.MkdirAll(s.DataDir, folderMode); err != nil {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	data, err := os.ReadFile(filepath.Join(s.DataDir, nodeFile))
	if errors.Is(err, fs.ErrNotExist) {
		made := newNode(s)
		return made, writeNode(s.DataDir, made)
	}
	if err != nil {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err))
	}
	var known node
	if err := toml.Unmarshal(data, &known); err != nil || known.ID == 0 {
		return node{}, merry.Wrap(ErrNode, merry.WithCause(err), merry.AppendMessage(nodeFile))
	}
	return known, nil
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
	return node{ID: firstJoinedID + rand.Uint64N(maxJoinedID-firstJoinedID), Joined: true}
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
	if err := writeSynced(dir, nodeFile, data); err != nil {
		return merry.Wrap(ErrNode, merry.WithCause(err))
	}
	return nil
}

func writeSynced(dir, name string, data []byte) error {
	temporary := filepath.Join(dir, name+".tmp")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return err
	}
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
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
