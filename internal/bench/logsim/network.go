package logsim

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Link is one direction between two replicas.
type Link struct{ From, To replog.ReplicaID }

// Network decides the delays of messages. Its fields may change at any time.
type Network struct {
	MinDelay, MaxDelay time.Duration // of every copy, drawn for each
	ExtraDelay         time.Duration // at most so much more; messages are reordered
	Loss               float64       // share of the messages that are lost
	Duplicate          float64       // share of the messages that arrive twice
	DuplicateDelay     time.Duration // second copies are later by at most so much

	rng *rand.Rand
	cut map[Link]int // how many cuts are in force
}

// NewNetwork returns a network without faults.
func NewNetwork(rng *rand.Rand, minDelay, maxDelay time.Duration) *Network {
	return &Network{MinDelay: minDelay, MaxDelay: maxDelay, rng: rng, cut: map[Link]int{}}
}

// Delays is for Options.Delays.
func (n *Network) Delays(m replog.Message) []time.Duration {
	if n.cut[Link{m.From, m.To}] > 0 || n.rng.Float64() < n.Loss {
		return nil
	}
	delays := []time.Duration{n.delay()}
	if n.rng.Float64() < n.Duplicate {
		delays = append(delays, n.delay()+n.randomUpTo(n.DuplicateDelay))
	}
	return delays
}

func (n *Network) delay() time.Duration {
	delay := n.MinDelay + n.randomUpTo(n.MaxDelay-n.MinDelay)
	return delay + time.Duration(n.rng.Float64()*float64(n.ExtraDelay))
}

func (n *Network) randomUpTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// Cut loses all messages on links until Restore is called for each Cut.
func (n *Network) Cut(links []Link) {
	for _, l := range links {
		n.cut[l]++
	}
}

// Restore ends one Cut of these links.
func (n *Network) Restore(links []Link) {
	for _, l := range links {
		n.cut[l]--
	}
}

// BothWays returns the links between a replica and others.
func BothWays(id replog.ReplicaID, others ...replog.ReplicaID) []Link {
	var links []Link
	for _, other := range others {
		links = append(links, Link{id, other}, Link{other, id})
	}
	return links
}
