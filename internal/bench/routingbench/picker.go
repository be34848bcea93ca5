package routingbench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// picker chooses backend servers for one entry process. *routing.Table implements it.
type picker interface {
	Announce(now time.Time, a routing.Announcement)
	Expire(now time.Time) []cell.BackendName
	Pick(now time.Time, r routing.Request) (routing.Choice, routing.Refusal)
	Started(now time.Time, c routing.Choice)
	Finished(now time.Time, c routing.Choice, o routing.Observation)
	Capacity(service cell.Service) int
}

// simplePicker is the common part of the methods that are compared with core/routing. It tracks the
// servers with a valid announcement and the outstanding requests of this entry process.
type simplePicker struct {
	random        *rand.Rand
	choose        func(s *simplePicker, now time.Time, usable []*simpleServer) *simpleServer
	ejectOnErrors bool // excludes a server for ejectionTime after errorsToEject errors in a row
	servers       []*simpleServer
	next          int
	nextID        uint64
}

type simpleServer struct {
	routing.Announcement
	outstanding  int
	errors       int
	ejectedUntil time.Time
}

// Settings of the ejection of servers after errors, as common proxies have them.
const (
	errorsToEject = 5
	ejectionTime  = 10 * time.Second
)

// Announce implements picker.
func (s *simplePicker) Announce(now time.Time, a routing.Announcement) {
	for _, known := range s.servers {
		if known.Backend == a.Backend {
			known.Announcement = a
			return
		}
	}
	s.servers = append(s.servers, &simpleServer{Announcement: a})
	slices.SortFunc(s.servers, func(a, b *simpleServer) int {
		if a.Backend < b.Backend {
			return -1
		}
		return 1
	})
}

// Expire implements picker.
func (s *simplePicker) Expire(now time.Time) []cell.BackendName {
	s.servers = slices.DeleteFunc(s.servers, func(b *simpleServer) bool { return now.Sub(b.SeenAt) >= announceLease })
	return nil
}

// Pick implements picker.
func (s *simplePicker) Pick(now time.Time, r routing.Request) (routing.Choice, routing.Refusal) {
	var usable []*simpleServer
	for _, b := range s.servers {
		if !slices.Contains(r.Exclude, b.Backend) && !now.Before(b.ejectedUntil) {
			usable = append(usable, b)
		}
	}
	if len(usable) == 0 {
		return routing.Choice{}, routing.RefusalNoBackend
	}
	chosen := s.choose(s, now, usable)
	if chosen == nil {
		return routing.Choice{}, routing.RefusalBusy
	}
	s.nextID++
	return routing.Choice{Service: r.Service, Backend: chosen.Backend, ID: s.nextID}, routing.RefusalNone
}

// Started implements picker.
func (s *simplePicker) Started(_ time.Time, c routing.Choice) {
	if b := s.find(c.Backend); b != nil {
		b.outstanding++
	}
}

// Finished implements picker.
func (s *simplePicker) Finished(now time.Time, c routing.Choice, o routing.Observation) {
	b := s.find(c.Backend)
	if b == nil {
		return
	}
	b.outstanding--
	switch o.Result {
	case routing.ResultAnswered:
		b.errors = 0
	case routing.ResultFailed, routing.ResultTimedOut, routing.ResultRefused:
		b.errors++
	}
	if s.ejectOnErrors && b.errors >= errorsToEject {
		b.errors, b.ejectedUntil = 0, now.Add(ejectionTime)
	}
}

// Capacity implements picker.
func (s *simplePicker) Capacity(cell.Service) int {
	return len(s.servers) * (connections / entryCount)
}

func (s *simplePicker) find(name cell.BackendName) *simpleServer {
	for _, b := range s.servers {
		if b.Backend == name {
			return b
		}
	}
	return nil
}

func chooseRoundRobin(s *simplePicker, _ time.Time, usable []*simpleServer) *simpleServer {
	s.next++
	return usable[s.next%len(usable)]
}

func chooseRandom(s *simplePicker, _ time.Time, usable []*simpleServer) *simpleServer {
	return usable[s.random.IntN(len(usable))]
}

// chooseLeastOutstanding returns the server with the fewest outstanding requests of this entry
// process. The search begins at a random server, so that ties are broken at random.
func chooseLeastOutstanding(s *simplePicker, _ time.Time, usable []*simpleServer) *simpleServer {
	start := s.random.IntN(len(usable))
	var least *simpleServer
	for i := range usable {
		b := usable[(start+i)%len(usable)]
		if b.outstanding < connections/entryCount && (least == nil || b.outstanding < least.outstanding) {
			least = b
		}
	}
	return least
}
