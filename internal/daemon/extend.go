// Package daemon puts the roles of one process together, as its settings say.
package daemon

import (
	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flowtable"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/placement"
)

// Extend gives agents the rankings of balancers, for chains that go on beyond the candidates in a
// packet.
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
