package controlclient

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/godwitlink/godwitlink/internal/rpc/rpcpb"
)

// directory is the task that tracks the addresses of the control replicas and which of them is
// probably the leader.
type directory struct {
	scheme            string
	httpClient        *http.Client
	lookups           chan chan target
	failures          chan failedTarget
	memberUpdates     chan []string
	configuredUpdates chan []string // holds the latest addresses in the settings

	configured        []string // addresses in the settings
	members           []string // addresses of the members of the group; nil if unknown
	addresses         []string // owned by run
	current           int      // index of the probable leader in addresses; owned by run
	clients           map[string]rpcpb.Control
	unresponsiveUntil map[string]time.Time // when a replica that did not answer may be selected again
}

// unresponsivePeriod is how long a replica that did not answer is skipped in the search for the
// leader. It is shorter than the 0.45 s after which a restarted process may lead.
const unresponsivePeriod = 400 * time.Millisecond

// target is a replica to call.
type target struct {
	address string
	control rpcpb.Control
}

type failedTarget struct {
	address      string
	leader       string // address of the leader that the replica named, or empty
	unresponsive bool   // the replica did not answer
}

// failureQueueSize bounds the pending failure reports. A report that finds the queue full is
// dropped; the next failed call reports again.
const failureQueueSize = 64

func newDirectory(addresses []string, scheme string, httpClient *http.Client) *directory {
	return &directory{
		scheme:            scheme,
		httpClient:        httpClient,
		lookups:           make(chan chan target),
		failures:          make(chan failedTarget, failureQueueSize),
		memberUpdates:     make(chan []string, 1),
		configuredUpdates: make(chan []string, 1),
		configured:        addresses,
		addresses:         append([]string(nil), addresses...),
		clients:           map[string]rpcpb.Control{},
		unresponsiveUntil: map[string]time.Time{},
	}
}

func (d *directory) run(ctx context.Context) {
	for {
		select {
		case reply := <-d.lookups:
			reply <- d.currentTarget()
		case failure := <-d.failures:
			d.handleFailure(time.Now(), failure)
		case addresses := <-d.memberUpdates:
			d.setMembers(addresses)
		case addresses := <-d.configuredUpdates:
			d.setConfigured(addresses)
		case <-ctx.Done():
			return
		}
	}
}

func (d *directory) currentTarget() target {
	address := d.addresses[d.current]
	control := d.clients[address]
	if control == nil {
		control = rpcpb.NewControlProtobufClient(d.scheme+"://"+address, attemptHTTPClient{d.httpClient})
		d.clients[address] = control
	}
	return target{address: address, control: control}
}

// handleFailure selects the named leader, or else the next replica that is not marked as
// unresponsive. A named leader is selected even if it is marked, because replicas only name a
// leader that they have heard from recently. Failures of a replica that is no longer selected are
// ignored, so that many calls that fail together advance the selection once.
func (d *directory) handleFailure(now time.Time, failure failedTarget) {
	if failure.unresponsive {
		d.unresponsiveUntil[failure.address] = now.Add(unresponsivePeriod)
	}
	if failure.address != d.addresses[d.current] {
		return
	}
	if failure.leader != "" && failure.leader != failure.address {
		d.current = d.indexOf(failure.leader)
		return
	}
	for range d.addresses {
		d.current = (d.current + 1) % len(d.addresses)
		if !d.isUnresponsive(now, d.addresses[d.current]) {
			return
		}
	}
	// No replica answers, so each is tried in turn.
	d.current = (d.current + 1) % len(d.addresses)
}

func (d *directory) isUnresponsive(now time.Time, address string) bool {
	until, known := d.unresponsiveUntil[address]
	if known && !now.Before(until) {
		delete(d.unresponsiveUntil, address)
		return false
	}
	return known
}

// setMembers replaces the addresses of the members of the group.
func (d *directory) setMembers(members []string) {
	d.members = members
	d.mergeAddresses()
}

// setConfigured replaces the addresses in the settings.
func (d *directory) setConfigured(addresses []string) {
	d.configured = addresses
	d.mergeAddresses()
}

// mergeAddresses lists the members, followed by the addresses in the settings. The latter are useful
// if every known member has been replaced since. The selected address stays selected.
func (d *directory) mergeAddresses() {
	current := d.addresses[d.current]
	merged := append([]string(nil), d.members...)
	for _, address := range d.configured {
		if !slices.Contains(merged, address) {
			merged = append(merged, address)
		}
	}
	d.addresses = merged
	d.current = d.indexOf(current)
	maps.DeleteFunc(d.clients, func(address string, _ rpcpb.Control) bool { return !slices.Contains(d.addresses, address) })
	maps.DeleteFunc(d.unresponsiveUntil, func(address string, _ time.Time) bool { return !slices.Contains(d.addresses, address) })
}

func (d *directory) indexOf(address string) int {
	for i, known := range d.addresses {
		if known == address {
			return i
		}
	}
	d.addresses = append(d.addresses, address)
	return len(d.addresses) - 1
}

// leader returns the probable leader.
func (d *directory) leader(ctx context.Context) (target, error) {
	reply := make(chan target, 1)
	select {
	case d.lookups <- reply:
		return <-reply, nil
	case <-ctx.Done():
		return target{}, ctx.Err()
	}
}

// reportFailure reports a failed call to the task.
func (d *directory) reportFailure(failure failedTarget) {
	select {
	case d.failures <- failure:
	default:
	}
}
