// Package walcodec is the encoding of the files in a data folder and the
// decisions of recovery, without input or output.
//
// A segment file starts with a header (magic, format version, number, salt)
// and holds records. A record is one group commit: it was written by one write
// and synced before the next one was started. Only the last record of the last
// segment can therefore be torn. Recover cuts such a record and refuses every
// other damage with the offset of the record.
package walcodec
