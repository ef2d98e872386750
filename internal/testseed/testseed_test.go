package testseed_test

import (
	"flag"
	"testing"

	"github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against property tests with a random seed, whose result would differ from run to run.
func TestSeedIsFixed(t *testing.T) {
	if got := flag.Lookup("rapid.seed").Value.String(); got != testseed.Seed {
		t.Fatalf("rapid.seed is %q, want %q", got, testseed.Seed)
	}
}
