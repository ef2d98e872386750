// Package testseed sets fixed seeds for the property-test and spec libraries, so that a test run is
// reproducible. Test files import it for its side effect.
package testseed

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flags that init sets
)

// Seed is the seed of every property test.
const Seed = "20261203"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// RunSpecs runs the ginkgo specs of a package in an order that is the same in each run.
func RunSpecs(t *testing.T, description string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = 1
	ginkgo.RunSpecs(t, description, suite, reporter)
}
