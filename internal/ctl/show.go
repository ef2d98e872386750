package ctl

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/result"
)

const applyKind = catalog.KindApply

// queryCommand returns a command without arguments that makes one query and prints the reply.
func queryCommand[R any](a *app, use, short string, ask func(*operator.Client, *cobra.Command) (R, error), fill func(*table, R)) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.connect()
			if err != nil {
				return err
			}
			reply, err := ask(client, cmd)
			if err != nil {
				return err
			}
			return a.print(reply, func(t *table) { fill(t, reply) })
		},
	}
}

func (a *app) targetsCommand() *cobra.Command {
	return queryCommand(a, "targets", "List targets and quarantined announcements",
		func(c *operator.Client, cmd *cobra.Command) (*operator.TargetsReply, error) {
			return c.Targets(cmd.Context())
		},
		func(t *table, reply *operator.TargetsReply) {
			t.row("TARGET", "ID", "ZONE", "SERVICE", "STATE", "SLOTS", "FLOWS", "REFUSED", "HEALTH")
			for _, target := range reply.Targets {
				m := target.Model
				t.row(m.Name, m.ID, m.Zone, target.ServiceName, m.State, slots(target), flows(target), refused(target), health(target))
			}
			for _, q := range reply.Quarantine {
				t.row(q.Registration.VM, "-", "-", q.Registration.Service, "quarantined: "+q.Reason)
			}
		})
}

func slots(t operator.TargetInfo) string {
	if !t.EvidenceKnown {
		return fmt.Sprintf("?/%d", t.Model.Slots)
	}
	return fmt.Sprintf("%d/%d", t.Evidence.BusySlots, t.Model.Slots)
}

func flows(t operator.TargetInfo) string {
	if !t.EvidenceKnown {
		return "?"
	}
	return fmt.Sprint(t.Evidence.OpenFlows)
}

func refused(t operator.TargetInfo) string {
	if !t.EvidenceKnown {
		return "?"
	}
	return fmt.Sprint(t.Evidence.Refused)
}

func health(t operator.TargetInfo) string {
	switch {
	case !t.EvidenceKnown:
		return "no report"
	case t.Evidence.Suspended:
		return fmt.Sprintf("suspended after %d failed handshakes", t.Evidence.HandshakeFailures)
	case !t.Evidence.EndpointHealthy:
		return "endpoint reports unhealthy"
	}
	return "ok"
}

func (a *app) servicesCommand() *cobra.Command {
	return queryCommand(a, "services", "List services",
		func(c *operator.Client, cmd *cobra.Command) ([]catalog.ServiceStatus, error) {
			return c.Services(cmd.Context())
		},
		func(t *table, services []catalog.ServiceStatus) {
			t.row("SERVICE", "ID", "ADDRESS", "CLASS", "WORKSPACE", "TARGETS", "ADMITTING", "STATE")
			for _, s := range services {
				state := "active"
				if s.Retiring {
					state = "retiring"
				}
				t.row(s.Model.Name, s.Model.ID, s.Model.Address, className(s.Model.Class), orDash(string(s.Model.Workspace)), len(s.Targets), admitting(s.Targets), state)
			}
		})
}

func className(c model.FlowClass) string {
	if c == model.ClassRequest {
		return "request"
	}
	return "stream"
}

func admitting(targets []model.Target) int {
	n := 0
	for _, t := range targets {
		if t.State == model.TargetActive {
			n++
		}
	}
	return n
}

func (a *app) explainCommand() *cobra.Command {
	var logs logFlags
	c := &cobra.Command{
		Use:   "explain CALLER:PORT SERVICE:PORT",
		Short: "Explain where the packets of a flow go and why a request may be refused",
		Long: "Explains what happens to a new flow now, by asking a controller. With --log, explains from the logs of " +
			"processes of the datagram path what happened to a flow and why.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			caller, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return usageError{errors.Newf("caller %q: want ADDRESS:PORT", args[0])}
			}
			service, err := netip.ParseAddrPort(args[1])
			if err != nil {
				return usageError{errors.Newf("service %q: want ADDRESS:PORT", args[1])}
			}
			if len(logs.files) > 0 {
				return a.explainFromLogs(caller, service, &logs)
			}
			client, err := a.connect()
			if err != nil {
				return err
			}
			reply, err := client.Explain(cmd.Context(), operator.ExplainRequest{Caller: caller, Service: service})
			if err != nil {
				return err
			}
			if !reply.Found {
				return result.New(result.ServiceNotFound, "no service has the address %v: its packets are dropped", service)
			}
			targets, err := client.Targets(cmd.Context())
			if err != nil {
				return err
			}
			return a.printExplanation(explain(reply, targets.Targets))
		},
	}
	logs.add(c.Flags())
	return c
}

