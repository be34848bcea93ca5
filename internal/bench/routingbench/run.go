package routingbench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/routing"
)

// Default durations of a run in virtual time. The failure happens at the end of the warm-up.
const (
	warmUp      = 3 * time.Second
	measureTime = 8 * time.Second
)

// scenario is a load, possibly with a failure.
type scenario struct {
	name       string
	load       float64 // share of the capacity of all servers
	mode       mode    // of the first server after the warm-up
	lostRegion bool    // the first region is lost at the end of the warm-up
	uneven     bool    // the first entry process gets twice the load of any other
	queues     bool    // servers queue requests above their slots, as ordinary servers do, instead of refusing them
	order      admission.ShedOrder
}

// method is a method of choosing a backend server.
type method struct {
	name          string
	ignoreRegions bool
	simple        *simplePicker // nil for core/routing
	noHomes       bool
	exact         bool // uses exactPicker
}

// run is a simulation of one scenario with one method.
type run struct {
	clock       clock
	random      *rand.Rand
	scenario    scenario
	method      method
	servers     []*backend
	entries     []*entry
	nextID      uint64
	start       time.Time
	waits       []time.Duration
	arrivals    int
	answers     int
	errors      int
	notRun      int // requests answered as not run
	refusals    int // refusals by backend servers
	crossRegion int
	length      time.Duration // duration of the measurement after the warm-up
	warmUp      time.Duration
	outstanding map[cell.BackendName]int // requests of all entry processes, for exactPicker
}

func newRun(s scenario, m method, seed uint64) *run {
	r := &run{warmUp: warmUp, length: measureTime, outstanding: map[cell.BackendName]int{}, random: rand.New(rand.NewPCG(seed, 7)), scenario: s, method: m, start: time.Unix(1_800_000_000, 0)}
	r.clock.now = r.start
	for i := range serverCount {
		r.servers = append(r.servers, &backend{location: locationOf(i), queues: s.queues, index: i, name: cell.BackendName(fmt.Sprintf("server-%02d", i))})
	}
	for i := range entryCount {
		r.entries = append(r.entries, r.newEntry(i, seed))
	}
	return r
}

func (r *run) newEntry(i int, seed uint64) *entry {
	e := &entry{name: entryName(i), location: locationOf(i), run: r, waiting: map[uint64]*request{}, pools: map[cell.BackendName]*connectionPool{}}
	random := rand.New(rand.NewPCG(seed, uint64(i)+100))
	order := r.scenario.order
	if order == "" {
		order = admission.ShedOldest
	}
	e.queue = admission.New(admission.Options{
		MaxQueue: maxQueue, Shares: map[cell.Team]float64{team: 1},
		RetryBudget: retryBudget, Order: order, Random: random,
	})
	e.picker = r.newPicker(e, random)
	return e
}

func (r *run) newPicker(e *entry, random *rand.Rand) picker {
	if r.method.exact {
		return &exactPicker{run: r, random: random, region: e.region}
	}
	if r.method.simple != nil {
		copied := *r.method.simple
		copied.random = random
		return &copied
	}
	table := routing.NewTable(routing.Options{Name: e.name, Region: e.region, FailureDomain: e.domain, Random: random})
	table.SetPolicies(map[cell.Service]routing.Policy{service: {
		Lease: announceLease, MaxEntries: entryCount, CrossRegionPenalty: crossRegionPenalty, PanicThreshold: panicThreshold,
	}})
	if !r.method.noHomes {
		table.SetEntries(r.entryLocations(e))
	}
	return table
}

// entryLocations returns the entry processes as configured in the routing table of e. With
// ignoreRegions, all of them have the location of e.
func (r *run) entryLocations(e *entry) []routing.Entry {
	var entries []routing.Entry
	for i := range entryCount {
		p := locationOf(i)
		if r.method.ignoreRegions {
			p = e.location
		}
		entries = append(entries, routing.Entry{Name: entryName(i), Region: p.region, FailureDomain: p.domain})
	}
	return entries
}

func entryName(i int) cell.EntryName { return cell.EntryName(fmt.Sprintf("entry-%d", i)) }

func (r *run) backend(name cell.BackendName) *backend {
	for _, b := range r.servers {
		if b.name == name {
			return b
		}
	}
	return nil
}

