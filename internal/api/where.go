package api

import (
	"time"

	"github.com/godwitlink/godwitlink/core/workload"
)

// Where says where a multi-step job would go. Durations are in nanoseconds.
type Where struct {
	AsOf        time.Time `json:"as_of"`  // time of the latest command that the replica had applied
	AgeMillis   int64     `json:"age_ms"` // since then, by the clocks of two machines
	Explanation workload.Explanation
}

// WherePath is the path of the question on the metrics address of a control replica.
const WherePath = "/v1/where"
