package workapi

import (
	"errors"

	"github.com/godwitlink/godwitlink/core/workload"
	"github.com/godwitlink/godwitlink/internal/controlclient"
)

// Outcome is the result of a request.
type Outcome string

// The results of a request. Their texts are used in logs and metrics.
const (
	OutcomeOK          Outcome = "ok"
	OutcomeNoConfig    Outcome = "no-config"   // no queue configuration is known yet
	OutcomeNoQueue     Outcome = "no-queue"    // no queue matches the host and path
	OutcomeUnknownJob  Outcome = "unknown-job" // no job has this id
	OutcomeInvalid     Outcome = "invalid"     // the request is invalid and will never be accepted
	OutcomeUnsupported Outcome = "unsupported" // rejected; it was not carried out
	OutcomeNotAccepted Outcome = "not-taken"   // rejected; it was not carried out and may be retried
	OutcomeUnknown     Outcome = "unknown"     // it may have been carried out
	OutcomeBadKey      Outcome = "bad-key"     // the call has no key of a team, and its queue needs one
	OutcomeOldKeys     Outcome = "old-keys"    // the list of keys may be out of date, so the call was not carried out
	OutcomeOtherTeam   Outcome = "other-team"  // the id belongs to a job of another team
	OutcomeTeamLimit   Outcome = "team-limit"  // rejected because of a limit of the team; it was not carried out
	// OutcomeBeyondShare is given to a job that its team is not guaranteed and that finds no room. It was not
	// carried out.
	OutcomeBeyondShare Outcome = "beyond-share"
	// OutcomeOverloaded is given to a job that could not end in time. It was not carried out.
	OutcomeOverloaded Outcome = "overloaded"
)

// outcomeFromError returns the outcome for an error of the control client. Only ErrUnavailable
// guarantees that the command was not accepted.
func outcomeFromError(err error) Outcome {
	if errors.Is(err, controlclient.ErrUnavailable) {
		return OutcomeNotAccepted
	}
	return OutcomeUnknown
}

func outcomeFromRefusal(refusal workload.Refusal) Outcome {
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
	case workload.RefusalOtherTeam:
		return OutcomeOtherTeam
	case workload.RefusalTeamCap:
		return OutcomeTeamLimit
	case workload.RefusalNoRoomBeyondShare:
		return OutcomeBeyondShare
	case workload.RefusalOverloaded:
		return OutcomeOverloaded
	default:
		return OutcomeUnsupported
	}
}
