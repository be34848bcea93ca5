package relay_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/cell"
	"github.com/godwitlink/godwitlink/core/relay"
)

func Example() {
	now := time.Unix(0, 0)
	r := relay.New()
	r.HandleSync(now, relay.Sync{ID: 1, Worker: cell.Worker{Name: "worker-1"}, Epoch: 7, Sequence: 42})
	r.Tick(now.Add(100 * time.Millisecond))
	for _, renewal := range r.Effects().Renewals {
		fmt.Println("renew", renewal.Worker, renewal.Epoch, renewal.Sequence)
	}
	// Output: renew worker-1 7 42
}
