package replica

import (
	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// queueConfig is what a replica derives from the queue configurations that it has applied. It is neither in the log
// nor in snapshots.
type queueConfig struct {
	history workload.ConfigHistory
	// entryDocument is the part of the document that entry processes need, of the version entryVersion.
	entryDocument []byte
	entryVersion  uint64
}

// recordQueueConfig must be called whenever the state may have another queue configuration.
func (t *task) recordQueueConfig() { t.queueConfig.history.Record(t.state.Workload().Config()) }

// prepareQueuesView replaces the configuration in an answer by what the querying process needs: the part of the
// document for entry processes, and only what has changed if the query allows that.
func (t *task) prepareQueuesView(q state.QueuesQuery, view *state.QueuesView) {
	if view.Config == nil {
		return
	}
	if !q.Document && t.opts.EntryDocument != nil {
		view.Config.Document = t.entryDocument(view.Version)
	}
	if !q.Changes {
		return
	}
	if change, ok := t.queueConfig.history.Since(q.Known); ok {
		change.To.Document = view.Config.Document
		view.Config, view.Change = nil, &change
	}
}

// entryDocument returns the part of the document in force that entry processes need. It is taken from the document
// when the version has changed.
func (t *task) entryDocument(version uint64) []byte {
	if c := &t.queueConfig; c.entryVersion != version {
		c.entryDocument, c.entryVersion = t.opts.EntryDocument(t.state.Workload().Config().Document), version
	}
	return t.queueConfig.entryDocument
}
