package cell_test

import (
	"fmt"

	"github.com/godwitlink/godwitlink/core/cell"
)

func ExampleResources_Fits() {
	free := cell.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30}
	task := cell.Resources{MilliCPU: 1500, MemoryBytes: 2 << 30}
	fmt.Println(task.Fits(free), task.Scale(3).Fits(free))
	// Output: true false
}
