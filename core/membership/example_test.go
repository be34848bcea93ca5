package membership_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/membership"
)

// An announcement is accepted once it carries a token issued by this entry process, and is
// considered as old as that token.
func Example() {
	start := time.Unix(1_800_000_000, 0)
	registry := membership.NewRegistry("entry-1", 1)
	registry.SetLeases(map[cell.Service]time.Duration{"turnos": 2 * time.Second})
	a := membership.Announcement{Backend: "b1", Incarnation: 1, Sequence: 1, Service: "turnos"}

	first := registry.Receive(start, a, "")
	a.Sequence = 2
	second := registry.Receive(start.Add(30*time.Millisecond), a, first.Token)
	items, cursor := registry.Since(start.Add(50*time.Millisecond), 0, 10)
	fmt.Println(first.Verdict, second.Verdict, items[0].Age, cursor)
	// Output: needs-token accepted 50ms 1
}
