package strictconf

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a file is refused.
type Fault struct {
	Line     int    // first line is 1; 0 where the file as a whole is meant
	Key      string // dotted path of the setting, for example "cell.worker_lease"
	Problem  string // what is wrong
	Expected string // what was expected; empty where Problem says it
}

// String formats the fault for an operator, without the file's name.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		fmt.Fprintf(&b, "; expected %s", f.Expected)
	}
	return b.String()
}

// Faults are all faults of one file. It is an error where not empty.
type Faults []Fault

// Error lists all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the faults by line and key.
func (fs Faults) Sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].Line != fs[j].Line {
			return fs[i].Line < fs[j].Line
		}
		return fs[i].Key < fs[j].Key
	})
}
