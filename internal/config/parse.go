package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/model"
)

// Parse parses and checks a document. The error is a jsonc.Problems with all problems of the document; file is
// the document's name in messages.
func Parse(file string, text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, jsonc.Problems{{
			File: file, Line: 1, Column: 1,
			Value: fmt.Sprintf("%d bytes", len(text)), Expected: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}}
	}
	var decoded documentJSON
	source := jsonc.Decode(file, text, &decoded)
	doc := decoded.document()
	if source.Has("") {
		c := &checker{Document: source, doc: doc}
		c.check()
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// documentJSON is the JSON form of a document. Optional values are pointers, to distinguish missing from zero.
type documentJSON struct {
	Inventory struct {
		VMs []vmJSON `json:"vms"`
	} `json:"inventory"`
	Services []serviceJSON `json:"services"`
	Leaving  []leavingName `json:"leaving"`
	Limits   struct {
		SlotsPerTarget       *integer[slotsBounds]       `json:"slots_per_target"`
		ConnectionsPerTarget *integer[connectionsBounds] `json:"connections_per_target"`
	} `json:"limits"`
}

type vmJSON struct {
	Name      name   `json:"name"`
	Zone      label  `json:"zone"`
	Workspace label  `json:"workspace"`
	Labels    labels `json:"labels"`
}

type serviceJSON struct {
	Name         name                          `json:"name"`
	Workspace    label                         `json:"workspace"`
	Address      serviceAddress                `json:"address"`
	Class        flowClass                     `json:"class"`
	Select       labels                        `json:"select"`
	MaxQueueWait *duration[queueWaitBounds]    `json:"max_queue_wait"`
	Ramp         *duration[rampBounds]         `json:"ramp"`
	DrainTimeout *duration[drainTimeoutBounds] `json:"drain_timeout"`
	Silence      silenceJSON                   `json:"silence"`
}

type silenceJSON struct {
	Enabled  *bool                          `json:"enabled"`
	Idle     *duration[silenceIdleBounds]   `json:"idle"`
	Interval *duration[probeIntervalBounds] `json:"interval"`
	Count    *integer[probeCountBounds]     `json:"count"`
}

func (d *documentJSON) document() *Document {
	doc := &Document{Limits: Limits{
		SlotsPerTarget:       integerOr(d.Limits.SlotsPerTarget, MaxSlotsPerTarget),
		ConnectionsPerTarget: integerOr(d.Limits.ConnectionsPerTarget, MaxConnectionsPerTarget),
	}}
	for i := range d.Inventory.VMs {
		doc.VMs = append(doc.VMs, d.Inventory.VMs[i].vm())
	}
	for i := range d.Services {
		doc.Services = append(doc.Services, d.Services[i].service())
	}
	for _, name := range d.Leaving {
		doc.Leaving = append(doc.Leaving, string(name))
	}
	return doc
}

func (v *vmJSON) vm() VM {
	return VM{
		Name: model.VM(v.Name), Zone: model.AvailabilityZone(v.Zone),
		Workspace: model.Workspace(v.Workspace), Labels: v.Labels.strings(),
	}
}

func (s *serviceJSON) service() Service {
	class := model.FlowClass(s.Class)
	return Service{
		Name: string(s.Name), Workspace: model.Workspace(s.Workspace), Address: netip.AddrPort(s.Address),
		Class: class, Select: s.Select.strings(),
		MaxQueueWait: durationOr(s.MaxQueueWait, MaxQueueWait),
		Ramp:         durationOr(s.Ramp, DefaultRamp),
		DrainTimeout: durationOr(s.DrainTimeout, 0),
		Silence:      s.Silence.silence(class),
	}
}

// silence returns the policy for silent flows, which by default is enabled for streams and disabled for requests.
func (s *silenceJSON) silence(class model.FlowClass) model.Silence {
	enabled := class == model.ClassStream
	if s.Enabled != nil {
		enabled = *s.Enabled
	}
	return model.Silence{
		Enabled:  enabled,
		Idle:     durationOr(s.Idle, DefaultSilenceIdle),
		Interval: durationOr(s.Interval, DefaultProbeInterval),
		Count:    integerOr(s.Count, DefaultProbeCount),
	}
}

func durationOr[B durationBounds](v *duration[B], fallback time.Duration) time.Duration {
	if v == nil {
		return fallback
	}
	return time.Duration(*v)
}

func integerOr[B integerBounds](v *integer[B], fallback int) int {
	if v == nil {
		return fallback
	}
	return int(*v)
}
