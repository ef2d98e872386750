package decision

import (
	"bytes"
	"encoding/json"
	"time"
)

// Line is a log line of a process of the datagram path, as far as it helps to explain what happened to a
// flow: a decision on one, or a change of what the process believes.
type Line struct {
	Time      time.Time `json:"time"`
	Process   string    `json:"process"`
	Component string    `json:"component"`
	Message   string    `json:"message"`

	// Of decisions.
	Kind      string `json:"kind,omitempty"`
	Flow      string `json:"flow,omitempty"`
	Seq       uint32 `json:"seq,omitempty"`
	Relay     string `json:"relay,omitempty"` // its address, or its name in lines of controllers
	Version   uint64 `json:"version,omitempty"`
	ListAgeMS int64  `json:"list_age_ms,omitempty"`
	Busy      uint16 `json:"busy,omitempty"`
	Slots     uint16 `json:"slots,omitempty"`
	Tries     int    `json:"tries,omitempty"`
	TookUS    int64  `json:"took_us,omitempty"`
	Code      string `json:"code,omitempty"`
	LeftOut   uint64 `json:"lines,omitempty"` // in the lines about what was left out

	// Of changes of belief.
	IP         string `json:"ip,omitempty"`
	Target     string `json:"target,omitempty"`
	Before     string `json:"before,omitempty"`
	State      string `json:"state,omitempty"`
	Why        string `json:"why,omitempty"`
	Controller string `json:"controller,omitempty"`
	Sure       bool   `json:"sure,omitempty"` // a relay knows all flows of its target
}

// Messages of lines that others than this package write.
const (
	ConfigInForce   = "configuration in force"
	ConfigCommitted = "configuration committed"
	TargetState     = "state of the target"
	FlowsKnown      = "whether all flows of the target are known"
	ControllerLost  = "a controller does not answer"
	ControllerBack  = "a controller answers again"
	Started         = "started"
	Stopping        = "stopping"
	// LinesLeftOut is written by this package.
	LinesLeftOut = "decisions left out of the log"
)

// ParseLine reads a log line. Text before the JSON object, such as the name of a file, is skipped. It
// reports false for anything else than a log line.
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

// Is reports whether the line tells a decision of a kind.
func (l *Line) Is(k Kind) bool { return l.Flow != "" && l.Kind == k.String() }
