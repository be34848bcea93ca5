package workload

// QueueKey identifies a queue of a configuration: no two queues have the same host and path prefix.
type QueueKey struct{ Host, PathPrefix string }

// Key returns the key of the queue.
func (q Queue) Key() QueueKey { return QueueKey{q.Host, q.PathPrefix} }

// equal reports whether two queues are the same.
func (q Queue) equal(o Queue) bool {
	if q.Advice != nil && o.Advice != nil {
		if *q.Advice != *o.Advice {
			return false
		}
		q.Advice, o.Advice = nil, nil
	}
	return q == o
}

// ConfigChange turns a configuration into a later one.
type ConfigChange struct {
	From    uint64     // version of the configuration that it applies to
	To      Config     // the later configuration, of whose queues only those that are new or changed
	Removed []QueueKey `cbor:",omitempty"` // queues that the later configuration does not have
}

// Apply returns the configuration after a change. ok is false if the change applies to another version.
// The order of the queues is not kept.
func (c Config) Apply(change ConfigChange) (changed Config, ok bool) {
	if change.From != c.Version {
		return Config{}, false
	}
	queues := queuesByKey(c)
	for _, key := range change.Removed {
		delete(queues, key)
	}
	for _, queue := range change.To.Queues {
		queues[queue.Key()] = queue
	}
	changed = change.To
	changed.Queues = make([]Queue, 0, len(queues))
	for _, queue := range queues {
		changed.Queues = append(changed.Queues, queue)
	}
	return changed, true
}

func queuesByKey(c Config) map[QueueKey]Queue {
	queues := make(map[QueueKey]Queue, len(c.Queues))
	for _, queue := range c.Queues {
		queues[queue.Key()] = queue
	}
	return queues
}

// Limits of a ConfigHistory. A reader of a version before them receives the whole configuration.
const (
	maxConfigSteps    = 256
	maxConfigStepKeys = 16_384
)

// ConfigHistory knows which queues the latest configurations differ in, so that a reader that has one of them
// receives a ConfigChange instead of the whole configuration in force. The zero value is empty.
type ConfigHistory struct {
	inForce *Config
	queues  map[QueueKey]Queue // of inForce
	steps   []configStep       // from each version to the next; the last one leads to inForce
	keys    int                // number of keys in steps
}

// configStep is the difference between a version and the next one.
type configStep struct {
	from uint64
	keys []QueueKey // queues that only one of the two versions has, or that differ
}

// Record records the configuration in force. It must be called for each one, in the order of the versions.
func (h *ConfigHistory) Record(c *Config) {
	if c == h.inForce {
		return
	}
	if c == nil || h.inForce == nil || c.Version < h.inForce.Version {
		*h = ConfigHistory{inForce: c}
		if c != nil {
			h.queues = queuesByKey(*c)
		}
		return
	}
	queues := queuesByKey(*c)
	if c.Version > h.inForce.Version {
		step := configStep{from: h.inForce.Version, keys: differingKeys(h.queues, queues)}
		h.steps, h.keys = append(h.steps, step), h.keys+len(step.keys)
	}
	h.inForce, h.queues = c, queues
	for len(h.steps) > maxConfigSteps || h.keys > maxConfigStepKeys {
		h.keys -= len(h.steps[0].keys)
		h.steps = h.steps[1:]
	}
}

// Since returns the change from an earlier version to the configuration in force. ok is false if the version is
// not known, or if the change is not smaller than the configuration.
func (h *ConfigHistory) Since(version uint64) (change ConfigChange, ok bool) {
	first := len(h.steps)
	for first > 0 && h.steps[first-1].from >= version {
		first--
	}
	if first == len(h.steps) || h.steps[first].from != version {
		return ConfigChange{}, false
	}
	differing := map[QueueKey]struct{}{}
	for _, step := range h.steps[first:] {
		for _, key := range step.keys {
			differing[key] = struct{}{}
		}
	}
	if len(differing) >= len(h.queues) {
		return ConfigChange{}, false
	}
	change = ConfigChange{From: version, To: *h.inForce}
	change.To.Queues = nil
	for key := range differing {
		if queue, inForce := h.queues[key]; inForce {
			change.To.Queues = append(change.To.Queues, queue)
		} else {
			change.Removed = append(change.Removed, key)
		}
	}
	return change, true
}

// differingKeys returns the keys of the queues that only one of two configurations has, or that differ.
func differingKeys(former, later map[QueueKey]Queue) []QueueKey {
	var keys []QueueKey
	for key, queue := range later {
		if known, ok := former[key]; !ok || !known.equal(queue) {
			keys = append(keys, key)
		}
	}
	for key := range former {
		if _, ok := later[key]; !ok {
			keys = append(keys, key)
		}
	}
	return keys
}
