// Package rapidseed fixes the seed of property tests, so that CI gives the same result
// on each run. Test files import it for its side effect; -rapid.seed=N on the command
// line overrides it.
package rapidseed

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // registers the flag that init sets
)

// Seed is the seed of property tests unless the command line sets another.
const Seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(fmt.Sprintf("fix the seed of property tests: %v", err))
	}
}
