package strictconf

import (
	"fmt"
	"strconv"
	"strings"
)

// Bytes is a number of bytes. A file gives it as a string with a unit.
type Bytes int64

// byteUnits are the accepted units. "B" comes last, because the other units also end with it.
var byteUnits = []struct {
	suffix string
	factor int64
}{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseBytes parses a size such as "64KiB". Fractions, negative sizes and sizes above 2^63-1 are
// rejected.
func ParseBytes(s string) (Bytes, error) {
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 {
			return 0, fmt.Errorf("size %q is not a whole number with a unit", s)
		}
		if n > (1<<63-1)/unit.factor {
			return 0, fmt.Errorf("size %q is too large", s)
		}
		return Bytes(n * unit.factor), nil
	}
	return 0, fmt.Errorf("size %q has no unit", s)
}

// String formats the size with the largest unit of which it is a whole multiple.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if int64(b) >= unit.factor && int64(b)%unit.factor == 0 {
			return strconv.FormatInt(int64(b)/unit.factor, 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}
