// Package rapidseed fixes the seed of pgregory.net/rapid for the tests that
// import it, so that a run has the same verdict every time. The flag
// -rapid.seed still chooses another one.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const defaultSeed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}
