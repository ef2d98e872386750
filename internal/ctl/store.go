package ctl

import (
	"context"
	"fmt"
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
	command := func(use, short string, args cobra.PositionalArgs, run func(ctx context.Context, at netip.AddrPort, args []string) error) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(c *cobra.Command, args []string) error {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return usageError{errors.Newf("--controller is %q, want IP:PORT of a controller for its peers", address)}
			}
			return run(c.Context(), at, args)
		}}
		c.Flags().StringVar(&address, "controller", "", "address at which a controller listens for its peers, IP:PORT")
		return c
	}
	show := func(use, short string, print func(*confstore.Status) error) *cobra.Command {
		return command(use, short, cobra.NoArgs, func(ctx context.Context, at netip.AddrPort, _ []string) error {
			status, err := confstore.FetchStatus(ctx, at)
			if err != nil {
				return err
			}
			return print(status)
		})
	}
	order := func(use, short string, evacuate bool) *cobra.Command {
		return command(use, short, cobra.ExactArgs(1), func(ctx context.Context, at netip.AddrPort, args []string) error {
			return confstore.OrderEvacuation(ctx, at, args[0], evacuate)
		})
	}
	return commandGroup("store", "Show the configuration store of the datagram path, and evacuate availability zones",
		show("status", "Show the leader, the version, builds, evacuated zones and which entry VMs lag behind", func(s *confstore.Status) error {
			return a.print(s, func(t *table) {
				t.row("controller", s.Name)
				t.row("leader", orDash(s.Leader))
				t.row("version", s.Version)
				t.row("current", s.Current)
				t.row("targets", len(s.Targets))
				t.row("build", orDash(s.Build))
				t.row("protocol level", s.Level)
				t.row("level of the log", s.LogLevel)
				if r := s.Repair; r != nil {
					t.row("losses borne", fmt.Sprintf("%d of %d", r.Borne, r.Wanted))
					for _, m := range r.Lost {
						t.row("not heard", fmt.Sprintf("%s for %v", m.Name, m.For.Round(time.Second)))
					}
					if r.Change != "" {
						t.row("change of members", fmt.Sprintf("%s: %s", r.Change, r.Reason))
					}
					if r.Failures > 0 {
						t.row("failed changes", fmt.Sprintf("%d, the last: %s", r.Failures, r.Error))
					}
				}
				for _, zone := range s.Evacuated {
					t.row("evacuated", zone)
				}
				for _, name := range s.Below {
					t.row("controller of an earlier build", name)
				}
				for _, name := range s.Outdated {
					t.row("process of an earlier build", name)
				}
				for _, name := range s.Behind {
					t.row("not in force on", name)
				}
			})
		}),
		show("members", "Show the members", func(s *confstore.Status) error {
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
		show("targets", "Show the targets that announce themselves", func(s *confstore.Status) error {
			return a.print(s, func(t *table) {
				t.row("TARGET", "RELAY", "ZONE", "STATE", "SLOTS", "COLD")
				for i := range s.Targets {
					r := &s.Targets[i]
					t.row(r.ID, netip.AddrFrom4(r.Relay), r.Zone, r.State, r.Slots, r.Cold)
				}
			})
		}),
		order("evacuate ZONE", "Send no new flows to the targets of an availability zone", true),
		order("restore ZONE", "Withdraw the evacuation of an availability zone", false),
	)
}
