// Package strictconf decodes TOML into structs without default values: every setting that the struct
// defines must be present, every key of the file must be known, and each value must have the right type
// and unit. It reports all faults of a file at once, with line and key.
//
// The tag `toml:"name"` sets the key of a struct field. A field with the option "optional", such as
// `toml:"reason,optional"`, may be absent. The supported field types are bool, string, int, int64,
// uint64, float64, time.Duration (a string with a unit, such as "500ms"), Bytes (a string with a unit,
// such as "64KiB"), slices of these, structs and slices of structs, and named types of these kinds. The
// fields of an embedded struct without a tag belong to the enclosing table.
package strictconf
