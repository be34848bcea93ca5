package controlclient

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a client that keeps every address that a member of the group ever had.
func TestFormerMembersAreForgotten(t *testing.T) {
	d := newDirectory([]string{"10.0.0.1:7000"}, "http", http.DefaultClient)
	for i := range 100 {
		member := fmt.Sprintf("10.0.1.%d:7000", i)
		d.setMembers([]string{member})
		for range d.addresses {
			failed := d.currentTarget().address
			d.handleFailure(time.Unix(0, 0), failedTarget{address: failed, unresponsive: true})
		}
	}
	// The address that is selected is kept as well.
	if len(d.clients) > 3 || len(d.unresponsiveUntil) > 3 {
		t.Errorf("%d clients and %d unresponsive replicas kept after 100 changes of the members", len(d.clients), len(d.unresponsiveUntil))
	}
}
