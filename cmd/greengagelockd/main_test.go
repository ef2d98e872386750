package main

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/result"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against product binaries that contain the test doubles or their TCP stack.
func TestProductBinariesDoNotLinkTestDoubles(t *testing.T) {
	const commands = "github.com/greengagelock/greengagelock/cmd/greengagelock..."
	out, err := exec.Command("go", "list", "-deps", commands).Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "/cmd/greengagelockd\n") || !strings.Contains(string(out), "/cmd/greengagelockctl\n") {
		t.Fatalf("go list does not name both commands:\n%s", out)
	}
	for _, name := range strings.Fields(string(out)) {
		if strings.Contains(name, "gvisor") || strings.Contains(name, "internal/standin") {
			t.Errorf("a product binary links %s", name)
		}
	}
}

// Guards against an exit status of 0 for a process that never ran.
func TestUsageAndSettingsErrorsAreFailures(t *testing.T) {
	for _, args := range [][]string{{}, {"--settings"}, {"--settings", "/nonexistent.json"}, {"extra"}} {
		if outcome, err := execute(args); outcome != daemon.OutcomeFailure || err == nil {
			t.Errorf("%q: outcome %d, error %v", args, outcome, err)
		}
	}
	if _, err := execute([]string{"--settings", "/nonexistent.json"}); result.CodeOf(err) != result.SettingsInvalid {
		t.Errorf("error without the code of invalid settings: %v", err)
	}
}
