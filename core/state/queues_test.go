package state_test

import (
	"testing"

	"github.com/godwitlink/godwitlink/core/state"
	"github.com/godwitlink/godwitlink/core/workload"
)

// A queue query must return the operator's document only if it asks for it. Entry processes do not
// ask, because the document doubles the size of the answer.
func TestDocumentIsReadOnRequestOnly(t *testing.T) {
	s := state.New()
	config := workload.Config{Version: 6, Queues: []workload.Queue{{Name: "q"}}, Document: []byte("{}")}
	s.Apply(1, state.Command{Workload: &workload.Command{Configure: &config}})
	for _, document := range []bool{true, false} {
		view := s.Query(state.Query{Queues: &state.QueuesQuery{Document: document}}).Queues
		if view.Config == nil || len(view.Config.Queues) != 1 || (view.Config.Document != nil) != document {
			t.Errorf("query with Document = %v returned %+v", document, view.Config)
		}
	}
}
