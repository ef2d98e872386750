// Package catalog is the replicated state machine of the control plane: configuration history,
// command results, targets, and the views that controllers hand out. It has no clock and no
// randomness, so the same commands lead to the same state on every controller.
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
	// KindApply puts a new document in force.
	KindApply Kind = iota + 1
	// KindRollback puts the document of an earlier revision in force, as a new revision.
	KindRollback
	// KindDrain adds names to the leaving list of the document.
	KindDrain
	// KindUndrain removes names from the leaving list of the document.
	KindUndrain
	// KindBatch carries what the leader has observed of targets.
	KindBatch
	// KindMember changes the list of controllers.
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

// Command is one entry of the replicated log. The fields that are used depend on the kind.
type Command struct {
	Kind Kind
	// ID, Base, Acknowledged, Author and Time belong to all commands that change the
	// configuration. Base is the revision that the operator has seen.
	ID           string
	Base         model.Revision
	Acknowledged []string
	Author       string
	Time         time.Time // at the controller that took the command; only shown, never compared
	Document     []byte    // compressed, of KindApply
	Revision     model.Revision
	Names        []string
	Batch        Batch
	Member       Member
}

// Batch is a group of observations by the leader.
type Batch struct {
	Registrations []Registration
	Withdrawals   []Key // of quarantined registrations whose agent is gone
	Liveness      []LivenessChange
	Ejections     []EjectionChange
	Removals      []model.TargetID
	Activations   []model.TargetID // of targets that every node knows by now
}

// Empty reports whether the batch changes nothing.
func (b *Batch) Empty() bool {
	return len(b.Registrations)+len(b.Withdrawals)+len(b.Liveness)+len(b.Ejections)+len(b.Removals)+len(b.Activations) == 0
}

// Key names a registration: which node offers which endpoint.
type Key struct {
	Node    string
	VM      model.VM
	Service string
}

// Registration is what an agent has announced of one endpoint.
type Registration struct {
	Key
	Agent    netip.AddrPort
	Slots    int
	MaxConns int
	Draining bool // the target itself is leaving
}

// LivenessChange says that the lease of a target was lost or that its session is back.
type LivenessChange struct {
	Target model.TargetID
	Lost   bool
}

// EjectionChange says that a target is skipped for new flows or taken back.
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

// Compress returns the text of a document as a command carries it.
func Compress(text []byte) []byte {
	var buf bytes.Buffer
	// Neither a valid level nor a buffer fails.
	w, _ := flate.NewWriter(&buf, flate.BestSpeed)
	_, _ = w.Write(text)
	_ = w.Close()
	return buf.Bytes()
}

// Decompress returns the text of a compressed document.
func Decompress(data []byte) ([]byte, error) {
	limit := int64(config.MaxDocumentBytes) + 1
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), limit))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a document")
	}
	return text, nil
}

// fingerprint tells apart two commands that carry the same ID. It covers neither the author nor
// the time, which differ when a command is resent.
func (c *Command) fingerprint(text []byte) uint64 {
	h := xxhash.New()
	write := func(s string) { _, _ = fmt.Fprintf(h, "%d:%s", len(s), s) } // a hash takes every write
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
