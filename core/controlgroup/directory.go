package controlgroup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Peer is a replica and its address.
type Peer struct {
	ID      replog.ReplicaID
	Address string // IP and port of its internal listener
}

// LearnResult tells what a Directory did with the address of a replica.
type LearnResult uint8

// Results of learning an address.
const (
	LearnUnchanged LearnResult = iota // known already, or not worth keeping
	LearnChanged                      // a new replica, or a new address of a known one
	LearnRefused                      // no room: every known replica is a member or configured
)

// DirectoryOptions bounds what a Directory keeps. Neither time covers a member of the group, which is
// kept as long as it is one.
type DirectoryOptions struct {
	Limit       int           // replicas that are kept, this one included
	AnnounceTTL time.Duration // how long a replica counts as announced after its last announcement
	ReportTTL   time.Duration // how long a replica is kept after anyone has mentioned it
}

// Directory holds the addresses of the replicas that one replica knows. Ids are never reused and each
// lost disk gives a new one, so an id that is not a member is forgotten once another id has announced
// its address, or once nobody has mentioned it for a while.
//
// The addresses of the members come from the membership in the log, and from the replicas themselves.
// Contacts are addresses at which a replica may be found whose id is not known.
type Directory struct {
	opts     DirectoryOptions
	self     Peer
	members  replog.Membership
	known    map[replog.ReplicaID]*knownReplica
	contacts []string
}

// knownReplica is what is known about a replica. Times are zero before the first event.
type knownReplica struct {
	address        string
	configured     bool // in the settings; the address never changes
	readsAddresses bool // announced that it can decode a membership with addresses
	firstAnnounced time.Time
	lastAnnounced  time.Time
	lastReported   time.Time // when another replica passed on its address
}

// NewDirectory returns a directory with this replica and the replicas of its settings.
func NewDirectory(opts DirectoryOptions, self Peer, configured []Peer) *Directory {
	d := &Directory{opts: opts, self: self, known: map[replog.ReplicaID]*knownReplica{}}
	for _, peer := range append([]Peer{self}, configured...) {
		d.known[peer.ID] = &knownReplica{address: peer.Address, configured: true}
	}
	return d
}

// SetMembers sets the membership that this replica knows. It adopts the recorded addresses of members
// that have not announced themselves, and returns those that were not known before.
func (d *Directory) SetMembers(m replog.Membership) []Peer {
	if d.members.Equal(m) {
		return nil
	}
	d.members = m
	var adopted []Peer
	for _, recorded := range m.Addresses {
		known := d.known[recorded.ID]
		if recorded.ID == d.self.ID || known != nil && !known.lastAnnounced.IsZero() {
			continue
		}
		peer := Peer{ID: recorded.ID, Address: recorded.Address}
		if d.learn(peer, true) == LearnChanged {
			adopted = append(adopted, peer)
		}
	}
	return adopted
}

// SetContacts replaces the addresses at which a replica may be found whose id is not known.
func (d *Directory) SetContacts(addresses []string) { d.contacts = addresses }

// AnnounceTo returns the addresses to which this replica announces itself, in order.
func (d *Directory) AnnounceTo() []string {
	addresses := slices.Clone(d.contacts)
	for _, peer := range d.Peers() {
		addresses = append(addresses, peer.Address)
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == d.self.Address })
}

// Address returns the address of a replica, or "".
func (d *Directory) Address(id replog.ReplicaID) string {
	if known := d.known[id]; known != nil {
		return known.address
	}
	return ""
}

// Announce records that a replica announced itself, and whether it can decode a membership with
// addresses.
func (d *Directory) Announce(now time.Time, peer Peer, readsAddresses bool) LearnResult {
	if peer.ID == d.self.ID {
		return LearnUnchanged
	}
	result := d.learn(peer, true)
	if known := d.known[peer.ID]; known != nil {
		known.lastAnnounced, known.readsAddresses = now, readsAddresses
		if known.firstAnnounced.IsZero() {
			known.firstAnnounced = now
		}
	}
	return result
}

// Report records an address that another replica passed on. It replaces no known address. An id whose
// address another replica has announced is not added again unless it is a member.
func (d *Directory) Report(now time.Time, peer Peer) LearnResult {
	if peer.ID == d.self.ID {
		return LearnUnchanged
	}
	if d.known[peer.ID] == nil && !d.members.Contains(peer.ID) && d.owner(peer.Address) != 0 {
		return LearnUnchanged
	}
	result := d.learn(peer, false)
	if known := d.known[peer.ID]; known != nil {
		known.lastReported = now
	}
	return result
}

