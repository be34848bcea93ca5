package dispatch_test

import (
	"flag"
	"testing"
)

var soakRules = flag.String("soak.rules", "", "run TestSoakWorkerRules with these rules only")

// rulesByName are the rules of workers that TestSoakWorkerRules uses, each alone.
var rulesByName = map[string]workerRules{
	"as recorded":         {},
	"gang lapse breaks":   {gangLapseBreaks: true},
	"gangs fail":          {gangLapseBreaks: true, gangsFail: true},
	"one gang end":        {gangLapseBreaks: true, oneGangEnd: true},
	"admits":              {admits: true},
	"own lease end":       {admits: true, ownLeaseEnd: true},
	"bad ticket extends":  {admits: true, badTicketExtends: true},
	"stopped is closed":   {admits: true, stoppedIsClosed: true},
	"acked end stays":     {ackedEndStays: true},
	"hold awaits new end": {holdAwaitsNewEnd: true},
	"new ids":             {newIDs: true},
	"stops earlier runs":  {stopsEarlierRuns: true},
	"saves":               {saves: true},
}

// rulesOf returns all rules together, with a choice by the seed where the protocol can be read in two ways.
func rulesOf(seed uint64) workerRules {
	chosen := func(bit int) bool { return seed>>bit&1 == 1 }
	return workerRules{
		gangLapseBreaks: true, gangsFail: true, admits: true, newIDs: true, saves: true,
		oneGangEnd: chosen(0), ownLeaseEnd: chosen(1), badTicketExtends: chosen(2), stoppedIsClosed: chosen(3), holdAwaitsNewEnd: chosen(4), stopsEarlierRuns: chosen(5),
	}
}

// TestSoakWorkerRules simulates workers that follow other readings of their protocol than those of TestSoak.
// It guards against a dispatcher that relies on one reading.
func TestSoakWorkerRules(t *testing.T) {
	if *soakRules == "" {
		runRules(t, rulesOf)
		return
	}
	rules, known := rulesByName[*soakRules]
	if !known {
		t.Fatalf("unknown rules %q", *soakRules)
	}
	runRules(t, func(uint64) workerRules { return rules })
}

// TestSoakAckedEndStays guards against a later boot that hides the ends of its runs because of a hold for its
// former boot, if an acknowledgement also covers ends that are still to come.
func TestSoakAckedEndStays(t *testing.T) {
	for _, seed := range []uint64{950002, 950005, 950006} {
		s := newSimWith(seed, workerRules{ackedEndStays: true})
		s.run()
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

// runRules runs half of the seeds of TestSoak with workers that follow the rules for each seed.
func runRules(t *testing.T, rules func(seed uint64) workerRules) {
	t.Helper()
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakRuns)/2; seed++ {
		s := newSimWith(seed, rules(seed))
		s.run()
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if t.Failed() && !*soakAll {
			return
		}
	}
}
