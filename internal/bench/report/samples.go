package report

// dataSet is the content of the CSV file of a benchmark.
type dataSet struct {
	name    string
	samples []sample
}

func (f Figures) dataSets() []dataSet {
	return []dataSet{
		{"routing", f.routingSamples()}, {"placement", f.placementSamples()}, {"log", f.logSamples()},
		{"control", f.controlSamples()}, {"policy", f.policySamples()}, {"commit", f.commitSamples()},
		{"proxy", f.proxySamples()}, {"state", f.stateSamples()},
	}
}

func (f Figures) routingSamples() (all []sample) {
	for _, r := range f.Routing.Scenarios {
		s := sample{table: "scenarios", scenario: r.Scenario, variant: r.Method}
		all = append(all, s.withFigure("load", "share", r.Load), s.withDelay("p50", r.P50), s.withDelay("p99", r.P99), s.withDelay("p99.9", r.P999),
			s.withFigure("answers", "1/s", r.AnswersPerSecond), s.withFigure("errors", "1/1000", r.Errors), s.withFigure("not run", "1/1000", r.NotRun),
			s.withFigure("refusals", "1/1000", r.Refusals), s.withFigure("crossings", "1/1000", r.CrossRegion))
	}
	for _, r := range f.Routing.ShedOrders {
		s := sample{table: "shed orders", scenario: r.Scenario, variant: r.Method}
		all = append(all, s.withDelay("p50", r.P50), s.withDelay("p99", r.P99), s.withFigure("answers", "1/s", r.AnswersPerSecond),
			s.withFigure("not run", "1/1000", r.NotRun), s.withFigure("errors", "1/1000", r.Errors))
	}
	for _, r := range f.Routing.Regions {
		s := sample{table: "regions", variant: r.Method}
		all = append(all, s.withFigure("across regions", "KB/1000 requests", r.CrossRegionKilobytes()), s.withDelay("p50", r.P50), s.withDelay("p99", r.P99))
	}
	return all
}

func (f Figures) placementSamples() (all []sample) {
	for _, r := range f.Placement.Rows {
		s := sample{table: "decisions", scenario: r.State, size: r.Workers}
		all = append(all, s.withFigure("waiting", "tasks", float64(r.QueuedTasks)), s.withFigure("classes", "", float64(r.JobClasses)),
			s.withFigure("decisions", "1/s", r.PerSecond), s.withDelay("p50", r.P50), s.withDelay("p99", r.P99), s.withDelay("max", r.Max),
			s.withFigure("allocations", "1/decision", r.HeapAllocations))
	}
	for _, b := range f.Placement.Bursts {
		s := sample{table: "bursts", size: b.Workers}
		all = append(all, s.withFigure("cancelled", "jobs", float64(b.Cancelled)), s.withDelay("events", b.Events),
			s.withFigure("plans", "", float64(b.Plans)), s.withDelay("placement", b.Placement))
	}
	return all
}

func (f Figures) logSamples() (all []sample) {
	for _, r := range f.Log.Rows {
		s := sample{table: "commits", scenario: r.Delay.String() + " one way", variant: r.Mode, size: r.InFlight}
		all = append(all, s.withFigure("commits", "1/s", r.PerSecond), s.withDelay("p50", r.P50), s.withDelay("p99", r.P99))
	}
	for _, failover := range f.Log.Failovers {
		s := sample{table: "failover", scenario: "leader " + string(failover.Loss)}
		all = append(all, s.withDelay("median", failover.Median), s.withDelay("worst", failover.Worst))
	}
	return all
}

func (f Figures) controlSamples() (all []sample) {
	for _, p := range f.Control {
		s := sample{table: "cost", size: p.Workers}
		all = append(all, s.withFigure("bytes", "B/s/worker", p.BytesPerSecond), s.withFigure("processor", "cores", p.CPU), s.withFigure("memory", "B", p.Memory),
			s.withDelay("one change", p.SingleChange), s.withDelay("burst", p.LastOfBurst), s.withDelay("change with processes down", p.ChangeAfterKills))
	}
	return all
}

