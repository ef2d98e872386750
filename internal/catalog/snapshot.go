package catalog

import (
	"bytes"
	"encoding/gob"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/model"
)

// image is the encoded form of the state in a snapshot. It has ordered slices in place of the catalog's
// maps, because gob encodes maps in random order.
type image struct {
	Applied     uint64
	History     history
	Results     []storedResult
	NextService model.ServiceID
	NextTarget  model.TargetID
	Services    []service
	Targets     []target
	Quarantine  []Quarantined
	Members     []Member
	Generation  model.Generation
	Revision    model.Revision
	ViewTargets []model.Target
	Digest      uint64
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (c *Catalog) Snapshot() ([]byte, error) {
	img := image{
		Applied: c.applied, History: c.history, NextService: c.nextService, NextTarget: c.nextTarget,
		Quarantine: c.Quarantine(), Members: c.Members(), Generation: c.view.Generation, Revision: c.view.Revision, Digest: c.digest,
	}
	for _, id := range c.resultIDs {
		img.Results = append(img.Results, c.results[id])
	}
	for _, id := range slices.Sorted(maps.Keys(c.services)) {
		img.Services = append(img.Services, *c.services[id])
	}
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		img.Targets = append(img.Targets, *c.targets[id])
		img.ViewTargets = append(img.ViewTargets, c.view.Targets[id])
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(&img); err != nil {
		return nil, errors.Wrap(err, "encode a snapshot")
	}
	return buf.Bytes(), nil
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (c *Catalog) Restore(data []byte) error {
	var img image
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&img); err != nil {
		return errors.Wrap(err, "decode a snapshot")
	}
	next := New()
	next.applied, next.history = img.Applied, img.History
	next.nextService, next.nextTarget = img.NextService, img.NextTarget
	next.view.Generation, next.view.Revision, next.view.Trace = img.Generation, img.Revision, img.History.trace()
	for _, r := range img.Results {
		next.results[r.CommandID] = r
		next.resultIDs = append(next.resultIDs, r.CommandID)
	}
	for _, s := range img.Services {
		next.services[s.Model.ID] = &s
		next.view.Services[s.Model.ID] = s.Model
	}
	for i, t := range img.Targets {
		next.targets[t.ID] = &t
		next.view.Targets[t.ID] = img.ViewTargets[i]
	}
	for _, q := range img.Quarantine {
		next.quarantine[q.Registration.Key] = q
	}
	for _, m := range img.Members {
		next.members[m.Name] = m
	}
	next.rebuildDerivedState()
	next.digest = next.view.Digest()
	if next.digest != img.Digest {
		return errors.Newf("snapshot at generation %d has digest %016x, expected %016x", img.Generation, next.digest, img.Digest)
	}
	*c = *next
	return nil
}
