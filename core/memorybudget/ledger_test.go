package memorybudget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

const testBytes = 24 << 20

func newTestLedger(t *testing.T) *Ledger {
	t.Helper()
	d, err := Divide(testBytes)
	if err != nil {
		t.Fatal(err)
	}
	return New(d)
}

// Guards against a division that exceeds the memory, or has no room for the largest request.
func TestDivisionStaysWithinTheMemory(t *testing.T) {
	for bytes := int64(MinBytes); bytes < 400<<20; bytes += 1 << 20 {
		d, err := Divide(bytes)
		if err != nil {
			t.Fatal(err)
		}
		total := d.Shared
		for _, reserved := range d.Reserved {
			total += reserved
		}
		if total != bytes || d.Shared <= 0 {
			t.Fatalf("%d bytes: %+v", bytes, d)
		}
		if d.Limit(UseRequests) < LargestRequest || d.Limit(UseBodies) < LargestRequest {
			t.Fatalf("%d bytes: the largest request has no room in %+v", bytes, d)
		}
	}
	if d, err := Divide(MinBytes - 1); err == nil {
		t.Errorf("divided %d bytes: %+v", MinBytes-1, d)
	}
}

// Guards against a use that takes what is reserved for another one: however much clients hold, the other
// processes of the system have their part.
func TestUseKeepsItsReservedMemory(t *testing.T) {
	l := newTestLedger(t)
	for id := ID(1); l.Open(start, id, UseConnections, 20<<10).Granted; id++ {
		l.Begin(id)
		l.Grow(start, id, UseRequests, 256<<10)
	}
	if d := l.Open(start, 1_000_000, UseProcesses, l.division.Reserved[UseProcesses]); !d.Granted {
		t.Error("no reserved memory for processes")
	}
}

// Guards against a request that is being worked on losing its connection, and against a client that sends
// slowly being closed before one that has stopped.
func TestOldestWithoutProgressIsClosed(t *testing.T) {
	l := newTestLedger(t)
	limit := l.division.Limit(UseBodies)
	const clients = 8
	for id := ID(1); id <= clients; id++ {
		l.Open(start, id, UseConnections, 1)
		if !l.Grow(start, id, UseBodies, limit/clients).Granted {
			t.Fatal("no room")
		}
	}
	l.Begin(1)
	l.Progress(start.Add(StallTime/2), 2)
	l.Open(start, 100, UseConnections, 1)
	if d := l.Grow(start.Add(StallTime-1), 100, UseBodies, limit/clients); d.Granted {
		t.Errorf("granted before any connection counts as stalled: %+v", d)
	}
	d := l.Grow(start.Add(StallTime), 100, UseBodies, limit/clients)
	if !d.Granted || !slices.Equal(d.Close, []ID{3}) {
		t.Errorf("%+v, want connection 3 closed", d)
	}
	if d := l.Grow(start.Add(StallTime), 3, UseBodies, 1); d.Granted {
		t.Error("a closed connection gets memory")
	}
	if id, ok := l.CloseStalled(start.Add(StallTime)); !ok || id != 4 {
		t.Errorf("closed %d, %v, want 4", id, ok)
	}
}

// Guards against idle connections between replicas that are closed for clients.
func TestProcessesDoNotGiveWayToClients(t *testing.T) {
	l := newTestLedger(t)
	l.Open(start, 1, UseProcesses, l.division.Limit(UseProcesses))
	l.Open(start, 2, UseConnections, 1)
	later := start.Add(time.Hour)
	l.Progress(later, 2)
	if d := l.Grow(later, 2, UseBodies, l.division.Limit(UseBodies)); d.Granted {
		t.Errorf("%+v", d)
	}
	if id, ok := l.CloseStalled(later); ok {
		t.Errorf("connection %d of a process is closed for a descriptor", id)
	}
	if d := l.Open(later, 3, UseProcesses, 20<<10); !d.Granted || !slices.Equal(d.Close, []ID{1}) {
		t.Errorf("%+v, want the idle connection of a process closed for another one", d)
	}
}

// Guards against large messages that stop on their way and keep what clients share with them.
func TestStoppedMessagesGiveWayToClients(t *testing.T) {
	l := newTestLedger(t)
	l.Open(start, 1, UseProcesses, 1)
	l.Grow(start, 1, UseMessages, l.division.Limit(UseMessages))
	l.Open(start, 2, UseConnections, 1)
	if d := l.Grow(start, 2, UseAnswers, l.division.Limit(UseAnswers)); d.Granted {
		t.Errorf("%+v for a message on its way", d)
	}
	if d := l.Grow(start.Add(StallTime), 2, UseAnswers, l.division.Limit(UseAnswers)); !d.Granted || !slices.Equal(d.Close, []ID{1}) {
		t.Errorf("%+v, want the stopped message closed", d)
	}
}

// Guards against connections that are closed although the request that asks gets no room all the same.
func TestNothingIsClosedInVain(t *testing.T) {
	l := newTestLedger(t)
	l.Open(start, 1, UseConnections, 1<<20)
	l.Open(start, 2, UseConnections, 1)
	if d := l.Grow(start.Add(time.Hour), 2, UseBodies, testBytes); d.Granted || len(d.Close) > 0 {
		t.Errorf("%+v", d)
	}
	if l.Used(UseConnections) != 1<<20+1 {
		t.Errorf("connections hold %d bytes", l.Used(UseConnections))
	}
}

