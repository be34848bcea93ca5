package strictconf

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one reason why a file is refused.
type Fault struct {
	Line     int    // starts at 1; 0 if the fault concerns the whole file
	Key      string // dotted path of the setting, such as "cell.worker_lease"
	Problem  string // what is wrong
	Expected string // what was expected; empty if Problem already says so
}

// String formats the fault for an operator, without the name of the file.
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

// Faults is the list of all faults of a file. A list that is not empty is an error.
type Faults []Fault

// Error returns all faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the faults by line and key.
func (fs Faults) Sort() {
	sort.SliceStable(fs, func(i, j int) bool {
		if fs[i].Line != fs[j].Line {
			return fs[i].Line < fs[j].Line
		}
		return fs[i].Key < fs[j].Key
	})
}
