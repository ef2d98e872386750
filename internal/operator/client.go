package operator

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
	"github.com/greengagelock/greengagelock/internal/telemetry"
)

const (
	// DefaultTimeout covers an election and two forwarded calls.
	DefaultTimeout = 10 * time.Second
	// callTimeout limits one call. It is above the time in which a controller commits an edit or returns
	// an error.
	callTimeout = 4 * time.Second
	retryDelay  = 200 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	Controllers []string // addresses
	TLS         rpc.TLSFiles
	Timeout     time.Duration // limits one operation with all its retries; 0 selects DefaultTimeout
	Tracer      trace.Tracer  // records the spans of edits; nil records none
}

// Client calls the operator API. It switches to another controller when one does not answer.
type Client struct {
	cfg          Config
	clients      []*rpc.Client
	currentIndex chan int // contains the index of the controller to call next
}

// NewClient returns a client. It connects at the first call.
func NewClient(cfg Config) (*Client, error) {
	if len(cfg.Controllers) == 0 {
		return nil, result.New(result.SettingsInvalid, "the addresses of the controllers are not set")
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Tracer == nil {
		cfg.Tracer = telemetry.Discard().Tracer
	}
	credentials, err := rpc.LoadCredentials(cfg.TLS)
	if err != nil {
		return nil, err
	}
	c := &Client{cfg: cfg, currentIndex: make(chan int, 1)}
	for _, address := range cfg.Controllers {
		c.clients = append(c.clients, rpc.NewClient(rpc.ClientConfig{
			Address: address, Role: model.RoleController, Credentials: credentials,
			DialTimeout: callTimeout / 2, CallTimeout: callTimeout,
		}))
	}
	c.currentIndex <- 0
	return c, nil
}

// Close closes the connections.
func (c *Client) Close() {
	for _, client := range c.clients {
		client.Close()
	}
}

// NewCommandID returns a new random command ID.
func NewCommandID() string { return rand.Text() }

// retryable reports whether a retry at another controller, or at the same one later, may succeed.
func retryable(err error) bool {
	switch result.CodeOf(err) {
	case result.NotLeader, result.NoQuorum, result.Overloaded, result.DeadlineExceeded, result.OutcomeUnknown,
		result.MemberChangeBusy, result.StorageFull, result.StorageFailed:
		return true
	}
	return errors.Is(err, rpc.ErrUnreachable)
}

// call calls one controller after the other until one answers or the timeout expires. Retries are safe,
// because every edit has a command ID and all other calls are idempotent.
func call[R any](ctx context.Context, c *Client, method string, args any) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		index := <-c.currentIndex
		c.currentIndex <- index
		reply, err := rpc.Call[R](ctx, c.clients[index], ServiceName+"."+method, args)
		if err == nil || !retryable(err) {
			return reply, err
		}
		code := result.CodeOf(err)
		outcomeUnknown = outcomeUnknown || code == result.OutcomeUnknown || code == result.DeadlineExceeded
		<-c.currentIndex
		c.currentIndex <- (index + 1) % len(c.clients)
		if attempt%len(c.clients) == 0 && !ctxtime.Sleep(ctx, retryDelay) || ctx.Err() != nil {
			return nil, timeoutError(method, err, outcomeUnknown)
		}
	}
}

// timeoutError returns the error of an operation that timed out. If any attempt may have reached the log, the
// outcome is unknown, and a retry with the same command ID returns it.
func timeoutError(method string, lastErr error, outcomeUnknown bool) error {
	if outcomeUnknown {
		return result.New(result.OutcomeUnknown, "%s timed out, the outcome is unknown: %v", method, lastErr)
	}
	if errors.Is(lastErr, rpc.ErrUnreachable) {
		return result.New(result.NoQuorum, "%s: no controller is reachable: %v", method, lastErr)
	}
	return lastErr
}

// Check returns the problems of a document that do not depend on the current state.
func (c *Client) Check(ctx context.Context, file string, document []byte) (jsonc.Problems, error) {
	reply, err := call[CheckReply](ctx, c, "Check", &CheckRequest{File: file, Document: document})
	if err != nil {
		return nil, err
	}
	return reply.Problems, nil
}

// Plan returns the effects of an edit without running it.
func (c *Client) Plan(ctx context.Context, edit *Edit) (*EditReply, error) {
	return call[EditReply](ctx, c, "Plan", edit)
}

// Edit runs an edit. An edit without a command ID gets a new one. A rejected edit is not an error: the code
// of the reply's result is then not OK.
func (c *Client) Edit(ctx context.Context, edit *Edit) (*EditReply, error) {
	if edit.CommandID == "" {
		edit.CommandID = NewCommandID()
	}
	span := telemetry.StartChangeSpan(c.cfg.Tracer, model.TraceOf(edit.CommandID), "operator.command",
		attribute.String("command", edit.CommandID), attribute.String("kind", edit.Kind.String()))
	reply, err := call[EditReply](ctx, c, "Edit", edit)
	code := result.CodeOf(err)
	if err == nil {
		code = reply.Result.Code
	}
	telemetry.EndChangeSpan(span, uint16(code), err)
	return reply, err
}

