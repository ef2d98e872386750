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

// Guards against --join that is ignored for a process that cannot join anything.
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

// Guards against a joining controller that forms a new log because it counts itself among the members.
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
