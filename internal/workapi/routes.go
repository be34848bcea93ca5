package workapi

import (
	"cmp"
	"slices"
	"strings"

	"github.com/godwitlink/godwitlink/core/workload"
)

// RoutingTable maps requests to queues. It is immutable.
type RoutingTable struct {
	version uint64
	byHost  map[string][]workload.Queue // ordered from the longest prefix to the shortest
	keys    *keyTable                   // nil if calls need no key
}

// NewRoutingTable indexes the queues of a configuration by host.
func NewRoutingTable(config workload.Config) *RoutingTable {
	r := &RoutingTable{version: config.Version, byHost: map[string][]workload.Queue{}}
	if config.KeysRequired {
		r.keys = newKeyTable(config.Teams)
	}
	for _, queue := range config.Queues {
		r.byHost[queue.Host] = append(r.byHost[queue.Host], queue)
	}
	for _, queues := range r.byHost {
		slices.SortFunc(queues, func(a, b workload.Queue) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return r
}

// Find returns the queue of the host with the longest prefix of path, and the rest of the path.
func (r *RoutingTable) Find(host, path string) (queue workload.Queue, rest string, ok bool) {
	for _, queue := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			return queue, rest, true
		}
	}
	return workload.Queue{}, "", false
}

// needsKey reports whether calls to a queue need the key of a team.
func (r *RoutingTable) needsKey(queue workload.Queue) bool { return r.keys != nil && !queue.Anonymous }

// caller returns on whose behalf a call with the given key acts on a queue, and whether the call is
// allowed. An empty key stands for none.
func (r *RoutingTable) caller(queue workload.Queue, key workload.Key) (caller workload.Caller, ok bool) {
	switch {
	case r.keys == nil:
		return workload.Caller{}, true
	case !r.needsKey(queue):
		return workload.Caller{AnonymousQueue: queue.Name}, true
	case key == "":
		return workload.Caller{}, false
	}
	team, ok := r.keys.find(key)
	return workload.Caller{Team: team}, ok
}
