package daemon

import (
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/settings"
)

// Join makes the controller of a process join the replicated log of the controllers that its settings
// list, instead of forming a new log with the listed members. It has an effect on the first start only:
// the data folder then records how the controller began. It fails with SettingsInvalid if the process has
// no controller role or lists no other controller.
func Join(s *settings.Settings) error {
	if !s.HasRole(model.RoleController) {
		return result.New(result.SettingsInvalid, "%s: --join is for the role controller", s.Name)
	}
	others := slices.DeleteFunc(slices.Clone(s.Controllers), func(p settings.Peer) bool { return p.Name == s.Controller.Name })
	if len(others) == 0 {
		return result.New(result.SettingsInvalid, "%s: --join needs the running controllers under \"controllers\"", s.Name)
	}
	s.Controller.Members = others
	return nil
}
