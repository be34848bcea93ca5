package gateway

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/internal/backendapi"
	"github.com/godwitlink/godwitlink/internal/pause"
	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

const (
	// pullWait is how long a pull waits for an announcement (docs/design.md,
	// section 2.8).
	pullWait = 100 * time.Millisecond
	// pullTimeout limits a pull from an entry process that does not answer.
	pullTimeout = time.Second
	// pullBackoff is the delay after a failed pull.
	pullBackoff = 200 * time.Millisecond
	// maxPulledAnnouncements limits the announcements in one answer.
	maxPulledAnnouncements = 1000
)

// puller is a running pull task.
type puller struct {
	address string
	stop    context.CancelFunc
}

func (m setMembers) apply(r *router, _ time.Time) {
	r.peers.Set(m.members)
	r.table.SetEntries(entryLocations(m.members))
	wanted := map[cell.EntryName]bool{}
	for _, member := range r.peers.Members() {
		wanted[member.Name] = true
		r.startPuller(member)
	}
	for name, running := range r.pullers {
		if !wanted[name] {
			running.stop()
			delete(r.pullers, name)
		}
	}
}

func entryLocations(members []state.Member) []routing.Entry {
	entries := make([]routing.Entry, len(members))
	for i, m := range members {
		entries[i] = routing.Entry{Name: m.Name, Region: m.Region, FailureDomain: m.FailureDomain}
	}
	return entries
}

func (r *router) startPuller(member state.Member) {
	running, ok := r.pullers[member.Name]
	if ok && running.address == member.Address {
		return
	}
	if ok {
		running.stop()
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.pullers[member.Name] = puller{address: member.Address, stop: stop}
	task := &pullTask{
		gateway: r.gateway,
		peer:    member.Name,
		client:  rpcpb.NewPeerProtobufClient(r.gateway.opts.PeerScheme+"://"+member.Address, r.gateway.opts.PeerClient),
	}
	go task.run(ctx)
}

func (m getCursor) apply(r *router, _ time.Time) {
	incarnation, cursor := r.peers.Cursor(m.peer)
	m.reply <- peerCursor{incarnation: incarnation, cursor: cursor}
}

func (m pullRequest) apply(r *router, now time.Time) {
	if m.incarnation != r.gateway.opts.Incarnation {
		m.cursor = 0
	}
	r.pulls = append(r.pulls, m)
	r.answerPulls(now)
}

// answerPulls answers the pulls for which there are announcements or whose wait has
// ended.
func (r *router) answerPulls(now time.Time) {
	var kept []pullRequest
	for _, p := range r.pulls {
		items, cursor := r.registry.Since(now, p.cursor, maxPulledAnnouncements)
		if len(items) == 0 && now.Before(p.until) {
			kept = append(kept, p)
			continue
		}
		p.reply <- pullReply{cursor: cursor, items: items}
	}
	r.pulls = kept
}

// peerServer serves Peer.Pull.
type peerServer struct{ gateway *Gateway }

// Pull implements rpcpb.Peer.
func (s peerServer) Pull(ctx context.Context, req *rpcpb.PullRequest) (*rpcpb.PullResponse, error) {
	g := s.gateway
	reply := make(chan pullReply, 1)
	wait := min(time.Duration(req.MaxWaitMillis)*time.Millisecond, pullWait)
	ok := g.send(pullRequest{
		incarnation: cell.Incarnation(req.PeerIncarnation),
		cursor:      req.Cursor,
		until:       g.clock.now().Add(wait),
		reply:       reply,
	})
	response := &rpcpb.PullResponse{PeerIncarnation: uint64(g.opts.Incarnation)}
	if !ok {
		return nil, errStopped
	}
	select {
	case answer := <-reply:
		response.Cursor = answer.cursor
		for _, item := range answer.items {
			response.Announcements = append(response.Announcements, encodeAnnouncement(item))
		}
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-g.stopped:
		return nil, errStopped
	}
}

// errStopped is the answer to a pull when the router task has ended.
var errStopped = twirp.NewError(twirp.Unavailable, "entry process is stopping")

// pullTask pulls announcements from one entry process until its context ends.
type pullTask struct {
	gateway *Gateway
	peer    cell.EntryName
	client  rpcpb.Peer
	failing bool
}

func (t *pullTask) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := t.pullOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		t.logTransition(err)
		if err != nil {
			_ = pause.For(ctx, pullBackoff)
		}
	}
}

