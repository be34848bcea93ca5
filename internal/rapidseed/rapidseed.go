// Package rapidseed sets a fixed seed for pgregory.net/rapid in the tests that import it, so that
// their results are reproducible. The flag -rapid.seed overrides it.
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
