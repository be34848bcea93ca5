// Package walcodec implements the encoding of the files in a data folder and the decisions of
// recovery. It performs no input or output.
//
// A segment file starts with a header (magic, format version, number, salt), followed by records. A
// record holds one group commit: it was written in one write and synced before the next one was
// started. Therefore only the last record of the last segment can be torn. ScanSegment excludes
// such a record and reports any other damage with the offset of the record.
package walcodec
