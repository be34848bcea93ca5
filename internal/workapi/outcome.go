package workapi

import (
	"errors"

	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
)

// Outcome says how a request was answered.
type Outcome string

// Outcomes.
const (
	OutcomeOK          Outcome = "ok"
	OutcomeNoConfig    Outcome = "no-config"   // nothing is known of any queue yet
	OutcomeNoQueue     Outcome = "no-queue"    // no queue has this host and path
	OutcomeUnknownJob  Outcome = "unknown-job" // no job has this id
	OutcomeInvalid     Outcome = "invalid"     // the request can never be carried out
	OutcomeUnsupported Outcome = "unsupported" // refused; it has not run
	OutcomeNotTaken    Outcome = "not-taken"   // refused; it has not run and may be sent again
	OutcomeUnknown     Outcome = "unknown"     // it may have been carried out
)

// outcomeOfError turns an error of the control client into an outcome. Only an
// unavailable control group promises that a command was not taken.
func outcomeOfError(err error) Outcome {
	if errors.Is(err, controlclient.ErrUnavailable) {
		return OutcomeNotTaken
	}
	return OutcomeUnknown
}

func outcomeOfRefusal(refusal workload.Refusal) Outcome {
	switch refusal {
	case workload.RefusalNone:
		return OutcomeOK
	case workload.RefusalNoConfig:
		return OutcomeNoConfig
	case workload.RefusalNoQueue:
		return OutcomeNoQueue
	case workload.RefusalUnknownJob:
		return OutcomeUnknownJob
	case workload.RefusalInvalid:
		return OutcomeInvalid
	default:
		return OutcomeUnsupported
	}
}
