package strictconf_test

import (
	"fmt"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

func ExampleDecode() {
	var settings struct {
		Listen  string        `toml:"listen"`
		Timeout time.Duration `toml:"timeout"`
	}
	faults := strictconf.Decode([]byte("listen = \"127.0.0.1:80\"\ntimeout = 5\n"), &settings)
	fmt.Println(faults)
	// Output: line 2: timeout: is 5; expected a duration with a unit, such as "500ms"
}
