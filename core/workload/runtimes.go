package workload

import (
	"cmp"
	"slices"
	"strings"

	"github.com/godwitlink/godwitlink/core/runtimes"
)

// reportRunTimes marks an entry of Decide.Ends as a RunTimeReport.
const reportRunTimes RunEnd = "run-times"

// RunTimeReport returns an entry of Decide.Ends which reports what ended runs say about the run times of a
// queue. It ends no run and names none, like a BegunReport, so that earlier versions ignore it.
func RunTimeReport(queue string, samples []runtimes.Sample) EndedRun {
	var text strings.Builder
	for _, sample := range samples {
		text.WriteByte(bucketLetter(sample.Declared))
		if sample.HasWithin {
			text.WriteByte(bucketLetter(sample.Within))
		} else {
			text.WriteByte(noBucket)
		}
	}
	return EndedRun{How: reportRunTimes, Checkpoint: text.String() + runTimeSeparator + queue}
}

const (
	// middleLetter stands for bucket 0 in a report.
	middleLetter     = 'R'
	noBucket         = '.'
	runTimeSeparator = ":"
	// maxRunTimeQueues bounds the queues whose run times are kept. One takes up to 250 bytes of a snapshot.
	maxRunTimeQueues = 512
)

func bucketLetter(b runtimes.Bucket) byte { return byte(int(b) + middleLetter) }

// KeepsRunTimes reports whether run times are part of the state: if the configuration has teams.
// Replicas of versions without them could not read a snapshot that has them, and cannot read a
// configuration with teams either.
func (s *State) KeepsRunTimes() bool { return s.config != nil && len(s.config.Teams) > 0 }

// addRunTimes adds the samples of a RunTimeReport.
func (s *State) addRunTimes(report EndedRun) {
	text, queue, found := strings.Cut(report.Checkpoint, runTimeSeparator)
	if !found || !s.KeepsRunTimes() || s.queues[queue] == nil {
		return
	}
	group := s.runTimes[queue]
	if group == nil {
		if len(s.runTimes) >= maxRunTimeQueues {
			return
		}
		group = &runtimes.Group{}
		s.runTimes[queue] = group
	}
	for ; len(text) >= 2; text = text[2:] {
		sample := runtimes.Sample{Declared: runtimes.Bucket(int(text[0]) - middleLetter), HasWithin: text[1] != noBucket}
		if sample.HasWithin {
			sample.Within = runtimes.Bucket(int(text[1]) - middleLetter)
		}
		group.Add(sample)
	}
}

// RunTimes calls fn with what is known about the run times of each queue.
func (s *State) RunTimes(fn func(queue string, group runtimes.Group)) {
	for queue, group := range s.runTimes {
		fn(queue, *group)
	}
}

// removeUnlistedRunTimes removes the run times of the queues that the configuration does not list, and all
// if it has no teams.
func (s *State) removeUnlistedRunTimes() {
	for queue := range s.runTimes {
		if s.queues[queue] == nil || !s.KeepsRunTimes() {
			delete(s.runTimes, queue)
		}
	}
}

// QueueRunTimes is what is known about the run times of a queue, in a snapshot: the counts of the two
// histograms of a runtimes.Group, each with its first bucket.
type QueueRunTimes struct {
	Queue         string
	FirstDeclared runtimes.Bucket `cbor:",omitempty" json:",omitempty"`
	Declared      []uint16        `cbor:",omitempty" json:",omitempty"`
	FirstWithin   runtimes.Bucket `cbor:",omitempty" json:",omitempty"`
	Within        []uint16        `cbor:",omitempty" json:",omitempty"`
}

// runTimeSnapshot lists the run times, by queue.
func (s *State) runTimeSnapshot() []QueueRunTimes {
	var all []QueueRunTimes
	for queue, group := range s.runTimes {
		q := QueueRunTimes{Queue: queue}
		q.FirstDeclared, q.Declared = group.Declared.Counts()
		q.FirstWithin, q.Within = group.Within.Counts()
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b QueueRunTimes) int { return cmp.Compare(a.Queue, b.Queue) })
	return all
}

func (s *State) restoreRunTimes(all []QueueRunTimes) {
	for _, q := range all {
		s.runTimes[q.Queue] = &runtimes.Group{
			Declared: runtimes.HistogramOf(q.FirstDeclared, q.Declared), Within: runtimes.HistogramOf(q.FirstWithin, q.Within),
		}
	}
}