func (d *Directory) learn(peer Peer, replaceAddress bool) LearnResult {
	known := d.known[peer.ID]
	switch {
	case known == nil && len(d.known) >= d.opts.Limit && !d.evictOldest():
		return LearnRefused
	case known == nil:
		d.known[peer.ID] = &knownReplica{address: peer.Address}
		return LearnChanged
	case known.address == peer.Address || known.configured || !replaceAddress:
		return LearnUnchanged
	}
	known.address = peer.Address
	return LearnChanged
}

// evictOldest forgets the removable replica that was mentioned least recently.
func (d *Directory) evictOldest() bool {
	removable := slices.DeleteFunc(slices.Sorted(maps.Keys(d.known)), d.mustKeep)
	if len(removable) == 0 {
		return false
	}
	delete(d.known, slices.MinFunc(removable, func(a, b replog.ReplicaID) int {
		return d.known[a].lastMentioned().Compare(d.known[b].lastMentioned())
	}))
	return true
}

func (d *Directory) mustKeep(id replog.ReplicaID) bool {
	return d.known[id].configured || d.members.Contains(id)
}

func (k *knownReplica) lastMentioned() time.Time {
	if k.lastAnnounced.After(k.lastReported) {
		return k.lastAnnounced
	}
	return k.lastReported
}

// Forget drops the replicas that have been replaced or that nobody has mentioned for ReportTTL, and
// reports whether there were any.
func (d *Directory) Forget(now time.Time) bool {
	count := len(d.known)
	replaced := d.Replaced()
	maps.DeleteFunc(d.known, func(id replog.ReplicaID, known *knownReplica) bool {
		return !d.mustKeep(id) && (slices.Contains(replaced, id) || now.Sub(known.lastMentioned()) >= d.opts.ReportTTL)
	})
	return len(d.known) < count
}

// Peers returns all known replicas by id, this one included.
func (d *Directory) Peers() []Peer {
	return d.list(func(replog.ReplicaID) bool { return true })
}

// Shared returns the replicas whose addresses this one passes on, by id. A replica that is only known
// from a report is left out: reports that answer each other would keep a lost id for ever.
func (d *Directory) Shared(now time.Time) []Peer {
	return d.list(func(id replog.ReplicaID) bool { return d.mustKeep(id) || d.announcedWithin(now, id) })
}

func (d *Directory) list(include func(replog.ReplicaID) bool) []Peer {
	var all []Peer
	for id, known := range d.known {
		if include(id) {
			all = append(all, Peer{ID: id, Address: known.address})
		}
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// RecentlyAnnounced returns the replicas that announced themselves within AnnounceTTL, by id.
func (d *Directory) RecentlyAnnounced(now time.Time) []replog.ReplicaID {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(d.known)), func(id replog.ReplicaID) bool { return !d.announcedWithin(now, id) })
}

func (d *Directory) announcedWithin(now time.Time, id replog.ReplicaID) bool {
	at := d.known[id].lastAnnounced
	return !at.IsZero() && now.Sub(at) < d.opts.AnnounceTTL
}

// MembersReadAddresses reports whether each member that is responsive or has announced itself within
// AnnounceTTL can decode a membership with addresses.
func (d *Directory) MembersReadAddresses(now time.Time, responsive []replog.ReplicaID) bool {
	heardOf := slices.Concat(responsive, d.RecentlyAnnounced(now))
	return !slices.ContainsFunc(heardOf, func(id replog.ReplicaID) bool {
		return d.members.Contains(id) && (d.known[id] == nil || !d.known[id].readsAddresses)
	})
}

// Replaced returns the replicas whose address another replica has announced since, by id.
func (d *Directory) Replaced() []replog.ReplicaID {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(d.known)), func(id replog.ReplicaID) bool {
		owner := d.owner(d.known[id].address)
		return owner == 0 || owner == id || id == d.self.ID || !d.known[owner].firstAnnounced.After(d.known[id].lastAnnounced)
	})
}

// owner returns the replica that announced an address last, or 0.
func (d *Directory) owner(address string) replog.ReplicaID {
	newest := replog.ReplicaID(0)
	for id, known := range d.known {
		if known.address == address && !known.lastAnnounced.IsZero() &&
			(newest == 0 || known.lastAnnounced.After(d.known[newest].lastAnnounced)) {
			newest = id
		}
	}
	return newest
}
