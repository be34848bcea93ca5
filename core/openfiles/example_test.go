package openfiles_test

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/openfiles"
)

func Example() {
	division, err := openfiles.Divide(1144)
	fmt.Println(division.Reserved[openfiles.UseWorkers], division.Shared, err)
	_, err = openfiles.Divide(100)
	fmt.Println(err)
	// Output:
	// 316 340 <nil>
	// 100 file descriptors are too few, at least 144 are needed
}
