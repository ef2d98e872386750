package testseed_test

import (
	"flag"
	"testing"

	"github.com/greengagelock/greengagelock/internal/testseed"
)

// A property test with a random seed would make the verdict of CI depend on chance.
func TestSeedIsFixed(t *testing.T) {
	if got := flag.Lookup("rapid.seed").Value.String(); got != testseed.Seed {
		t.Fatalf("rapid.seed is %q, want %q", got, testseed.Seed)
	}
}
