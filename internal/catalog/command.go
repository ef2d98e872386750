// Package catalog is the replicated state machine of the control plane. Controllers apply the commands of
// the replicated log to a Catalog, which holds the configuration history, the results of commands, the
// registered targets and the list of controllers, and derives from them the views and deltas that
// controllers send to nodes. It uses neither a clock nor randomness, so the same commands lead to the same
// state on every controller.
package catalog

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/config"
	"github.com/greengagelock/greengagelock/internal/model"
)

// Kind is what a command does.
type Kind uint8

// Kinds of commands.
const (
	// KindApply replaces the configuration document.
	KindApply Kind = iota + 1
	// KindRollback restores the document of an earlier revision, as a new revision.
	KindRollback
	// KindDrain adds names to the leaving list of the document.
	KindDrain
	// KindUndrain removes names from the leaving list of the document.
	KindUndrain
	// KindBatch carries the leader's observations of targets.
	KindBatch
	// KindMember adds or changes a controller in the list of controllers.
	KindMember
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindApply:
		return "apply"
	case KindRollback:
		return "rollback"
	case KindDrain:
		return "drain"
	case KindUndrain:
		return "undrain"
	case KindBatch:
		return "batch"
	case KindMember:
		return "member"
	}
	return "unknown"
}

// Command is one entry of the replicated log. Which fields are used depends on the kind.
type Command struct {
	Kind Kind
	// ID, Base, Acknowledged, Author and Time are set for all kinds that edit the configuration. Base
	// is the revision that the operator's edit is based on.
	ID           string
	Base         model.Revision
	Acknowledged []string
	Author       string
	Time         time.Time      // when a controller received the command; only shown, never compared
	Document     []byte         // for KindApply, compressed
	Revision     model.Revision // for KindRollback, the revision to restore
	Names        []string       // for KindDrain and KindUndrain, names of VMs and targets
	Batch        Batch
	Member       Member
}

// Batch holds the leader's observations that were committed together.
type Batch struct {
	Registrations []Registration
	Withdrawals   []Key // quarantined registrations that no live session announces any more
	Liveness      []LivenessChange
	Ejections     []EjectionChange
	Removals      []model.TargetID
	Activations   []model.TargetID // joining targets that every node has in its view by now
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool {
	return len(b.Registrations)+len(b.Withdrawals)+len(b.Liveness)+len(b.Ejections)+len(b.Removals)+len(b.Activations) == 0
}

// Key identifies a registration: the node that announced it, and the VM and service of the endpoint.
type Key struct {
	Node    string
	VM      model.VM
	Service string
}

// Registration is an agent's announcement of one endpoint.
type Registration struct {
	Key
	Agent    netip.AddrPort
	Slots    int
	MaxConns int
	Draining bool // the target or its agent asked for the target to be drained
}

// LivenessChange says that the lease of a target expired, or that its node has a session again.
type LivenessChange struct {
	Target model.TargetID
	Lost   bool
}

// EjectionChange says that a target was ejected, so that it gets no new flows, or readmitted.
type EjectionChange struct {
	Target  model.TargetID
	Ejected bool
}

// Encode returns the command as a log entry.
func Encode(cmd *Command) ([]byte, error) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(cmd); err != nil {
		return nil, errors.Wrap(err, "encode a command")
	}
	return buf.Bytes(), nil
}

// Decode reads a command from a log entry.
func Decode(data []byte) (*Command, error) {
	cmd := &Command{}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(cmd); err != nil {
		return nil, errors.Wrap(err, "decode a command")
	}
	return cmd, nil
}

// Compress returns the text of a document compressed with DEFLATE, as it is stored in a command.
func Compress(text []byte) []byte {
	var buf bytes.Buffer
	// NewWriter fails only for an invalid level, and writes to a buffer never fail.
	w, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = w.Write(text)
	_ = w.Close()
	return buf.Bytes()
}

// Decompress returns the text of a compressed document. It stops one byte beyond config.MaxDocumentBytes, so
// that the check of the document reports an excessive size.
func Decompress(data []byte) ([]byte, error) {
	limit := int64(config.MaxDocumentBytes) + 1
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a document")
	}
	return text, nil
}

// fingerprint is a hash that distinguishes different commands with the same ID. It leaves out the author
// and the time, which can differ when a command is resent.
func (c *Command) fingerprint(text []byte) uint64 {
	h := xxhash.New()
	write := func(s string) { _, _ = fmt.Fprintf(h, "%d:%s", len(s), s) } // writes to a hash never fail
	write(fmt.Sprint(c.Kind, c.Base, c.Revision, len(c.Acknowledged), len(c.Names)))
	for _, s := range c.Acknowledged {
		write(s)
	}
	for _, s := range c.Names {
		write(s)
	}
	_, _ = h.Write(text)
	return h.Sum64()
}
