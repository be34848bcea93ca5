package cellconfig_test

import (
	"fmt"
	"os"

	"github.com/godwitlink/godwitlink/core/cellconfig"
)

func ExampleParse() {
	data, err := os.ReadFile("../../examples/turnos.toml")
	if err != nil {
		fmt.Println(err)
		return
	}
	file, faults := cellconfig.Parse(data)
	fmt.Println(file.Cell.Name, len(file.Regions), len(file.Teams), len(faults))

	_, faults = cellconfig.Parse([]byte("generation = 0\n"))
	fmt.Println(faults[0])
	// Output:
	// turnos 3 5 0
	// line 1: cell: is absent; expected a table
}
