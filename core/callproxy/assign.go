package callproxy

import (
	"hash/fnv"
	"math"
)

// share is the part of the workers that one process calls, relative to the others.
type share struct {
	address string
	weight  float64
}

// choose returns the address that a worker is assigned to, by weighted rendezvous hashing: a change of one
// weight moves only workers to or from that address. It returns the empty address without shares.
func choose(worker string, shares []share) string {
	chosen, least := "", math.Inf(1)
	for _, s := range shares {
		if s.weight <= 0 {
			continue
		}
		// The minimum of exponentially distributed values with these rates is at each address with a
		// probability in proportion to its weight.
		if score := -math.Log(uniform(worker, s.address)) / s.weight; score < least {
			chosen, least = s.address, score
		}
	}
	return chosen
}

// uniform returns a number above 0 and below 1 that is a hash of its arguments.
func uniform(worker, address string) float64 {
	h := fnv.New64a()
	// A hash.Hash returns no error.
	_, _ = h.Write([]byte(address))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	// FNV spreads the last bytes badly over the upper bits; this is the finalizer of MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// split divides a number of workers between the given number of proxies and the leader. Proxies get up to
// perProxy workers each before the leader calls any, and no process gets more than perProcess. The rest
// is called by nobody.
func split(workers, proxies, perProxy, perProcess int) (eachProxy, leader, none float64) {
	w, n := float64(workers), float64(proxies)
	leader = max(0, min(w-n*float64(perProxy), w/(n+1), float64(perProcess)))
	if n > 0 {
		eachProxy = min((w-leader)/n, float64(perProcess))
	}
	return eachProxy, leader, max(0, w-leader-n*eachProxy)
}
