package dispatch_test

import (
	"flag"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	exhaustiveFaults = flag.Int("exhaustive.faults", 1, "number of faults in each sequence of TestExhaustive")
	exhaustiveDelays = flag.Int("exhaustive.delays", 0, "number of equally spaced delays of late calls in TestExhaustive, 0 for a choice of four")
	exhaustiveCuts   = flag.Bool("exhaustive.cuts", false, "cut one or all workers in TestExhaustive for several times, not only one worker for 7 s")
	exhaustiveLimit  = flag.Duration("exhaustive.limit", time.Hour, "time after which TestExhaustive gives up the search of a cell")
	exhaustiveReplay = flag.String("exhaustive.replay", "", "sequence of TestExhaustive to run alone, as POSITION=CHOICE,...")
)

var smallCells = []smallCell{
	{name: "one task", tasks: 1, milliCPU: 3000, runTime: 500 * time.Millisecond},
	{name: "one task with advice", tasks: 1, milliCPU: 3000, advised: true, runTime: 500 * time.Millisecond},
	{name: "two tasks", tasks: 2, milliCPU: 1500, runTime: 500 * time.Millisecond},
	{name: "two tasks with advice", tasks: 2, milliCPU: 1500, advised: true, runTime: 500 * time.Millisecond},
	{name: "gang", tasks: 2, gang: true, milliCPU: 3000, runTime: 500 * time.Millisecond},
	{name: "gang with advice", tasks: 2, gang: true, milliCPU: 3000, advised: true, runTime: 500 * time.Millisecond},
	{name: "gang on a worker with advice", tasks: 2, gang: true, milliCPU: 1500, advised: true, runTime: 500 * time.Millisecond},
	{name: "long task", tasks: 1, milliCPU: 3000, runTime: 8 * time.Second},
	{name: "long task with advice", tasks: 1, milliCPU: 3000, advised: true, runTime: 8 * time.Second},
	{name: "long gang with advice", tasks: 2, gang: true, milliCPU: 3000, advised: true, runTime: 5 * time.Second},
}

// lateDelays are delays within the validity of a ticket, within a lease, beyond it, and of the maximum.
var lateDelays = []time.Duration{800 * time.Millisecond, 4 * time.Second, 8 * time.Second, 11_900 * time.Millisecond}

// cutTimes are times after which a start has been given up, and its worker.
var cutTimes = []time.Duration{1500 * time.Millisecond, 7 * time.Second, 14 * time.Second}

// TestExhaustive runs small cells with every sequence of up to a number of faults: calls that are lost, slow,
// late or not answered, workers that are cut off, crash and start again under their id, leaders that are
// replaced, and proposals that fail or are committed late. It guards against tasks that run twice, whose
// success is forgotten, or that stay pending. Known violations, by late starts on boots that nobody has noticed
// on queues without advice, are logged (KNOWN-RED.txt).
func TestExhaustive(t *testing.T) {
	for _, cell := range smallCells {
		cell.callFaults = chosenCallFaults()
		t.Run(cell.name, func(t *testing.T) {
			if *exhaustiveReplay != "" {
				replaySequence(t, cell)
				return
			}
			from := time.Now()
			found := search(cell, *exhaustiveFaults)
			t.Logf("%d sequences of up to %d faults in %v (complete: %t); %d break a rule, %d on a boot that nobody has noticed",
				found.sequences, *exhaustiveFaults, time.Since(from).Round(time.Millisecond), !found.gaveUp, found.breaking, found.breakingUnnoticed)
			for _, violation := range found.violations {
				t.Error(violation)
			}
			for _, violation := range found.unnoticed {
				if cell.advised {
					t.Error("unnoticed boot: ", violation)
				} else {
					t.Log("unnoticed boot: ", violation)
				}
			}
		})
	}
}

// chosenCallFaults returns the faults of calls that the flags choose.
func chosenCallFaults() []callFault {
	delays, cuts := lateDelays, cutTimes[1:2]
	if n := *exhaustiveDelays; n > 0 {
		delays = nil
		for i := range n {
			delays = append(delays, lateDelays[len(lateDelays)-1]*time.Duration(i+1)/time.Duration(n))
		}
	}
	if *exhaustiveCuts {
		cuts = cutTimes
	}
	return callFaults(delays, cuts, *exhaustiveCuts)
}

// sequence makes the choices of one run of a cell: no fault, except at the given positions.
type sequence struct {
	given   map[int]int // faults by position, numbered from 1
	last    int         // last given position, -1 if there is none
	next    int         // position of the next choice
	made    []string    // names of the faults that were made
	options []int       // number of faults to choose from at each position after the last given one
}

