package replica

import "github.com/godwitlink/godwitlink/core/state"

// entryDocument is the part of a configuration document that entry processes need, kept for one version.
type entryDocument struct {
	version uint64
	part    []byte
}

// addEntryDocument adds to a configuration the part of its document that entry processes need. It is taken from
// the document whenever the version changes, so that it is neither in the log nor in snapshots.
func (t *task) addEntryDocument(q state.QueuesQuery, view *state.QueuesView) {
	if t.opts.EntryDocument == nil || q.Document || view.Config == nil {
		return
	}
	if t.entryDocument.version != view.Version {
		full := t.state.Query(state.Query{Queues: &state.QueuesQuery{Document: true}}).Queues
		t.entryDocument = entryDocument{view.Version, t.opts.EntryDocument(full.Config.Document)}
	}
	view.Config.Document = t.entryDocument.part
}
