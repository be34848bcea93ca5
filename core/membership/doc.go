// Package membership keeps what an entry process knows of the backend servers
// that announce themselves: which incarnation is current, how old its last
// announcement is, and which ones are leaving.
//
// Ages are counted without comparing clocks (docs/design.md, section 2.8). An
// announcement returns a token that this entry process issued earlier and is
// taken to be as old as the token. An announcement that was pulled from another
// entry process is taken to be as old as that process stated, plus the time
// since the pull was sent. A delayed message therefore only looks older.
package membership
