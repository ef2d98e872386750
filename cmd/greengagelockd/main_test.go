package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/greengagelock/greengagelock/internal/daemon"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/settings"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// The product binaries must not contain the test doubles or their TCP stack, which a new import could
// link in unnoticed.
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
		if strings.Contains(name, "gvisor") || strings.HasSuffix(name, "/standin") {
			t.Errorf("a product binary links %s", name)
		}
	}
}

// A process that could not start must not exit with 0.
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

// --join must not be ignored silently by a process that has no controller role or no controllers to join.
func TestJoinNeedsAControllerAndThoseThatRun(t *testing.T) {
	for name, s := range map[string]*settings.Settings{
		"no controller role": {Roles: []model.Role{model.RoleAgent}, Agent: &settings.Agent{}},
		"only itself": {
			Roles: []model.Role{model.RoleController}, Controllers: []settings.Peer{{Name: "c4"}},
			Controller: &settings.Controller{Identity: settings.Identity{Name: "c4"}},
		},
	} {
		if err := daemon.Join(s); result.CodeOf(err) != result.SettingsInvalid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A joining controller that listed itself as a member would form a new log instead of joining the running one.
func TestJoiningControllerIsNoMemberYet(t *testing.T) {
	running := []settings.Peer{{Name: "c1"}, {Name: "c2"}, {Name: "c3"}}
	s := &settings.Settings{
		Roles: []model.Role{model.RoleController}, Controllers: append(running, settings.Peer{Name: "c4"}),
		Controller: &settings.Controller{
			Identity: settings.Identity{Name: "c4"}, Members: []settings.Peer{{Name: "c2"}, {Name: "c3"}, {Name: "c4"}},
		},
	}
	if err := daemon.Join(s); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(s.Controller.Members, running) {
		t.Errorf("joins %v", s.Controller.Members)
	}
}
