package controlclient

import (
	"fmt"
	"net/http"
	"slices"
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

// Guards against a client that keeps trying the seeds of its start, or forgets the members of the group
// when the settings change.
func TestConfiguredAddressesAreReplaced(t *testing.T) {
	d := newDirectory([]string{"10.0.0.1:7000", "10.0.0.2:7000"}, "http", http.DefaultClient)
	d.setMembers([]string{"10.0.1.1:7000"})
	d.setConfigured([]string{"10.0.0.3:7000", "10.0.1.1:7000"})
	// The selected address stays until it fails.
	if want := []string{"10.0.1.1:7000", "10.0.0.3:7000", "10.0.0.1:7000"}; !slices.Equal(d.addresses, want) || d.currentTarget().address != "10.0.0.1:7000" {
		t.Errorf("addresses %v with %s selected, want %v with the last one selected", d.addresses, d.currentTarget().address, want)
	}
	d.handleFailure(time.Unix(0, 0), failedTarget{address: "10.0.0.1:7000", unresponsive: true})
	d.setMembers(nil)
	if want := []string{"10.0.0.3:7000", "10.0.1.1:7000"}; !slices.Equal(d.addresses, want) {
		t.Errorf("addresses %v after an empty list of members, want %v", d.addresses, want)
	}
}
