package memorybudget

import (
	"container/list"
	"time"
)

// StallTime is how long a connection may make no progress before its memory can be taken back. It is above
// the pauses of a client on a slow link: 1 KiB, the unit of progress, takes 5 ms at 2 Mbit/s, and a lost packet
// is sent again within a second.
const StallTime = 2 * time.Second

// ID identifies a connection.
type ID uint64

// Decision is the answer to a connection that asks for memory.
type Decision struct {
	Granted bool
	Close   []ID // connections whose memory was taken back, to be closed
}

// connection is what the ledger knows of a connection.
type connection struct {
	id       ID
	held     [UseCount]int64
	progress time.Time
	// stallable is the place of a connection whose memory can be taken back in the list of all of these,
	// and nil while its request is worked on.
	stallable *list.Element
	process   bool // is of another process of the system
	oversize  bool // holds a message above the limit, which is not counted in Ledger.used
}

// Ledger records what each connection holds. It is not safe for concurrent use.
type Ledger struct {
	division    Division
	used        [UseCount]int64 // without the message above the limit
	connections map[ID]*connection
	stallable   *list.List // of *connection, the one without progress for the longest time first
	oversize    ID         // connection that holds a message above the limit; 0 if there is none
}

// New returns an empty ledger.
func New(division Division) *Ledger {
	return &Ledger{division: division, connections: map[ID]*connection{}, stallable: list.New()}
}

// Used returns what all connections hold for a use.
func (l *Ledger) Used(use Use) int64 { return l.used[use] }

// Open records a new connection that holds a number of bytes. IDs are above 0 and not used again.
func (l *Ledger) Open(now time.Time, id ID, use Use, bytes int64) Decision {
	decision := l.makeRoom(now, nil, use, bytes)
	if !decision.Granted {
		return decision
	}
	c := &connection{id: id, progress: now, process: use == UseProcesses}
	l.add(c, use, bytes)
	l.connections[id] = c
	c.stallable = l.stallable.PushBack(c)
	return decision
}

// Grow asks for more memory for a connection. A connection that is not known gets none: it has been closed.
func (l *Ledger) Grow(now time.Time, id ID, use Use, bytes int64) Decision {
	c := l.connections[id]
	if c == nil {
		return Decision{}
	}
	if c.oversize && use == UseMessages {
		l.add(c, use, bytes)
		return Decision{Granted: true}
	}
	decision := l.makeRoom(now, c, use, bytes)
	if !decision.Granted && use == UseMessages {
		decision = l.exceed(now, c)
	}
	if decision.Granted {
		l.add(c, use, bytes)
	}
	return decision
}

// exceed lets one message be above the limit. A snapshot may be larger than the budget, and a replica that refused
// it would never catch up.
func (l *Ledger) exceed(now time.Time, c *connection) Decision {
	decision := Decision{Granted: true}
	if holder := l.connections[l.oversize]; holder != nil {
		if holder.stallable == nil || now.Sub(holder.progress) < StallTime {
			return Decision{}
		}
		l.Close(holder.id)
		decision.Close = []ID{holder.id}
	}
	l.used[UseMessages] -= c.held[UseMessages]
	l.oversize, c.oversize = c.id, true
	return decision
}

// isProtected reports whether a connection does not give way to clients: it is of another process and has no large
// message or answer on its way. One that has stops only if its peer does.
func (c *connection) isProtected() bool {
	return c.process && c.held[UseMessages] == 0 && c.held[UseAnswers] == 0
}

// add changes what a connection holds for a use.
func (l *Ledger) add(c *connection, use Use, bytes int64) {
	c.held[use] += bytes
	if !c.oversize || use != UseMessages {
		l.used[use] += bytes
	}
}

// Release gives back a part of what a connection holds.
func (l *Ledger) Release(id ID, use Use, bytes int64) {
	if c := l.connections[id]; c != nil {
		l.add(c, use, -min(bytes, c.held[use]))
	}
}

