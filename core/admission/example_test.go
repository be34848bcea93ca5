package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/godwitlink/godwitlink/core/admission"
	"github.com/godwitlink/godwitlink/core/cell"
)

// Two requests are queued where one may be in flight.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	q := admission.New(admission.Options{
		MaxQueue: 10, Shares: map[cell.Team]float64{"reservas": 1}, RetryBudget: 0.1,
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	q.SetCeiling(1)
	q.Offer(now, admission.Request{ID: 1, Team: "reservas", Deadline: now.Add(time.Second)})
	q.Offer(now, admission.Request{ID: 2, Team: "reservas", Deadline: now.Add(time.Second)})
	first := q.Candidates()[0]
	q.Take(now, first)
	fmt.Println(first.ID, len(q.Candidates()))
	q.Finished(now, admission.Completion{Answered: true, Delay: time.Millisecond})
	fmt.Println(q.Candidates()[0].ID, q.Waiting())
	// Output:
	// 1 0
	// 2 1
}
