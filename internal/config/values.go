package config

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// errInvalid makes jsonc report the value, together with the Expected text of its type.
var errInvalid = errors.New("invalid value")

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// name is the name of a VM or service. It contains no slash, which separates the two in the name of a target.
type name string

func (v *name) UnmarshalText(text []byte) error {
	if !namePattern.Match(text) {
		return errInvalid
	}
	*v = name(text)
	return nil
}

func (*name) Expected() string { return `a name of up to 63 letters, digits, ".", "_" or "-"` }

// label is a text that is not empty or blank: the value of a label, a zone or a workspace.
type label string

func (v *label) UnmarshalText(text []byte) error {
	if strings.TrimSpace(string(text)) == "" {
		return errInvalid
	}
	*v = label(text)
	return nil
}

func (*label) Expected() string { return "a text that is not empty" }

type labels map[string]label

func (*labels) Expected() string { return "an object of labels" }

func (v labels) strings() map[string]string {
	if v == nil {
		return nil
	}
	texts := make(map[string]string, len(v))
	for key, value := range v {
		texts[key] = string(value)
	}
	return texts
}

// leavingName is the name of a VM or target. checkLeaving checks that it exists.
type leavingName string

func (v *leavingName) UnmarshalText(text []byte) error {
	return (*label)(v).UnmarshalText(text)
}

func (*leavingName) Expected() string { return `"vm" or "vm/service"` }

type flowClass model.FlowClass

func (v *flowClass) UnmarshalText(text []byte) error {
	switch string(text) {
	case "stream":
		*v = flowClass(model.ClassStream)
	case "request":
		*v = flowClass(model.ClassRequest)
	default:
		return errInvalid
	}
	return nil
}

func (*flowClass) Expected() string { return `"stream" or "request"` }

type serviceAddress netip.AddrPort

func (v *serviceAddress) UnmarshalText(text []byte) error {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil || !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return errInvalid
	}
	*v = serviceAddress(address)
	return nil
}

func (*serviceAddress) Expected() string { return `an IPv4 address and port, such as "10.10.0.1:7001"` }

type durationBounds interface {
	bounds() (low, high time.Duration)
}

// duration is a duration within the bounds of B.
type duration[B durationBounds] time.Duration

func (v *duration[B]) UnmarshalText(text []byte) error {
	var b B
	low, high := b.bounds()
	value, err := time.ParseDuration(string(text))
	if err != nil || value < low || value > high {
		return errInvalid
	}
	*v = duration[B](value)
	return nil
}

func (*duration[B]) Expected() string {
	var b B
	low, high := b.bounds()
	return fmt.Sprintf("a duration with a unit, such as %q, from %v to %v", "500ms", low, high)
}

type integerBounds interface{ bounds() (low, high int) }

// integer is a whole number within the bounds of B.
type integer[B integerBounds] int

func (v *integer[B]) UnmarshalJSON(text []byte) error {
	var b B
	low, high := b.bounds()
	value, err := strconv.Atoi(string(text))
	if err != nil || value < low || value > high {
		return errInvalid
	}
	*v = integer[B](value)
	return nil
}

func (*integer[B]) Expected() string {
	var b B
	low, high := b.bounds()
	return fmt.Sprintf("a whole number from %d to %d", low, high)
}

type (
	queueWaitBounds     struct{}
	rampBounds          struct{}
	drainTimeoutBounds  struct{}
	silenceIdleBounds   struct{}
	probeIntervalBounds struct{}
	probeCountBounds    struct{}
	slotsBounds         struct{}
	connectionsBounds   struct{}
)

func (queueWaitBounds) bounds() (low, high time.Duration)    { return 0, MaxQueueWait }
func (rampBounds) bounds() (low, high time.Duration)         { return 0, MaxRamp }
func (drainTimeoutBounds) bounds() (low, high time.Duration) { return 0, MaxDrainTimeout }
func (silenceIdleBounds) bounds() (low, high time.Duration) {
	return MinSilenceIdle, MaxSilenceIdle
}

func (probeIntervalBounds) bounds() (low, high time.Duration) {
	return MinProbeInterval, MaxProbeInterval
}
func (probeCountBounds) bounds() (low, high int)  { return 1, MaxProbeCount }
func (slotsBounds) bounds() (low, high int)       { return 1, MaxSlotsPerTarget }
func (connectionsBounds) bounds() (low, high int) { return 1, MaxConnectionsPerTarget }
