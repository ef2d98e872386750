package controller

import (
	"context"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Explain returns the targets that may own a flow.
func (o *Operator) Explain(request *operator.ExplainRequest, reply *operator.ExplainReply) error {
	return runOnLeader(o, &request.Origin, "Explain", request, reply, func(context.Context) error {
		var view *model.View
		o.c.state.read(func(cat *catalog.Catalog) { view = cat.View() })
		explain(view, flow.Key{Caller: request.Caller, Service: request.Service}, reply)
		return nil
	})
}

// explain ranks the targets of the service of a flow as balancers do. It leaves reply.Found false for a
// service that does not exist and for addresses other than IPv4.
func explain(view *model.View, key flow.Key, reply *operator.ExplainReply) {
	reply.Generation = view.Generation
	if !key.Caller.Addr().Is4() || !key.Service.Addr().Is4() {
		return
	}
	serviceView := model.NewView()
	for id, s := range view.Services {
		if s.Address != key.Service {
			continue
		}
		reply.Found, reply.Service = true, s
		serviceView.Services[id] = s
		for _, t := range view.TargetsOf(id) {
			serviceView.Targets[t.ID] = t
		}
	}
	if !reply.Found {
		return
	}
	table, _ := placement.Build(nil, serviceView)
	ranked, bucket := table.Lookup(key.Service), placement.BucketOfKey(key)
	reply.Bucket = int(bucket)
	reply.New = ranked.FullChain(placement.ChainOf(true), bucket)
	reply.Established = ranked.FullChain(placement.ChainOf(false), bucket)
}
