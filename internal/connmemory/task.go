package connmemory

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/memorybudget"
	"github.com/godwitlink/godwitlink/internal/eventlog"
	"github.com/godwitlink/godwitlink/internal/metrics"
)

// mailboxSize is above the messages that all connections send in the time of one garbage collection.
const mailboxSize = 1024

// gaugeInterval is the time between two updates of the gauges and of the log.
const gaugeInterval = time.Second

// kind says what a message to the task asks or reports.
type kind uint8

const (
	kindOpen kind = iota
	kindGrow
	kindRelease
	kindProgress
	kindBegin
	kindAwait
	kindEndRequest
	kindClose
	kindCloseStalled
	kindRefused
)

// message is a message of a connection to the task.
type message struct {
	kind   kind
	conn   *conn
	use    memorybudget.Use
	bytes  int64
	reason string // of kindRefused
	peer   string
	reply  chan bool // for kindOpen and kindGrow; has room for the reply
}

// Budget is the memory budget of a process. Run owns the ledger; the other methods are safe for concurrent
// use.
type Budget struct {
	mailbox  chan message
	stopped  chan struct{} // closed when Run ends
	limits   atomic.Pointer[Limits]
	division memorybudget.Division
	nextID   atomic.Uint64
	logger   *eventlog.Logger
	metrics  *metrics.Set
}

// New returns a budget of the given division. It grants memory once Run is called.
func New(division memorybudget.Division, logger *eventlog.Logger, set *metrics.Set) *Budget {
	b := &Budget{mailbox: make(chan message, mailboxSize), stopped: make(chan struct{}), division: division, logger: logger, metrics: set}
	limits := DefaultLimits
	b.limits.Store(&limits)
	return b
}

// owner is the state of the task.
type owner struct {
	*Budget
	ledger   *memorybudget.Ledger
	conns    map[memorybudget.ID]*conn
	refusals map[refusal]int // since the last line of the log
}

// refusal groups refusals in the log.
type refusal struct{ reason, peer string }

// maxRefusalGroups bounds the lines of the log in one interval. Further peers are counted in the line of all
// others.
const maxRefusalGroups = 8

// Run owns the ledger until ctx ends. After that, all requests for memory are granted: the process ends.
func (b *Budget) Run(ctx context.Context) {
	defer close(b.stopped)
	o := &owner{Budget: b, ledger: memorybudget.New(b.division), conns: map[memorybudget.ID]*conn{}, refusals: map[refusal]int{}}
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-b.mailbox:
			o.handle(time.Now(), m)
		case <-ticker.C:
			o.report()
		case <-ctx.Done():
			return
		}
	}
}

func (o *owner) handle(now time.Time, m message) {
	switch m.kind {
	case kindOpen:
		o.conns[m.conn.id] = m.conn
		granted := o.decide(o.ledger.Open(now, m.conn.id, m.use, m.bytes), m)
		if !granted {
			delete(o.conns, m.conn.id)
		}
		m.reply <- granted
	case kindGrow:
		m.reply <- o.decide(o.ledger.Grow(now, m.conn.id, m.use, m.bytes), m)
	case kindRelease:
		o.ledger.Release(m.conn.id, m.use, m.bytes)
	case kindProgress:
		o.ledger.Progress(now, m.conn.id)
	case kindBegin:
		o.ledger.Begin(m.conn.id)
	case kindAwait:
		o.ledger.Await(now, m.conn.id)
	case kindEndRequest:
		o.ledger.EndRequest(now, m.conn.id)
	case kindClose:
		o.ledger.Close(m.conn.id)
		delete(o.conns, m.conn.id)
	case kindCloseStalled:
		if id, ok := o.ledger.CloseStalled(now); ok {
			o.close(id, reasonSocketNeeded)
		}
	case kindRefused:
		o.logRefusal(m.reason, m.peer)
	}
}

// decide carries out a decision.
func (o *owner) decide(d memorybudget.Decision, m message) bool {
	for _, id := range d.Close {
		o.close(id, reasonStalled)
	}
	if !d.Granted && o.conns[m.conn.id] != nil {
		o.refused(reasonNoRoomPrefix+m.use.String(), m.conn.peer)
	}
	return d.Granted
}

// close closes a connection whose memory was taken back.
func (o *owner) close(id memorybudget.ID, reason string) {
	c := o.conns[id]
	delete(o.conns, id)
	if c == nil {
		return
	}
	o.refused(reason, c.peer)
	c.closeSocket()
}

// refused counts a refusal that the task decided.
func (o *owner) refused(reason, peer string) {
	o.metrics.Add(metricRefusals, reason, 1)
	o.logRefusal(reason, peer)
}

// logRefusal counts a refusal for the next lines of the log.
func (o *owner) logRefusal(reason, peer string) {
	group := refusal{reason, peer}
	if _, known := o.refusals[group]; !known && len(o.refusals) >= maxRefusalGroups {
		group = refusal{reason: "others"}
	}
	o.refusals[group]++
}

// report updates the gauges, and logs the refusals since the last report: a line for each reason and peer.
func (o *owner) report() {
	for use := range memorybudget.UseCount {
		o.metrics.SetGaugeFor(metricHeld, use.String(), float64(o.ledger.Used(use)))
	}
	for group, count := range o.refusals {
		o.logger.Log(eventRefused, zap.String("reason", group.reason), zap.String("peer", group.peer), zap.Int("count", count), zap.Int("connections", len(o.conns)))
	}
	clear(o.refusals)
}

// send sends a message that needs no reply.
func (b *Budget) send(m message) {
	select {
	case b.mailbox <- m:
	case <-b.stopped:
	}
}

// ask sends a message and waits for the reply.
func (b *Budget) ask(m message) bool {
	m.reply = make(chan bool, 1)
	select {
	case b.mailbox <- m:
	case <-b.stopped:
		return true
	}
	select {
	case granted := <-m.reply:
		return granted
	case <-b.stopped:
		return true
	}
}

// CloseStalled closes the connection without progress for the longest time. It is called when a connection
// waits for a descriptor.
func (b *Budget) CloseStalled() { b.send(message{kind: kindCloseStalled}) }

// peerHost returns the host of a peer's address, by which refusals are grouped.
func peerHost(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}
