package exchange_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/exchange"
	"github.com/godwitlink/godwitlink/core/state"
)

// A keyed request is recorded, refused by one backend server and run by another.
func Example() {
	now := time.Unix(1_800_000_000, 0)
	x := exchange.New(exchange.Spec{Keyed: true, Deadline: now.Add(time.Second), DispatchWindow: time.Second})
	fmt.Printf("%T\n", x.Start(now))
	fmt.Printf("%T\n", x.Began(now, exchange.BeginResult{Request: state.RequestResult{Dispatch: true}}))
	fmt.Printf("%T\n", x.Granted(now, "b1"))
	fmt.Printf("%+v\n", x.Attempted(now, exchange.Attempt{Backend: "b1", Result: exchange.AttemptRefused, Reason: exchange.ReasonBackendRefused}))
	fmt.Printf("%T\n", x.Granted(now, "b2"))
	fmt.Printf("%+v\n", x.Attempted(now, exchange.Attempt{Backend: "b2", Result: exchange.AttemptAnswered}))
	// Output:
	// exchange.Begin
	// exchange.Enqueue
	// exchange.Dispatch
	// {Exclude:[b1] Retry:true}
	// exchange.Dispatch
	// {Outcome:done Reason: Abort:false Record:true Recorded:done}
}
