package daemon

import (
	"slices"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/settings"
)

// Join makes the controller of a process join the replicated log of the controllers that its
// settings list, instead of forming a new log with the members. It has an effect on the first start
// only, because the data folder keeps how the controller began.
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