// Apply makes a document the current configuration.
func (c *Client) Apply(ctx context.Context, edit Edit) (*EditReply, error) {
	edit.Kind = catalog.KindApply
	return c.Edit(ctx, &edit)
}

// Rollback makes the document of an earlier revision the current configuration, as a new revision.
func (c *Client) Rollback(ctx context.Context, edit Edit) (*EditReply, error) {
	edit.Kind = catalog.KindRollback
	return c.Edit(ctx, &edit)
}

// Drain adds VMs or targets to the document's list of leaving ones.
func (c *Client) Drain(ctx context.Context, edit Edit) (*EditReply, error) {
	edit.Kind = catalog.KindDrain
	return c.Edit(ctx, &edit)
}

// Undrain removes VMs or targets from the document's list of leaving ones.
func (c *Client) Undrain(ctx context.Context, edit Edit) (*EditReply, error) {
	edit.Kind = catalog.KindUndrain
	return c.Edit(ctx, &edit)
}

// History returns the revisions that are still stored, oldest first.
func (c *Client) History(ctx context.Context) ([]catalog.RevisionInfo, error) {
	reply, err := call[HistoryReply](ctx, c, "History", &Query{})
	if err != nil {
		return nil, err
	}
	return reply.Revisions, nil
}

// Show returns the document of a revision; 0 selects the current one.
func (c *Client) Show(ctx context.Context, revision model.Revision) (*ShowReply, error) {
	return call[ShowReply](ctx, c, "Show", &ShowRequest{Revision: revision})
}

// Status returns the state of the control plane.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return call[StatusReply](ctx, c, "Status", &Query{})
}

// Targets returns all targets and all announcements that did not become targets.
func (c *Client) Targets(ctx context.Context) (*TargetsReply, error) {
	return call[TargetsReply](ctx, c, "Targets", &Query{})
}

// Services returns all services.
func (c *Client) Services(ctx context.Context) ([]catalog.ServiceStatus, error) {
	reply, err := call[ServicesReply](ctx, c, "Services", &Query{})
	if err != nil {
		return nil, err
	}
	return reply.Services, nil
}

// Members returns the members of the replicated log.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	reply, err := call[MembersReply](ctx, c, "Members", &Query{})
	if err != nil {
		return nil, err
	}
	return reply.Members, nil
}

// AddMember adds a controller to the replicated log and waits until it is a voter.
func (c *Client) AddMember(ctx context.Context, name, address string) ([]Member, error) {
	return c.changeMember(ctx, "AddMember", &MemberChange{Name: name, Address: address})
}

// RemoveMember removes a controller from the replicated log. It returns an error with code RedundancyReduced if the group
// would bear fewer losses.
func (c *Client) RemoveMember(ctx context.Context, name string) ([]Member, error) {
	return c.changeMember(ctx, "RemoveMember", &MemberChange{Name: name})
}

// ForceRemoveMember removes a controller even if the group bears fewer losses afterwards, but not if it would lose its
// majority.
func (c *Client) ForceRemoveMember(ctx context.Context, name string) ([]Member, error) {
	return c.changeMember(ctx, "RemoveMember", &MemberChange{Name: name, Force: true})
}

func (c *Client) changeMember(ctx context.Context, method string, change *MemberChange) ([]Member, error) {
	reply, err := call[MemberChangeReply](ctx, c, method, change)
	if err != nil {
		return nil, err
	}
	return reply.Members, nil
}

// Explain returns the targets that may own a flow.
func (c *Client) Explain(ctx context.Context, request ExplainRequest) (*ExplainReply, error) {
	return call[ExplainReply](ctx, c, "Explain", &request)
}

// WaitInForce waits until a revision is in force on every node. If the timeout expires first, it returns an
// error with code NotInForceEverywhere and a reply that lists the lagging nodes.
func (c *Client) WaitInForce(ctx context.Context, revision model.Revision, timeout time.Duration) (*WaitReply, error) {
	deadline := time.Now().Add(timeout)
	for {
		wait := min(time.Until(deadline), MaxWaitPerCall)
		reply, err := call[WaitReply](ctx, c, "WaitInForce", &WaitRequest{Revision: revision, Timeout: max(wait, 0)})
		if err != nil || reply.Done {
			return reply, err
		}
		if !time.Now().Before(deadline) {
			return reply, result.New(result.NotInForceEverywhere, "revision %d is in force on %d of %d nodes", revision, reply.InForce, reply.Nodes)
		}
	}
}
