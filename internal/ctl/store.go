package ctl

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/confstore"
)

// storeCommand shows the configuration store of the datagram data path. It takes the address of one
// controller instead of client settings: the controllers of the store know each other.
func (a *app) storeCommand() *cobra.Command {
	address := ""
	command := func(use, short string, show func(*confstore.Status) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return usageError{errors.Newf("--controller is %q, want IP:PORT of a controller for its peers", address)}
			}
			status, err := confstore.FetchStatus(c.Context(), at)
			if err != nil {
				return err
			}
			return show(status)
		}}
		c.Flags().StringVar(&address, "controller", "", "address at which a controller listens for its peers, IP:PORT")
		return c
	}
	return commandGroup("store", "Show the configuration store of the datagram path",
		command("status", "Show the leader, the version and which entry VMs lag behind", func(s *confstore.Status) error {
			return a.print(s, func(t *table) {
				t.row("controller", s.Name)
				t.row("leader", orDash(s.Leader))
				t.row("version", s.Version)
				t.row("current", s.Current)
				t.row("targets", len(s.Targets))
				for _, name := range s.Behind {
					t.row("not in force on", name)
				}
			})
		}),
		command("members", "Show the members", func(s *confstore.Status) error {
			return a.print(s, func(t *table) {
				t.row("MEMBER", "ADDRESS", "ROLE", "LOG INDEX", "LAST HEARD")
				for _, m := range s.Members {
					role := "follower"
					switch {
					case m.Leader:
						role = "leader"
					case m.Learner:
						role = "learner"
					}
					t.row(m.Name, m.Address, role, m.Match, m.ContactAge.Round(time.Millisecond))
				}
			})
		}),
		command("targets", "Show the targets that announce themselves", func(s *confstore.Status) error {
			return a.print(s, func(t *table) {
				t.row("TARGET", "RELAY", "ZONE", "STATE", "SLOTS", "COLD")
				for i := range s.Targets {
					r := &s.Targets[i]
					t.row(r.ID, netip.AddrFrom4(r.Relay), r.Zone, r.State, r.Slots, r.Cold)
				}
			})
		}),
	)
}