// Progress records that a connection has made progress.
func (l *Ledger) Progress(now time.Time, id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	c.progress = now
	if c.stallable != nil {
		l.stallable.MoveToBack(c.stallable)
	}
}

// Begin records that a connection has a complete request, which is worked on now.
func (l *Ledger) Begin(id ID) {
	if c := l.connections[id]; c != nil && c.stallable != nil {
		l.stallable.Remove(c.stallable)
		c.stallable = nil
	}
}

// Await records that a connection waits for its peer again: for a request, or until the answer is read.
func (l *Ledger) Await(now time.Time, id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	if c.stallable == nil {
		c.stallable = l.stallable.PushBack(c)
	}
	l.Progress(now, id)
}

// EndRequest gives back what the request of a connection holds. Its peer may still have to read the answer.
func (l *Ledger) EndRequest(now time.Time, id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	for _, use := range []Use{UseHeads, UseBodies, UseRequests, UseAnswers, UseMessages} {
		l.add(c, use, -c.held[use])
	}
	l.endOversize(c)
	l.Await(now, id)
}

func (l *Ledger) endOversize(c *connection) {
	if c.oversize {
		l.oversize, c.oversize = 0, false
	}
}

// Close gives back everything that a connection holds.
func (l *Ledger) Close(id ID) {
	c := l.connections[id]
	if c == nil {
		return
	}
	for use, bytes := range c.held {
		l.add(c, Use(use), -bytes)
	}
	l.endOversize(c)
	if c.stallable != nil {
		l.stallable.Remove(c.stallable)
	}
	delete(l.connections, id)
}

// CloseStalled takes back the memory of the client without progress for the longest time, if that is longer than
// StallTime. It makes room for a connection that waits for something else, such as a descriptor.
func (l *Ledger) CloseStalled(now time.Time) (id ID, ok bool) {
	for e := l.stallable.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if now.Sub(c.progress) < StallTime {
			break
		}
		if !c.isProtected() {
			l.Close(c.id)
			return c.id, true
		}
	}
	return 0, false
}

// makeRoom decides whether bytes are available, if need be after connections without progress are closed.
// asking is not closed; it is nil for a new connection.
func (l *Ledger) makeRoom(now time.Time, asking *connection, use Use, bytes int64) Decision {
	used := l.used
	if l.fits(used, use, bytes) {
		return Decision{Granted: true}
	}
	var chosen []ID
	for e := l.stallable.Front(); e != nil; e = e.Next() {
		c := e.Value.(*connection)
		if now.Sub(c.progress) < StallTime {
			break // all further ones have made progress later
		}
		if c == asking || !l.helps(c, used, use) {
			continue
		}
		for u, held := range c.held {
			if !c.oversize || Use(u) != UseMessages {
				used[u] -= held
			}
		}
		chosen = append(chosen, c.id)
		if l.fits(used, use, bytes) {
			for _, id := range chosen {
				l.Close(id)
			}
			return Decision{Granted: true, Close: chosen}
		}
	}
	return Decision{}
}

// fits reports whether a use can hold more bytes beside what is used.
func (l *Ledger) fits(used [UseCount]int64, use Use, bytes int64) bool {
	used[use] += bytes
	shared := int64(0)
	for u, n := range used {
		shared += max(0, n-l.division.Reserved[u])
	}
	return shared <= l.division.Shared
}

// helps reports whether closing a connection makes more room for a use: it holds memory of the same use or of
// one that takes from the shared part. Other processes of the system do not give way to clients.
func (l *Ledger) helps(c *connection, used [UseCount]int64, use Use) bool {
	if c.isProtected() && use != UseProcesses && use != UseMessages {
		return false
	}
	for u, held := range c.held {
		if held > 0 && (Use(u) == use || used[u] > l.division.Reserved[u]) {
			return true
		}
	}
	return false
}
