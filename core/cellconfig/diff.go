package cellconfig

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Diff returns one line for each setting that differs between two files, sorted by path. Tables are
// matched by name, and a table that only one file has is reported as one line. The generation is not
// compared, because it differs between any two files.
func Diff(old, next File) []string {
	before, after := flatten(old), flatten(next)
	var lines []string
	for path, value := range before {
		other, kept := after[path]
		switch {
		case kept && other != value:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, value, other))
		case !kept && !inMissingTable(path, before, after):
			lines = append(lines, path+": removed")
		}
	}
	for path := range after {
		if _, known := before[path]; !known && !inMissingTable(path, after, before) {
			lines = append(lines, path+": added")
		}
	}
	sort.Strings(lines)
	return lines
}

// inMissingTable reports whether path, a setting of have, belongs to a table that is missing in other.
func inMissingTable(path string, have, other map[string]string) bool {
	end := strings.LastIndex(path, "].")
	if end < 0 {
		return false
	}
	table := path[:end+1]
	_, listed := have[table]
	_, kept := other[table]
	return listed && !kept
}

// flatten returns the formatted value of each setting, by path.
func flatten(file File) map[string]string {
	settings := map[string]string{}
	flattenStruct("", reflect.ValueOf(file), settings)
	delete(settings, "generation")
	return settings
}

func flattenStruct(prefix string, v reflect.Value, into map[string]string) {
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		flattenValue(prefix+name, v.Field(i), into)
	}
}

func flattenValue(path string, v reflect.Value, into map[string]string) {
	switch {
	case v.Kind() == reflect.Struct:
		flattenStruct(path+".", v, into)
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			table := fmt.Sprintf("%s[%s]", path, v.Index(i).FieldByName("Name").String())
			into[table] = ""
			flattenStruct(table+".", v.Index(i), into)
		}
	default:
		into[path] = valueText(v)
	}
}

func valueText(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Duration:
		return value.String()
	case fmt.Stringer:
		return value.String()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprintf("%v", v.Interface())
}