// execute runs the scenario.
func (r *run) execute() {
	for i, b := range r.servers {
		offset := time.Duration(i) * announceInterval / serverCount
		r.clock.after(offset, func() { r.announce(b, i) })
	}
	for _, e := range r.entries {
		r.clock.after(time.Duration(r.random.Int64N(int64(tickInterval))), e.tick)
	}
	// Arrivals begin when all entry processes have received the first announcements.
	r.clock.after(announceInterval+100*time.Millisecond, r.generateArrival)
	r.clock.after(r.warmUp, r.injectFailure)
	r.clock.run(r.start.Add(r.warmUp + r.length + deadline + time.Second))
}

// announce sends an announcement to one entry process, from which the other ones receive it, and
// schedules the next announcement.
func (r *run) announce(b *backend, round int) {
	if b.mode == modeSilent {
		return
	}
	first := r.entries[round%entryCount]
	sentAt := r.clock.now
	inFlight := b.inFlight
	direct := oneWayDelay(b.location, first.location)
	for _, e := range r.entries {
		delay := direct
		if e != first {
			delay += oneWayDelay(first.location, e.location)
		}
		r.clock.after(delay, func() {
			if !e.lost && !first.lost {
				e.picker.Announce(r.clock.now, r.announcement(e, b, sentAt.Add(-2*direct), inFlight))
			}
		})
	}
	r.clock.after(announceInterval, func() { r.announce(b, round+1) })
}

func (r *run) announcement(e *entry, b *backend, seenAt time.Time, inFlight int) routing.Announcement {
	a := routing.Announcement{
		Service: service, Backend: b.name, Incarnation: 1, Address: string(b.name),
		Region: b.region, FailureDomain: b.domain, Slots: slots, Connections: connections,
		InFlight: inFlight, SeenAt: seenAt,
	}
	if r.method.ignoreRegions {
		a.Region, a.FailureDomain = e.region, e.domain
	}
	return a
}

func (r *run) injectFailure() {
	r.crossRegion, r.refusals = 0, 0
	if r.scenario.mode != modeHealthy {
		r.servers[0].mode = r.scenario.mode
	}
	if !r.scenario.lostRegion {
		return
	}
	lostRegion := r.servers[0].region
	for _, b := range r.servers {
		if b.region == lostRegion {
			b.mode = modeSilent
		}
	}
	for _, e := range r.entries {
		e.lost = e.region == lostRegion
	}
}

func (r *run) generateArrival() {
	elapsed := r.clock.now.Sub(r.start)
	if elapsed > r.warmUp+r.length {
		return
	}
	rate := r.scenario.load * serverCount * slots / meanService.Seconds()
	r.clock.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.generateArrival)
	e := r.liveEntry()
	q := &request{
		arrived:  r.clock.now,
		deadline: r.clock.now.Add(deadline),
		service:  time.Duration(r.random.ExpFloat64() * float64(meanService)),
		recorded: elapsed >= r.warmUp,
	}
	if q.recorded {
		r.arrivals++
	}
	e.arrive(q)
}

// liveEntry returns a random entry process that is not lost, as the load balancer in front of the
// entry processes chooses one.
func (r *run) liveEntry() *entry {
	all := r.entries
	if r.scenario.uneven {
		all = append(slices.Clone(all), all[0])
	}
	for {
		e := all[r.random.IntN(len(all))]
		if !e.lost {
			return e
		}
	}
}

func (r *run) recordAnswer(q *request) {
	if r.endRequest(q) {
		r.answers++
		r.waits = append(r.waits, r.clock.now.Sub(q.arrived)-q.service)
	}
}

func (r *run) recordError(q *request) {
	if r.endRequest(q) {
		r.errors++
	}
}

// recordTimeOut counts an error, with the whole deadline as the waiting time.
func (r *run) recordTimeOut(q *request) {
	if r.endRequest(q) {
		r.errors++
		r.waits = append(r.waits, deadline)
	}
}

func (r *run) recordNotRun(q *request, _ string) {
	if r.endRequest(q) {
		r.notRun++
	}
}

func (r *run) endRequest(q *request) bool {
	first := !q.ended
	q.ended = true
	return first && q.recorded
}

// percentile returns the waiting time that the given share of the requests does not exceed.
func (r *run) percentile(share float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[min(len(r.waits)-1, int(share*float64(len(r.waits))))]
}
