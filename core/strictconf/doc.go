// Package strictconf decodes TOML into structs without any defaults: every
// setting that the struct names must be present, every key of the file must be
// known, and each value must have the right type and unit. It reports all
// faults of a file at once, with line and key.
//
// Struct fields are named by the tag `toml:"name"`. The option "optional"
// (`toml:"reason,optional"`) lets a field be absent. Supported field types are
// bool, string, int, int64, uint64, float64, time.Duration (a string with a
// unit, such as "500ms"), Bytes (a string with a unit, such as "64KiB"), slices
// of these, structs and slices of structs, and named types of these kinds. The
// fields of an embedded struct without a tag belong to the outer table.
package strictconf
