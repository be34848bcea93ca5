// Package membership tracks the backend servers that announce themselves to an entry process: which
// incarnation of each is current, how old its last announcement is, and whether it is leaving.
//
// Ages are determined without comparing clocks (docs/design.md, section 2.8). An announcement
// carries a token that this entry process issued earlier, and is considered as old as the token. An
// announcement pulled from another entry process is considered as old as that process stated, plus
// the time since the pull was sent. A delayed message therefore only appears older than it is.
package membership