// choose returns the number of one of the named faults, or 0 for none.
func (q *sequence) choose(at time.Duration, prefix string, names ...string) int {
	return q.chooseFrom(at, len(names), func(choice int) string { return prefix + names[choice-1] })
}

// chooseCall returns the number of a fault of a call, or 0 for none.
func (q *sequence) chooseCall(at time.Duration, prefix string, faults []callFault) int {
	return q.chooseFrom(at, len(faults), func(choice int) string { return prefix + faults[choice-1].name })
}

func (q *sequence) chooseFrom(at time.Duration, faults int, name func(choice int) string) int {
	position := q.next
	q.next++
	if choice := q.given[position]; choice > 0 {
		q.made = append(q.made, fmt.Sprintf("%s at %v", name(choice), at))
		return choice
	}
	if position > q.last {
		q.options = append(q.options, faults)
	}
	return 0
}

// String names the faults and how to run the sequence again.
func (q *sequence) String() string {
	var replay []string
	for position := range q.last + 1 {
		if choice := q.given[position]; choice > 0 {
			replay = append(replay, fmt.Sprintf("%d=%d", position, choice))
		}
	}
	return fmt.Sprintf("%s (-exhaustive.replay %s)", strings.Join(q.made, "; "), strings.Join(replay, ","))
}

// findings counts the sequences that were run and lists the first violations.
type findings struct {
	mutex                 sync.Mutex
	sequences             int
	breaking              int // sequences that break a rule
	breakingUnnoticed     int // sequences that break one on a boot that nobody has noticed
	violations, unnoticed []string
	endBy                 time.Time
	gaveUp                bool // sequences are missing, because endBy has passed
}

const maxListedViolations = 5

func (f *findings) add(c *cellRun) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sequences++
	if len(c.violations) > 0 {
		f.breaking++
		f.violations = appendViolation(f.violations, c, c.violations)
	}
	if len(c.unnoticedViolations) > 0 {
		f.breakingUnnoticed++
		f.unnoticed = appendViolation(f.unnoticed, c, c.unnoticedViolations)
	}
}

func appendViolation(list []string, c *cellRun, violations []string) []string {
	if len(list) >= maxListedViolations {
		return list
	}
	return append(list, fmt.Sprintf("%v: %s", c.sequence, strings.Join(violations, "; ")))
}

func (f *findings) mustGiveUp() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.gaveUp = f.gaveUp || time.Now().After(f.endBy)
	return f.gaveUp
}

// search runs all sequences of a cell with up to a number of faults. Two goroutines share those with one or
// more.
func search(cell smallCell, faults int) *findings {
	found := &findings{endBy: time.Now().Add(*exhaustiveLimit)}
	first := make(chan sequence)
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() {
			for q := range first {
				found.explore(cell, q, faults-1)
			}
		})
	}
	q := sequence{last: -1}
	found.run(cell, &q)
	for longer := range q.withAnotherFault {
		first <- longer
	}
	close(first)
	all.Wait()
	return found
}

// explore runs a sequence and those with up to a number of further faults.
func (f *findings) explore(cell smallCell, q sequence, furtherFaults int) {
	if f.mustGiveUp() {
		return
	}
	f.run(cell, &q)
	if furtherFaults == 0 {
		return
	}
	for longer := range q.withAnotherFault {
		f.explore(cell, longer, furtherFaults-1)
	}
}

func (f *findings) run(cell smallCell, q *sequence) {
	c := newCellRun(cell, q)
	c.run()
	f.add(c)
}

// withAnotherFault iterates over the sequences with one more fault than one that was run, after its last.
func (q *sequence) withAnotherFault(yield func(sequence) bool) {
	for i, options := range q.options {
		position := q.last + 1 + i
		for choice := 1; choice <= options; choice++ {
			given := map[int]int{position: choice}
			maps.Copy(given, q.given)
			if !yield(sequence{given: given, last: position}) {
				return
			}
		}
	}
}

func replaySequence(t *testing.T, cell smallCell) {
	q := &sequence{given: map[int]int{}}
	for _, pair := range strings.Split(*exhaustiveReplay, ",") {
		position, choice, _ := strings.Cut(pair, "=")
		at, _ := strconv.Atoi(position)
		q.given[at], _ = strconv.Atoi(choice)
		q.last = max(q.last, at)
	}
	c := newCellRun(cell, q)
	c.run()
	t.Log(q)
	for _, violation := range append(c.violations, c.unnoticedViolations...) {
		t.Error(violation)
	}
}
