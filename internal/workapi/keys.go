package workapi

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/godwitlink/godwitlink/core/workload"
)

// keyTable maps keys to teams. It is immutable.
type keyTable struct {
	// secret keys the digests. The time of a look-up depends on the digest only, which a caller cannot
	// predict, so it says nothing about the keys.
	secret [sha256.Size]byte
	teams  map[[sha256.Size]byte]workload.TeamName
}

func newKeyTable(teams []workload.Team) *keyTable {
	t := &keyTable{teams: map[[sha256.Size]byte]workload.TeamName{}}
	_, _ = rand.Read(t.secret[:]) // does not fail
	for _, team := range teams {
		for _, key := range team.Keys {
			t.teams[t.digest(key)] = team.Name
		}
	}
	return t
}

func (t *keyTable) digest(key workload.Key) (sum [sha256.Size]byte) {
	mac := hmac.New(sha256.New, t.secret[:])
	mac.Write([]byte(key))
	mac.Sum(sum[:0])
	return sum
}

// find returns the team of a key.
func (t *keyTable) find(key workload.Key) (team workload.TeamName, ok bool) {
	team, ok = t.teams[t.digest(key)]
	return team, ok
}
