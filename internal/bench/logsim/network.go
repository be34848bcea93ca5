package logsim

import (
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/replog"
)

// Link is the connection from one replica to another, in one direction.
type Link struct{ From, To replog.ReplicaID }

// Network decides the delays of messages. Its fields may change at any time.
type Network struct {
	MinDelay, MaxDelay time.Duration // range of the random delay of each copy of a message
	ExtraDelay         time.Duration // upper bound of a further random delay, which reorders messages
	Loss               float64       // share of the messages that are lost
	Duplicate          float64       // share of the messages that arrive twice
	DuplicateDelay     time.Duration // upper bound of a further random delay of the second copy

	rng *rand.Rand
	cut map[Link]int // number of Cut calls in force
}

// NewNetwork returns a network without faults.
func NewNetwork(rng *rand.Rand, minDelay, maxDelay time.Duration) *Network {
	return &Network{MinDelay: minDelay, MaxDelay: maxDelay, rng: rng, cut: map[Link]int{}}
}

// Delays returns the delays of the copies of a message; it is meant for Options.Delays.
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

// Cut drops all messages on links until Restore has been called once for each Cut.
func (n *Network) Cut(links []Link) {
	for _, l := range links {
		n.cut[l]++
	}
}

// Restore undoes one Cut of links.
func (n *Network) Restore(links []Link) {
	for _, l := range links {
		n.cut[l]--
	}
}

// LinksBetween returns the links between a replica and other replicas, in both directions.
func LinksBetween(id replog.ReplicaID, others ...replog.ReplicaID) []Link {
	var links []Link
	for _, other := range others {
		links = append(links, Link{id, other}, Link{other, id})
	}
	return links
}
