// Package result defines the numbered result codes of the daemon and the command-line tool, and the error type
// that carries them. docs/errors.md explains each code to operators.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is a numbered result. The thousands digit is the area, such as storage.
type Code uint16

// Result codes. The numbers are part of the public interface and never change or get another meaning.
const (
	OK Code = 0

	// 1xxx: settings and configuration documents.
	SettingsInvalid      Code = 1001
	ConfigInvalid        Code = 1002
	RevisionConflict     Code = 1003
	AcknowledgeRequired  Code = 1004
	CommandExpired       Code = 1005
	RevisionNotFound     Code = 1006
	TargetNotFound       Code = 1007
	ServiceNotFound      Code = 1008
	TooManyTargets       Code = 1009
	NotInForceEverywhere Code = 1010
	ZoneNotFound         Code = 1011
	RedundancyReduced    Code = 1012

	// 2xxx: admission of flows. The payload of a refusal contains one of these codes.
	NoFreeSlot         Code = 2001
	QueueFull          Code = 2002
	QueueTimeout       Code = 2003
	TargetDraining     Code = 2004
	NoTarget           Code = 2005
	RetryBudgetSpent   Code = 2006
	HandshakeFailed    Code = 2007
	AdmissionSuspended Code = 2008
	FlowUnknown        Code = 2010
	TargetJoining      Code = 2009
	TargetReplaced     Code = 2011
	ZoneEvacuated      Code = 2012
	TargetCold         Code = 2013

	// 3xxx: controllers and sessions.
	NotLeader        Code = 3001
	NoQuorum         Code = 3002
	Overloaded       Code = 3003
	DeadlineExceeded Code = 3004
	PeerUnknown      Code = 3005
	StaleGeneration  Code = 3006
	MemberChangeBusy Code = 3007
	OutcomeUnknown   Code = 3008
	UpgradePending   Code = 3009

	// 4xxx: storage.
	StorageCorrupt Code = 4001
	StorageFull    Code = 4002
	StorageFailed  Code = 4003
	BuildTooOld    Code = 4004

	// 5xxx: packets.
	PacketInvalid Code = 5001

	// 9xxx: bugs in the program.
	Internal Code = 9001
)

// Error is an error with a result code.
type Error struct {
	Code    Code
	Message string
	// RetryAfter is the time after which the caller may try again; zero if unknown.
	RetryAfter time.Duration
}

// Error returns the code and the message, such as "GGL-1003: revision is 7".
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Message
}

// New returns an Error with a formatted message, wrapped in a stack trace.
func New(code Code, format string, args ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Message: fmt.Sprintf(format, args...)}, 1)
}

// CodeOf returns the code of the first Error in the chain of err, OK for nil and Internal for an
// error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
