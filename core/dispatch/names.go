package dispatch

var outcomeNames = map[Outcome]string{
	OutcomeOK: "ok", OutcomeNoAnswer: "no-answer", OutcomeNotSent: "not-sent", OutcomeOtherWorker: "other-boot", OutcomeLaterBoot: "later-boot",
	OutcomeFenced: "fenced", OutcomeRunClosed: "old", OutcomeLeaseExpired: "late", OutcomeNoCapacity: "no-room",
	OutcomeBadTicket: "bad-ticket", OutcomeUnhealthy: "unhealthy", OutcomeRefused: "refused", OutcomeNoSocket: "no-socket",
	OutcomeNotPermitted: "not-permitted",
}

// String names the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
