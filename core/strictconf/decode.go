package strictconf

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Decode decodes data into the struct that into points to. It returns all faults, sorted by line. If there
// are any, the content of into must not be used. A syntax error is returned as a single fault.
func Decode(data []byte, into any) Faults {
	root, fault := parseTree(data)
	if fault != nil {
		return Faults{*fault}
	}
	d := &decoder{}
	d.decodeStruct("", root, reflect.ValueOf(into).Elem())
	d.faults.Sort()
	return d.faults
}

// Lines returns the line of each setting of a file, by dotted path. Elements of arrays are numbered from
// 0, such as "team[2].share". The map is empty if the file has a syntax error.
func Lines(data []byte) map[string]int {
	root, fault := parseTree(data)
	lines := map[string]int{}
	if fault == nil {
		root.collectLines("", lines)
	}
	return lines
}

func (n *node) collectLines(path string, lines map[string]int) {
	if path != "" {
		lines[path] = n.line
	}
	for key, child := range n.children {
		child.collectLines(joinPath(path, key), lines)
	}
	for i, item := range n.items {
		item.collectLines(fmt.Sprintf("%s[%d]", path, i), lines)
	}
}

type decoder struct {
	faults Faults
}

func (d *decoder) report(n *node, path, problem, expected string) {
	d.faults = append(d.faults, Fault{Line: n.line, Key: path, Problem: problem, Expected: expected})
}

func (d *decoder) decodeStruct(path string, n *node, into reflect.Value) {
	if n.children == nil {
		d.report(n, path, "is "+describeValue(n.value), "a table")
		return
	}
	known := map[string]bool{}
	d.decodeFields(path, n, into, known)
	d.reportUnknownKeys(path, n, known)
}

// decodeFields decodes the fields of a struct and adds their keys to known. The fields of an embedded struct
// without a tag are decoded from the same table.
func (d *decoder) decodeFields(path string, n *node, into reflect.Value, known map[string]bool) {
	for i := range into.NumField() {
		field := into.Type().Field(i)
		name, optional, ok := fieldTag(field)
		if !ok && field.Anonymous && field.Type.Kind() == reflect.Struct {
			d.decodeFields(path, n, into.Field(i), known)
			continue
		}
		if !ok {
			continue
		}
		known[name] = true
		child := n.children[name]
		if child == nil {
			if !optional {
				d.report(n, joinPath(path, name), "is absent", expectedValue(into.Field(i).Type()))
			}
			continue
		}
		d.decodeValue(joinPath(path, name), child, into.Field(i))
	}
}

func (d *decoder) reportUnknownKeys(path string, n *node, known map[string]bool) {
	var names []string
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	for key, child := range n.children {
		if !known[key] {
			d.report(child, joinPath(path, key), "is unknown", "one of "+strings.Join(names, ", "))
		}
	}
}

func fieldTag(field reflect.StructField) (name string, optional, ok bool) {
	tag := field.Tag.Get("toml")
	if tag == "" || tag == "-" {
		return "", false, false
	}
	name, options, _ := strings.Cut(tag, ",")
	return name, options == "optional", true
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	bytesType    = reflect.TypeFor[Bytes]()
)

func (d *decoder) decodeValue(path string, n *node, into reflect.Value) {
	switch {
	case into.Type() == durationType:
		d.decodeDuration(path, n, into)
	case into.Type() == bytesType:
		d.decodeBytes(path, n, into)
	case into.Kind() == reflect.Struct:
		d.decodeStruct(path, n, into)
	case into.Kind() == reflect.Slice:
		d.decodeSlice(path, n, into)
	default:
		d.decodeScalar(path, n, into)
	}
}

func (d *decoder) decodeDuration(path string, n *node, into reflect.Value) {
	text, ok := n.value.(string)
	if !ok {
		d.report(n, path, "is "+describeValue(n.value), expectedValue(into.Type()))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.report(n, path, fmt.Sprintf("%q is not a duration", text), expectedValue(into.Type()))
		return
	}
	into.SetInt(int64(parsed))
}

func (d *decoder) decodeBytes(path string, n *node, into reflect.Value) {
	text, ok := n.value.(string)
	if !ok {
		d.report(n, path, "is "+describeValue(n.value), expectedValue(into.Type()))
		return
	}
	parsed, err := ParseBytes(text)
	if err != nil {
		d.report(n, path, err.Error(), expectedValue(into.Type()))
		return
	}
	into.SetInt(int64(parsed))
}

func (d *decoder) decodeSlice(path string, n *node, into reflect.Value) {
	if _, ok := n.value.([]any); !ok {
		d.report(n, path, "is "+describeValue(n.value), expectedValue(into.Type()))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, into.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, n *node, into reflect.Value) {
	switch value := n.value.(type) {
	case string:
		if into.Kind() == reflect.String {
			into.SetString(value)
			return
		}
	case bool:
		if into.Kind() == reflect.Bool {
			into.SetBool(value)
			return
		}
	case float64:
		if into.Kind() == reflect.Float64 {
			into.SetFloat(value)
			return
		}
	case int64:
		if d.decodeInteger(path, n, value, into) {
			return
		}
	}
	d.report(n, path, "is "+describeValue(n.value), expectedValue(into.Type()))
}

// decodeInteger stores value in into and reports whether into has an integer type. It reports a fault if the
// value is out of range.
func (d *decoder) decodeInteger(path string, n *node, value int64, into reflect.Value) bool {
	switch into.Kind() {
	case reflect.Int, reflect.Int64, reflect.Int32:
		if into.OverflowInt(value) {
			d.report(n, path, fmt.Sprintf("%d is out of range", value), expectedValue(into.Type()))
			return true
		}
		into.SetInt(value)
	case reflect.Uint64, reflect.Uint32:
		if value < 0 || into.OverflowUint(uint64(value)) {
			d.report(n, path, fmt.Sprintf("%d is out of range", value), expectedValue(into.Type()))
			return true
		}
		into.SetUint(uint64(value))
	default:
		return false
	}
	return true
}

func expectedValue(t reflect.Type) string {
	switch {
	case t == durationType:
		return `a duration with a unit, such as "500ms"`
	case t == bytesType:
		return `a size with a unit, such as "64KiB"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number with a decimal point"
	case reflect.Int, reflect.Int64, reflect.Int32:
		return "a whole number"
	case reflect.Uint64, reflect.Uint32:
		return "a whole number of at least 0"
	case reflect.Slice:
		return "an array"
	default:
		return "a table"
	}
}

func describeValue(value any) string {
	switch value := value.(type) {
	case string:
		return fmt.Sprintf("the string %q", value)
	case bool, int64, float64:
		return fmt.Sprintf("%v", value)
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprintf("of type %T", value)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
