package report

// dataSet is what a benchmark's CSV file has.
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
		all = append(all, s.with("load", "share", r.Load), s.delay("p50", r.P50), s.delay("p99", r.P99), s.delay("p99.9", r.P999),
			s.with("answers", "1/s", r.AnswersPerSecond), s.with("errors", "1/1000", r.Errors), s.with("not run", "1/1000", r.NotRun),
			s.with("refusals", "1/1000", r.Refusals), s.with("crossings", "1/1000", r.Crossings))
	}
	for _, r := range f.Routing.ShedOrders {
		s := sample{table: "shed orders", scenario: r.Scenario, variant: r.Method}
		all = append(all, s.delay("p50", r.P50), s.delay("p99", r.P99), s.with("answers", "1/s", r.AnswersPerSecond),
			s.with("not run", "1/1000", r.NotRun), s.with("errors", "1/1000", r.Errors))
	}
	for _, r := range f.Routing.Regions {
		s := sample{table: "regions", variant: r.Method}
		all = append(all, s.with("across regions", "KB/1000 requests", r.KilobytesAcross()), s.delay("p50", r.P50), s.delay("p99", r.P99))
	}
	return all
}

func (f Figures) placementSamples() (all []sample) {
	for _, r := range f.Placement.Rows {
		s := sample{table: "decisions", scenario: r.State, size: r.Workers}
		all = append(all, s.with("waiting", "tasks", float64(r.Waiting)), s.with("classes", "", float64(r.Classes)),
			s.with("decisions", "1/s", r.PerSecond), s.delay("p50", r.P50), s.delay("p99", r.P99), s.delay("max", r.Max),
			s.with("allocations", "1/decision", r.Allocs))
	}
	for _, b := range f.Placement.Bursts {
		s := sample{table: "bursts", size: b.Workers}
		all = append(all, s.with("cancelled", "jobs", float64(b.Cancelled)), s.delay("events", b.Events),
			s.with("plans", "", float64(b.Plans)), s.delay("placement", b.Placement))
	}
	return all
}

func (f Figures) logSamples() (all []sample) {
	for _, r := range f.Log.Rows {
		s := sample{table: "commits", scenario: r.Delay.String() + " one way", variant: r.Mode, size: r.InFlight}
		all = append(all, s.with("commits", "1/s", r.PerSecond), s.delay("p50", r.P50), s.delay("p99", r.P99))
	}
	for _, failover := range f.Log.Failovers {
		s := sample{table: "failover", scenario: "leader " + string(failover.Loss)}
		all = append(all, s.delay("median", failover.Median), s.delay("worst", failover.Worst))
	}
	return all
}

func (f Figures) controlSamples() (all []sample) {
	for _, p := range f.Control {
		s := sample{table: "cost", size: p.Workers}
		all = append(all, s.with("bytes", "B/s/worker", p.Bytes), s.with("processor", "cores", p.CPU), s.with("memory", "B", p.Memory),
			s.delay("one change", p.Single), s.delay("burst", p.Burst), s.delay("change with processes down", p.AfterKills))
	}
	return all
}

func (f Figures) policySamples() (all []sample) {
	for _, r := range f.Policy {
		for _, w := range r.Waits {
			s := sample{table: "waits", scenario: w.Class, variant: r.Policy, size: int(r.Seed)}
			all = append(all, s.with("p50", "s", w.P50), s.with("p99", "s", w.P99))
		}
		s := sample{table: "days", variant: r.Policy, size: int(r.Seed)}
		all = append(all, s.with("packing", "share", r.Packing), s.with("waiting", "share", r.Waiting),
			s.with("lowest share", "share", r.LowestShare), s.with("lost", "share", r.Lost),
			s.with("starts", "", float64(r.Starts)), s.with("unstarted", "tasks", float64(r.Unstarted)),
			s.with("start rate", "1/s", r.StartRate), s.with("failures", "tasks", float64(r.Failures)),
			s.with("failed jobs", "jobs", float64(r.FailedJobs)), s.with("out of use", "workers", r.OutOfUse),
			s.with("broken rules", "", float64(r.BrokenRules)))
	}
	return all
}

func (f Figures) commitSamples() (all []sample) {
	for _, r := range f.Commit.Commits {
		s := sample{table: "commits", variant: r.Version, size: r.InFlight}
		all = append(all, s.with("commits", "1/s", r.PerSecond), s.delay("p50", r.P50), s.delay("p99", r.P99))
	}
	for _, r := range f.Commit.Placements {
		s := sample{table: "placements", variant: r.Version}
		all = append(all, s.with("tasks", "", float64(r.Tasks)), s.with("placements", "1/s", r.PerSecond))
	}
	for _, pause := range f.Commit.Pauses {
		all = append(all, sample{table: "failover"}.delay("pause", pause))
	}
	return all
}

func (f Figures) proxySamples() (all []sample) {
	for _, r := range f.Proxy.Rows {
		s := sample{table: "ways", variant: r.Way}
		all = append(all, s.with("requests", "1/s", r.PerSecond), s.with("failed", "requests", float64(r.Failed)),
			s.delay("p50", r.P50), s.delay("p99", r.P99), s.delay("added p50", r.AddedP50), s.delay("added p99", r.AddedP99))
	}
	return append(all, sample{table: "connections"}.with("idle connection", "B", float64(f.Proxy.PerConnection)))
}

func (f Figures) stateSamples() (all []sample) {
	for _, r := range f.State {
		for _, c := range r.Commands {
			s := sample{table: "commands", scenario: c.Kind, size: r.Workers}
			all = append(all, s.with("count", "", float64(c.Count)), s.delay("mean", c.Mean()), s.delay("max", c.Longest),
				s.with("encoded", "B", float64(c.Bytes)/float64(c.Count)))
		}
		for _, m := range r.Memory {
			s := sample{table: "memory", scenario: m.Kind, size: r.Workers}
			all = append(all, s.with("count", "", float64(m.Count)), s.with("heap", "B", float64(m.Heap)/float64(m.Count)),
				s.with("snapshot", "B", float64(m.Snapshot)/float64(m.Count)))
		}
		s := sample{table: "snapshot", size: r.Workers}
		all = append(all, s.delay("copy", r.Snapshot.Copied), s.delay("encode", r.Snapshot.Encoded), s.delay("decode", r.Snapshot.Decoded),
			s.delay("restore", r.Snapshot.Restored), s.with("encoded", "B", float64(r.Snapshot.Bytes)))
	}
	return all
}
