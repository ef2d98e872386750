package daemon

import (
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Extend returns the function with which an agent extends the candidate chain of a packet beyond the
// candidates that the packet lists. It ranks targets as balancers do for the same view.
func Extend(v *model.View) flowtable.Extend {
	table, _ := placement.Build(nil, v)
	return func(service model.ServiceID, bucketHash uint64, k int, syn bool) []encap.Candidate {
		s := table.Service(service)
		if s == nil {
			return nil
		}
		var candidates [encap.MaxCandidates]encap.Candidate
		n := s.Extension(placement.ChainOf(syn), placement.BucketOf(bucketHash), k, &candidates)
		return append([]encap.Candidate(nil), candidates[:n]...)
	}
}
