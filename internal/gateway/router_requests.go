package gateway

import (
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/routing"
)

func (m requestServer) apply(r *router, now time.Time) {
	if m.addInFlight {
		if reason := r.addInFlight(); reason != exchange.ReasonNone {
			m.reply <- grant{reason: reason}
			return
		}
	}
	queue := r.queues[m.service]
	if queue == nil {
		m.reply <- grant{reason: exchange.ReasonNoService}
		return
	}
	r.waiting[m.request.ID] = m
	for _, refused := range queue.Offer(now, m.request) {
		r.refuse(queue, refused)
	}
	r.dispatchWaiting(now, m.service)
}

func (m cancelRequest) apply(r *router, _ time.Time) {
	queue := r.queues[m.service]
	waiting, ok := r.waiting[m.id]
	if !ok || queue == nil {
		return
	}
	queue.Remove(m.id)
	delete(r.waiting, m.id)
	waiting.reply <- grant{reason: exchange.ReasonDeadline}
}

func (m serverReleased) apply(r *router, now time.Time) {
	r.table.Finished(now, m.choice, m.observation)
	queue := r.queues[m.choice.Service]
	if queue == nil {
		return
	}
	queue.Finished(now, admission.Completion{
		Answered: m.observation.Result == routing.ResultAnswered,
		Refused:  m.observation.Result == routing.ResultRefused,
		Delay:    m.observation.Delay,
	})
	r.dispatchWaiting(now, m.choice.Service)
}

// dispatchWaiting dispatches waiting requests of a service while backend servers have capacity.
func (r *router) dispatchWaiting(now time.Time, service cell.Service) {
	queue := r.queues[service]
	for {
		dispatched := false
		for _, request := range queue.Candidates() {
			dispatched = r.tryDispatch(now, service, queue, request)
			if dispatched {
				break
			}
		}
		if !dispatched {
			return
		}
	}
}

// tryDispatch grants a backend server to a request or refuses the request. It returns
// false if the request has to wait.
func (r *router) tryDispatch(now time.Time, service cell.Service, queue *admission.Queue, request admission.Request) bool {
	waiting := r.waiting[request.ID]
	choice, refusal := r.table.Pick(now, routing.Request{
		Service: service, Exclude: waiting.exclude, Waiting: queue.Waiting(),
	})
	switch refusal {
	case routing.RefusalBusy:
		return false
	case routing.RefusalNone:
		queue.Take(now, request)
		r.grantServer(now, waiting, choice)
	default:
		queue.Remove(request.ID)
		r.refuse(queue, admission.Refused{Request: request, Reason: admission.Refusal(exchange.ReasonNoBackend)})
	}
	return true
}

func (r *router) grantServer(now time.Time, waiting requestServer, choice routing.Choice) {
	s, _ := r.registry.Latest(choice.Backend)
	if s.Leaving && s.Incarnation == choice.Incarnation {
		r.gateway.reportViolation("no-work-after-leave", string(choice.Backend))
	}
	r.table.Started(now, choice)
	delete(r.waiting, waiting.request.ID)
	waiting.reply <- grant{choice: choice, upstream: r.upstreamOf(choice), at: time.Now()}
}

func (r *router) refuse(queue *admission.Queue, refused admission.Refused) {
	waiting, ok := r.waiting[refused.Request.ID]
	if !ok {
		return
	}
	delete(r.waiting, refused.Request.ID)
	waiting.reply <- grant{reason: exchange.Reason(refused.Reason), retryAfter: queue.RetryAfter()}
}

func (r *router) refuseAll(service cell.Service, reason exchange.Reason) {
	for id, waiting := range r.waiting {
		if waiting.service == service {
			delete(r.waiting, id)
			waiting.reply <- grant{reason: reason}
		}
	}
}

// upstreamOf returns the connections to the chosen incarnation of a backend server.
func (r *router) upstreamOf(choice routing.Choice) *upstream {
	known := r.upstreams[choice.Backend]
	if known != nil && known.matches(choice) {
		return known
	}
	r.dropUpstream(choice.Backend)
	next := newUpstream(choice.Incarnation, choice.Address, choice.Connections)
	r.upstreams[choice.Backend] = next
	return next
}