// Guards against a snapshot that a replica can never take because it is larger than the budget, and against
// several of them at once.
func TestOneMessageMayExceedTheLimit(t *testing.T) {
	l := newTestLedger(t)
	l.Open(start, 1, UseProcesses, 1)
	l.Open(start, 2, UseProcesses, 1)
	if !l.Grow(start, 1, UseMessages, 2*testBytes).Granted {
		t.Error("a large snapshot is refused")
	}
	if l.Grow(start, 2, UseMessages, 2*testBytes).Granted {
		t.Error("a second message above the limit")
	}
	if !l.Open(start, 3, UseConnections, l.division.Limit(UseConnections)/2).Granted {
		t.Error("the snapshot takes the memory of clients")
	}
	l.EndRequest(start, 1)
	if !l.Grow(start, 2, UseMessages, 2*testBytes).Granted {
		t.Error("the next snapshot is refused")
	}
	if d := l.Grow(start.Add(StallTime), 1, UseMessages, 2*testBytes); !d.Granted || !slices.Equal(d.Close, []ID{2}) {
		t.Errorf("%+v after a snapshot that has stopped", d)
	}
}

// crowd is a simulated load: clients that stop, beside callers that send whole requests.
type crowd struct {
	ledger *Ledger
	nextID ID
	open   map[ID]bool
	now    time.Time
}

func (c *crowd) apply(d Decision) bool {
	for _, id := range d.Close {
		delete(c.open, id)
	}
	return d.Granted
}

// connect opens a connection and asks for the memory of a body. The client stops then.
func (c *crowd) connect(body int64) (ID, bool) {
	c.nextID++
	id := c.nextID
	if !c.apply(c.ledger.Open(c.now, id, UseConnections, 20<<10)) {
		return id, false
	}
	c.open[id] = true
	if !c.apply(c.ledger.Grow(c.now, id, UseBodies, body)) {
		c.ledger.Close(id)
		delete(c.open, id)
		return id, false
	}
	return id, true
}

// Guards against a crowd that shuts out ordinary callers: 40 clients a second send bodies of the largest size
// and stop; one caller sends requests of 4 KiB and comes back every 100 ms when it is refused. The caller must
// be served within StallTime and 1 s each time, because by then the oldest client has stalled.
func TestCallersAreServedBesideACrowd(t *testing.T) {
	c := &crowd{ledger: newTestLedger(t), open: map[ID]bool{}, now: start}
	waitingSince := start
	served, refused := 0, 0
	for tick := range 60 * 40 {
		c.now = start.Add(time.Duration(tick) * 25 * time.Millisecond)
		if _, ok := c.connect(256 << 10); !ok {
			refused++
		}
		if tick%4 != 0 {
			continue
		}
		if id, ok := c.connect(4 << 10); ok {
			c.ledger.Begin(id)
			c.ledger.Close(id)
			delete(c.open, id)
			waitingSince = c.now
			served++
		} else if c.now.Sub(waitingSince) > StallTime+time.Second {
			t.Fatalf("not served for %v", c.now.Sub(waitingSince))
		}
	}
	if served == 0 || refused == 0 {
		t.Errorf("%d served, %d refused: the load is not above the budget", served, refused)
	}
}

// Guards against bytes that are lost or counted twice in any order of calls.
func TestRandomisedAccounts(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := newTestLedger(t)
		now := start
		for range 500 {
			id, use, bytes := ID(1+random.IntN(40)), Use(random.IntN(int(UseCount))), random.Int64N(2<<20)
			now = now.Add(time.Duration(random.Int64N(int64(StallTime / 4))))
			switch random.IntN(8) {
			case 0, 1:
				if l.connections[id] == nil {
					l.Open(now, id, use, bytes)
				}
			case 2, 3:
				l.Grow(now, id, use, bytes)
			case 4:
				l.Release(id, use, bytes)
			case 5:
				l.Begin(id)
			case 6:
				l.EndRequest(now, id)
			case 7:
				l.Close(id)
			}
			checkLedger(t, seed, l)
		}
	}
}

func checkLedger(t *testing.T, seed uint64, l *Ledger) {
	t.Helper()
	var sum [UseCount]int64
	stallable := 0
	for _, c := range l.connections {
		for use, held := range c.held {
			if !c.oversize || Use(use) != UseMessages {
				sum[use] += held
			}
		}
		if c.stallable != nil {
			stallable++
		}
	}
	if sum != l.used || stallable != l.stallable.Len() {
		t.Fatalf("seed %d: held %v, used %v; %d in the list of %d", seed, sum, l.used, l.stallable.Len(), stallable)
	}
	shared := int64(0)
	for use, used := range l.used {
		shared += max(0, used-l.division.Reserved[use])
	}
	if shared > l.division.Shared {
		t.Fatalf("seed %d: %d bytes of the shared part are used, it has %d", seed, shared, l.division.Shared)
	}
}