// explanation lists the candidate targets of a flow in the order in which they are tried.
type explanation struct {
	Service    string           `json:"service"`
	ServiceID  model.ServiceID  `json:"service_id"`
	Generation model.Generation `json:"generation"`
	Bucket     int              `json:"bucket"`
	Candidates []candidate      `json:"candidates"`
}

// candidate is one target of a flow. Its position is that in the chain for packets of established flows.
type candidate struct {
	Position int    `json:"position"`
	Target   string `json:"target"`
	State    string `json:"state"`
	// NewFlow says how the target would handle a new flow.
	NewFlow string `json:"new_flow"`
}

func explain(reply *operator.ExplainReply, known []operator.TargetInfo) explanation {
	e := explanation{
		Service: reply.Service.Name, ServiceID: reply.Service.ID, Generation: reply.Generation, Bucket: reply.Bucket,
	}
	info := map[model.TargetID]operator.TargetInfo{}
	for _, t := range known {
		info[t.Model.ID] = t
	}
	for i, t := range reply.Established {
		position := slices.IndexFunc(reply.New, func(n model.Target) bool { return n.ID == t.ID })
		e.Candidates = append(e.Candidates, candidate{
			Position: i + 1, Target: t.Name, State: t.State.String(),
			NewFlow: newFlowHandling(position, reply.Service.Class, t, info[t.ID]),
		})
	}
	return e
}

// newFlowHandling describes how a target would handle a new flow, according to the last report of its
// agent. The position is that in the chain for new flows, or negative if the target is not in it.
func newFlowHandling(position int, class model.FlowClass, t model.Target, info operator.TargetInfo) string {
	if position < 0 {
		return "not asked: " + t.State.String()
	}
	asked := fmt.Sprintf("asked as number %d", position+1)
	switch {
	case !info.EvidenceKnown:
		return asked + ", no report yet"
	case info.Evidence.Suspended:
		return asked + ", passes it on: admission suspended"
	case class == model.ClassRequest && info.Evidence.BusySlots >= t.Slots:
		return asked + ", passes it on or queues it: all slots taken"
	case info.Evidence.OpenFlows >= t.MaxConns:
		return asked + ", passes it on or queues it: all connections taken"
	}
	return asked + ", takes it"
}

func (a *app) printExplanation(e explanation) error {
	return a.print(e, func(t *table) {
		t.row("service", fmt.Sprintf("%s (number %d)", e.Service, e.ServiceID))
		t.row("generation", e.Generation)
		t.row("bucket", e.Bucket)
		for _, c := range e.Candidates {
			t.row(fmt.Sprintf("candidate %d", c.Position), fmt.Sprintf("%s, %s; new flow: %s", c.Target, c.State, c.NewFlow))
		}
	})
}

func (a *app) errorsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "errors [CODE]",
		Short: "Explain result codes, such as GGL-2002",
		Args:  cobra.MaximumNArgs(1),
		ValidArgsFunction: func(*cobra.Command, []string, string) ([]cobra.Completion, cobra.ShellCompDirective) {
			var codes []cobra.Completion
			for _, info := range result.Table() {
				codes = append(codes, cobra.CompletionWithDesc(info.Code.String(), info.Name))
			}
			return codes, cobra.ShellCompDirectiveNoFileComp
		},
		RunE: func(_ *cobra.Command, args []string) error {
			infos := result.Table()
			if len(args) > 0 {
				info, ok := result.LookupText(args[0])
				if !ok {
					return usageError{errors.Newf("no result code %q", args[0])}
				}
				infos = []result.Info{info}
			}
			return a.print(infos, func(t *table) {
				t.row("CODE", "NAME", "MEANING", "NEXT")
				for _, info := range infos {
					t.row(info.Code, info.Name, info.Meaning, info.Next)
				}
			})
		},
	}
}