func (t *pullTask) pullOnce(ctx context.Context) error {
	reply := make(chan peerCursor, 1)
	if !t.gateway.send(getCursor{peer: t.peer, reply: reply}) {
		return context.Canceled
	}
	var from peerCursor
	select {
	case from = <-reply:
	case <-t.gateway.stopped:
		return context.Canceled
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	sentAt := t.gateway.clock.now()
	response, err := t.client.Pull(ctx, &rpcpb.PullRequest{
		Entry:            string(t.gateway.opts.Entry),
		EntryIncarnation: uint64(t.gateway.opts.Incarnation),
		Cursor:           from.cursor,
		PeerIncarnation:  uint64(from.incarnation),
		MaxWaitMillis:    uint32(pullWait / time.Millisecond),
	})
	if err != nil {
		return err
	}
	t.gateway.send(mergePulled{
		peer:        t.peer,
		incarnation: cell.Incarnation(response.PeerIncarnation),
		cursor:      response.Cursor,
		sentAt:      sentAt,
		items:       t.decode(response.Announcements),
	})
	return nil
}

// logTransition logs the first failed pull and the first successful one after it.
func (t *pullTask) logTransition(err error) {
	failing := err != nil
	if failing == t.failing {
		return
	}
	t.failing = failing
	event := eventPullRecovered
	if failing {
		event = eventPullFailed
	}
	t.gateway.opts.Logger.Log(event, zap.String("entry", string(t.peer)), zap.Error(err))
}

func (t *pullTask) decode(wire []*rpcpb.Announcement) []membership.AgedAnnouncement {
	var items []membership.AgedAnnouncement
	for _, w := range wire {
		item := decodeAnnouncement(w)
		if err := backendapi.ValidateAnnouncement(item.Announcement); err != nil {
			t.gateway.opts.Metrics.Add(metricAnnouncements, "malformed", 1)
			t.gateway.opts.Logger.Log(eventMalformedPulled, zap.String("entry", string(t.peer)), zap.Error(err))
			continue
		}
		items = append(items, item)
	}
	return items
}

func encodeAnnouncement(item membership.AgedAnnouncement) *rpcpb.Announcement {
	return &rpcpb.Announcement{
		Backend:       string(item.Backend),
		Incarnation:   uint64(item.Incarnation),
		Sequence:      item.Sequence,
		Service:       string(item.Service),
		Address:       item.Address,
		Region:        string(item.Region),
		FailureDomain: string(item.FailureDomain),
		Slots:         int32(item.Slots),
		Connections:   int32(item.Connections),
		InFlight:      int32(item.InFlight),
		Leaving:       item.Leaving,
		// Rounded up, so that an announcement never looks younger than it is.
		AgeMillis: int64((item.Age + time.Millisecond - 1) / time.Millisecond),
	}
}

func decodeAnnouncement(w *rpcpb.Announcement) membership.AgedAnnouncement {
	return membership.AgedAnnouncement{
		Announcement: membership.Announcement{
			Backend:       cell.BackendName(w.GetBackend()),
			Incarnation:   cell.Incarnation(w.GetIncarnation()),
			Sequence:      w.GetSequence(),
			Service:       cell.Service(w.GetService()),
			Address:       w.GetAddress(),
			Region:        cell.Region(w.GetRegion()),
			FailureDomain: cell.FailureDomain(w.GetFailureDomain()),
			Slots:         int(w.GetSlots()),
			Connections:   int(w.GetConnections()),
			InFlight:      int(w.GetInFlight()),
			Leaving:       w.GetLeaving(),
		},
		Age: time.Duration(w.GetAgeMillis()) * time.Millisecond,
	}
}
