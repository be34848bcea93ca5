package state_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// Guards against entry processes fetching the operator's document, which doubles
// what passes their links, and against a read-back without it.
func TestDocumentIsReadOnRequestOnly(t *testing.T) {
	s := state.New()
	config := workload.Config{Version: 6, Queues: []workload.Queue{{Name: "q"}}, Document: []byte("{}")}
	s.Apply(1, state.Command{Workload: &workload.Command{Configure: &config}})
	for _, document := range []bool{true, false} {
		view := s.Query(state.Query{Queues: &state.QueuesQuery{Document: document}}).Queues
		if view.Config == nil || len(view.Config.Queues) != 1 || (view.Config.Document != nil) != document {
			t.Errorf("document %v: %+v", document, view.Config)
		}
	}
}
