package routing

import (
	"hash/fnv"

	"github.com/godwitlink/godwitlink/core/cell"
)

// Entry is an entry process of the cell.
type Entry struct {
	Name          cell.EntryName
	Region        cell.Region
	FailureDomain cell.FailureDomain
}

// homeServers returns the servers whose home is the entry process self. The servers must be sorted
// by name. Each server has one home among the entry processes of its region, and the numbers of
// servers per entry process differ by at most one. Entry processes with equal views compute the
// same homes; with different views a server may have two homes or none, which only causes refused
// requests.
func homeServers(self cell.EntryName, entries []Entry, servers []*server) map[*server]bool {
	homes := map[*server]bool{}
	for region, inRegion := range byRegion(entries) {
		var local []*server
		for _, s := range servers {
			if s.Region == region {
				local = append(local, s)
			}
		}
		assignHomes(inRegion, local, func(s *server, e Entry) {
			if e.Name == self {
				homes[s] = true
			}
		})
	}
	return homes
}

func byRegion(entries []Entry) map[cell.Region][]Entry {
	groups := map[cell.Region][]Entry{}
	for _, e := range entries {
		groups[e.Region] = append(groups[e.Region], e)
	}
	return groups
}

// assignHomes assigns each server to the entry process with the highest homeWeight that has not
// reached its share of servers (rendezvous hashing with bounded loads). It calls assigned for each
// assignment.
func assignHomes(entries []Entry, servers []*server, assigned func(*server, Entry)) {
	share := len(servers) / len(entries)
	extra := len(servers) % len(entries) // number of entry processes with one more server
	counts := make([]int, len(entries))
	for _, s := range servers {
		best := -1
		for i, e := range entries {
			hasRoom := counts[i] < share || counts[i] == share && extra > 0
			if hasRoom && (best < 0 || homeWeight(s, e) > homeWeight(s, entries[best])) {
				best = i
			}
		}
		if counts[best] == share {
			extra--
		}
		counts[best]++
		assigned(s, entries[best])
	}
}

// homeWeight ranks entry processes for a server: those of its failure domain come first, otherwise
// the order is a hash of both names.
func homeWeight(s *server, e Entry) float64 {
	hash := fnv.New64a()
	// Hash.Write never returns an error.
	_, _ = hash.Write([]byte(s.Backend))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(e.Name))
	w := float64(hash.Sum64()) / (1 << 64)
	if s.FailureDomain == e.FailureDomain {
		w++
	}
	return w
}
