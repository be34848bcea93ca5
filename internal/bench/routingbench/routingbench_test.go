package routingbench

import (
	"os"
	"testing"
)

func TestPrint(t *testing.T) {
	if err := Run(os.Stdout, 1); err != nil {
		t.Fatal(err)
	}
}