func (f Figures) policySamples() (all []sample) {
	for _, r := range f.Policy {
		for _, w := range r.Waits {
			s := sample{table: "waits", scenario: w.Class, variant: r.Policy, size: int(r.Seed)}
			all = append(all, s.withFigure("p50", "s", w.P50), s.withFigure("p99", "s", w.P99))
		}
		s := sample{table: "days", variant: r.Policy, size: int(r.Seed)}
		all = append(all, s.withFigure("packing", "share", r.Packing), s.withFigure("waiting", "share", r.Waiting),
			s.withFigure("lowest share", "share", r.LowestShare), s.withFigure("lost", "share", r.LostWork),
			s.withFigure("starts", "", float64(r.Starts)), s.withFigure("unstarted", "tasks", float64(r.Unstarted)),
			s.withFigure("start rate", "1/s", r.StartRate), s.withFigure("failures", "tasks", float64(r.Failures)),
			s.withFigure("failed jobs", "jobs", float64(r.FailedJobs)), s.withFigure("out of use", "workers", r.Quarantined),
			s.withFigure("broken rules", "", float64(r.Violations)))
	}
	return all
}

func (f Figures) commitSamples() (all []sample) {
	for _, r := range f.Commit.Commits {
		s := sample{table: "commits", variant: r.Version, size: r.InFlight}
		all = append(all, s.withFigure("commits", "1/s", r.PerSecond), s.withDelay("p50", r.P50), s.withDelay("p99", r.P99))
	}
	for _, r := range f.Commit.Placements {
		s := sample{table: "placements", variant: r.Version}
		all = append(all, s.withFigure("tasks", "", float64(r.Tasks)), s.withFigure("placements", "1/s", r.PerSecond))
	}
	for _, pause := range f.Commit.Pauses {
		all = append(all, sample{table: "failover"}.withDelay("pause", pause))
	}
	return all
}

func (f Figures) proxySamples() (all []sample) {
	for _, r := range f.Proxy.Rows {
		s := sample{table: "ways", variant: r.Variant}
		all = append(all, s.withFigure("requests", "1/s", r.PerSecond), s.withFigure("failed", "requests", float64(r.Failed)),
			s.withDelay("p50", r.P50), s.withDelay("p99", r.P99), s.withDelay("added p50", r.AddedP50), s.withDelay("added p99", r.AddedP99))
	}
	return append(all, sample{table: "connections"}.withFigure("idle connection", "B", float64(f.Proxy.PerConnection)))
}

func (f Figures) stateSamples() (all []sample) {
	for _, r := range f.State {
		for _, c := range r.Commands {
			s := sample{table: "commands", scenario: c.Kind, size: r.Workers}
			all = append(all, s.withFigure("count", "", float64(c.Count)), s.withDelay("mean", c.Mean()), s.withDelay("max", c.Longest),
				s.withFigure("encoded", "B", float64(c.Bytes)/float64(c.Count)))
		}
		for _, m := range r.Memory {
			s := sample{table: "memory", scenario: m.Kind, size: r.Workers}
			all = append(all, s.withFigure("count", "", float64(m.Count)), s.withFigure("heap", "B", float64(m.Heap)/float64(m.Count)),
				s.withFigure("snapshot", "B", float64(m.Snapshot)/float64(m.Count)))
		}
		s := sample{table: "snapshot", size: r.Workers}
		all = append(all, s.withDelay("copy", r.Snapshot.Copied), s.withDelay("encode", r.Snapshot.Encoded), s.withDelay("decode", r.Snapshot.Decoded),
			s.withDelay("restore", r.Snapshot.Restored), s.withFigure("encoded", "B", float64(r.Snapshot.Bytes)))
	}
	return all
}
