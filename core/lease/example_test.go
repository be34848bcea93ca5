package lease_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/lease"
)

func Example() {
	terms := lease.Terms{Duration: 15 * time.Second, StopMargin: 500 * time.Millisecond, DriftPPM: 1000}
	start := time.Unix(0, 0)

	holder := lease.NewHolder()
	sequence := holder.BeginRenewal(lease.ClockReading{Wall: start})

	granter := lease.NewGranter(terms)
	grantedAt := start.Add(20 * time.Millisecond)
	granter.Renew(grantedAt, "worker-1", 7)
	holder.ApplyGrant(lease.ClockReading{Monotonic: 40 * time.Millisecond, Wall: start.Add(40 * time.Millisecond)}, sequence, terms)

	fmt.Println("holder stops after", terms.HolderDuration())
	fmt.Println("granter waits until", granter.NextDeadline().Sub(start))
	// Output:
	// holder stops after 14.485s
	// granter waits until 15.035s
}
