package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/godwitlink/godwitlink/core/membership"
	"github.com/godwitlink/godwitlink/core/routing"
	"github.com/godwitlink/godwitlink/internal/backendapi"
)

func (g *Gateway) serveAnnounce(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST", http.StatusMethodNotAllowed)
		return
	}
	a, token, err := backendapi.DecodeAnnouncement(req.Body)
	if err != nil {
		g.opts.Metrics.Add(metricAnnouncements, "malformed", 1)
		g.opts.Logger.Log(eventMalformedAnnouncement, zap.String("from", req.RemoteAddr), zap.Error(err))
		http.Error(w, err.Error(), announceErrorStatus(err))
		return
	}
	reply := make(chan announceReply, 1)
	if !g.trySend(receiveAnnouncement{announcement: a, token: token, reply: reply}) {
		g.opts.Metrics.Add(metricAnnouncements, "overloaded", 1)
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-reply:
		g.writeAnnounceReply(w, answer)
	case <-g.stopped:
		http.Error(w, "stopped", http.StatusServiceUnavailable)
	}
}

func announceErrorStatus(err error) int {
	if errors.Is(err, backendapi.ErrTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

func (g *Gateway) writeAnnounceReply(w http.ResponseWriter, answer announceReply) {
	g.opts.Metrics.Add(metricAnnouncements, string(answer.Verdict), 1)
	w.Header().Set("Content-Type", "application/json")
	switch answer.Verdict {
	case membership.VerdictUnknownService:
		w.WriteHeader(http.StatusNotFound)
	case membership.VerdictFull:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A failed write is ignored: the backend server announces itself again.
	_ = json.NewEncoder(w).Encode(backendapi.AnnouncementResponse{
		Verdict:    string(answer.Verdict),
		Token:      string(answer.Token),
		IntervalMS: answer.service.AnnounceInterval.Milliseconds(),
		LeaseMS:    answer.service.AnnounceLease.Milliseconds(),
	})
}

func (m receiveAnnouncement) apply(r *router, now time.Time) {
	reply := announceReply{Reply: r.registry.Receive(now, m.announcement, m.token)}
	for _, service := range r.config.byPrefix {
		if service.Name == m.announcement.Service {
			reply.service = service
		}
	}
	if reply.Verdict == membership.VerdictAccepted {
		r.updateTable(now, m.announcement)
		r.answerPulls(now)
	}
	m.reply <- reply
}

func (m mergePulled) apply(r *router, now time.Time) {
	r.peers.Advance(m.peer, m.incarnation, m.cursor)
	for _, item := range m.items {
		if r.registry.ReceivePulled(now, m.sentAt, item) {
			r.updateTable(now, item.Announcement)
		}
	}
}

// updateTable copies what the registry knows of a backend server to the routing table.
func (r *router) updateTable(now time.Time, a membership.Announcement) {
	s, ok := r.registry.Latest(a.Backend)
	if !ok {
		return
	}
	before := r.table.ServerCount(s.Service)
	r.table.Announce(now, routing.Announcement{
		Service:       s.Service,
		Backend:       s.Backend,
		Incarnation:   s.Incarnation,
		Address:       s.Address,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		Slots:         s.Slots,
		Connections:   s.Connections,
		InFlight:      s.InFlight,
		Leaving:       s.Leaving,
		SeenAt:        s.EarliestTime,
	})
	r.handleServerChange(before, s)
	queue := r.queues[s.Service]
	if queue == nil {
		return
	}
	queue.SetCeiling(r.table.Capacity(s.Service))
	r.dispatchWaiting(now, s.Service)
}

func (r *router) handleServerChange(before int, s membership.TimedAnnouncement) {
	after := r.table.ServerCount(s.Service)
	if after == before {
		return
	}
	event := eventBackendJoined
	if after < before {
		event = eventBackendLeft
		r.dropUpstream(s.Backend)
	}
	r.gateway.opts.Logger.Log(event,
		zap.String("backend", string(s.Backend)),
		zap.Uint64("incarnation", uint64(s.Incarnation)),
		zap.String("address", s.Address))
}
