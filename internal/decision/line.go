package decision

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is a log line of a process of the datagram data path that helps to explain what happened to a flow:
// a decision, or a state change of the process or of what it knows about others.
type Line struct {
	Time      time.Time `json:"time"`
	Process   string    `json:"process"`
	Component string    `json:"component"`
	Message   string    `json:"message"`

	// Set in decisions.
	Kind      string `json:"kind,omitempty"`
	Flow      string `json:"flow,omitempty"`
	Seq       uint32 `json:"seq,omitempty"`
	Relay     string `json:"relay,omitempty"` // address of the relay, or its name in lines of controllers
	Version   uint64 `json:"version,omitempty"`
	ListAgeMS int64  `json:"list_age_ms,omitempty"`
	Busy      uint16 `json:"busy,omitempty"`
	Slots     uint16 `json:"slots,omitempty"`
	Tries     int    `json:"tries,omitempty"`
	TookUS    int64  `json:"took_us,omitempty"`
	Code      string `json:"code,omitempty"`
	LeftOut   uint64 `json:"lines,omitempty"` // number of decisions, in LinesLeftOut

	// Set in state changes.
	IP         string `json:"ip,omitempty"`
	Target     string `json:"target,omitempty"`
	Before     string `json:"before,omitempty"`
	State      string `json:"state,omitempty"`
	Why        string `json:"why,omitempty"`
	Controller string `json:"controller,omitempty"`
	Sure       bool   `json:"sure,omitempty"` // in FlowsKnown: the relay knows all flows of its target
}

// Messages of the lines about state changes. Other packages write them, except LinesLeftOut.
const (
	// ZoneReach marks that relays outside the availability zone of an entry VM do not answer any more, or answer again.
	ZoneReach     = "reach of other availability zones changed"
	ConfigInForce = "configuration in force"
	// EvacuationsInForce and EvacuationsCommitted mark new evacuations of availability zones at a process and at a
	// controller.
	EvacuationsInForce   = "evacuations in force"
	EvacuationsCommitted = "evacuations committed"
	ConfigCommitted      = "configuration committed"
	TargetState          = "state of the target"
	FlowsKnown           = "whether all flows of the target are known"
	ControllerLost       = "a controller does not answer"
	ControllerBack       = "a controller answers again"
	Started              = "started"
	Stopping             = "stopping"
	// LinesLeftOut reports decisions above a limit, see Log.Record.
	LinesLeftOut = "decisions left out of the log"
)

// ParseLine parses a log line. Text before the JSON object, such as a file name, is skipped. It returns false
// for anything but a log line.
func ParseLine(text []byte) (*Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	l := &Line{}
	if err := json.Unmarshal(text[start:], l); err != nil || l.Message == "" {
		return nil, false
	}
	return l, true
}

// Is reports whether the line is a decision of this kind.
func (l *Line) Is(k Kind) bool { return l.Flow != "" && l.Kind == k.String() }
