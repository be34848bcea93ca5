package cellconfig

import (
	"fmt"
	"strings"
	"time"

	"github.com/godwitlink/godwitlink/core/strictconf"
)

// maxNameBytes limits every name of the file, because names appear in paths, logs and metrics.
const maxNameBytes = 64

// checker collects the faults of a decoded file.
type checker struct {
	file         *File
	data         []byte
	lines        map[string]int    // line of each setting; parsed from data when the first fault is found
	decodeFaults strictconf.Faults // faults of the decoder
	faults       strictconf.Faults // faults of the decoder and of the checks
}

func newChecker(file *File, data []byte, decoded strictconf.Faults) *checker {
	faults := append(strictconf.Faults{}, decoded...)
	return &checker{file: file, data: data, decodeFaults: decoded, faults: faults}
}

// require adds a fault at key if ok is false, unless key or one of the settings in depends could not be
// decoded.
func (c *checker) require(ok bool, key, problem, expected string, depends ...string) {
	if ok || c.decodeFailed(key) {
		return
	}
	for _, other := range depends {
		if c.decodeFailed(other) {
			return
		}
	}
	c.faults = append(c.faults, strictconf.Fault{Line: c.line(key), Key: key, Problem: problem, Expected: expected})
}

// line returns the line of key or of the innermost table that contains it, or 0.
func (c *checker) line(key string) int {
	if c.lines == nil {
		c.lines = strictconf.Lines(c.data)
	}
	for key != "" {
		if line, ok := c.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

func parentKey(key string) string {
	if end := strings.LastIndexAny(key, ".["); end >= 0 {
		return key[:end]
	}
	return ""
}

// decodeFailed reports whether the decoder found a fault at key, inside it, or at a table that contains it.
func (c *checker) decodeFailed(key string) bool {
	for _, fault := range c.decodeFaults {
		if fault.Key == key || isInside(fault.Key, key) || isInside(key, fault.Key) {
			return true
		}
	}
	return false
}

// isInside reports whether the setting inner is part of the table or array outer.
func isInside(inner, outer string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	return ok && rest != "" && (rest[0] == '.' || rest[0] == '[')
}

func (c *checker) checkName(key, name string) {
	c.require(validName(name), key, fmt.Sprintf("%q is not a name", name),
		fmt.Sprintf("1 to %d letters, digits, dots, dashes and underscores", maxNameBytes))
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

func (c *checker) checkDuration(key string, d, minimum, maximum time.Duration) {
	c.require(d >= minimum && d <= maximum, key, fmt.Sprintf("is %v", d), fmt.Sprintf("%v to %v", minimum, maximum))
}

func (c *checker) checkInteger(key string, n, minimum, maximum int64) {
	c.require(n >= minimum && n <= maximum, key, fmt.Sprintf("is %d", n), fmt.Sprintf("%d to %d", minimum, maximum))
}

func (c *checker) checkSize(key string, n, minimum, maximum strictconf.Bytes) {
	c.require(n >= minimum && n <= maximum, key, "is "+n.String(), minimum.String()+" to "+maximum.String())
}

// checkNumber also rejects NaN, for which every comparison is false.
func (c *checker) checkNumber(key string, x, minimum, maximum float64) {
	c.require(x >= minimum && x <= maximum, key, fmt.Sprintf("is %v", x), fmt.Sprintf("%v to %v", minimum, maximum))
}

// checkNames checks that the names of an array of tables are valid and unique.
func (c *checker) checkNames(array, setting string, names []string) {
	seen := map[string]int{}
	for i, name := range names {
		key := fmt.Sprintf("%s[%d].%s", array, i, setting)
		c.checkName(key, name)
		first, twice := seen[name]
		c.require(!twice, key, fmt.Sprintf("%q is used twice", name),
			fmt.Sprintf("a name other than that of %s[%d]", array, first))
		if !twice {
			seen[name] = i
		}
	}
}

// checkReferences checks that a list of names is not empty and that its names are defined and unique.
// defined is the key of the tables that define them.
func (c *checker) checkReferences(key string, names []string, defined string, known map[string]bool) {
	c.require(len(names) > 0, key, "is empty", "at least one name of a ["+"["+defined+"]] table")
	seen := map[string]bool{}
	for i, name := range names {
		item := fmt.Sprintf("%s[%d]", key, i)
		c.require(known[name], item, fmt.Sprintf("%q is not defined", name),
			"a name of a [["+defined+"]] table", defined)
		c.require(!seen[name], item, fmt.Sprintf("%q is listed twice", name), "each name once")
		seen[name] = true
	}
}

// toStrings converts a list of names to strings.
func toStrings[T ~string](names []T) []string {
	all := make([]string, len(names))
	for i, name := range names {
		all[i] = string(name)
	}
	return all
}

// mapStrings returns the result of get for each table.
func mapStrings[T any](tables []T, get func(T) string) []string {
	all := make([]string, len(tables))
	for i, table := range tables {
		all[i] = get(table)
	}
	return all
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
