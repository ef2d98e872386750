package catalog

import (
	"bytes"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// MaxRevisions is the number of configuration revisions that can be shown and rolled back to.
const MaxRevisions = 1000

// RevisionInfo describes an accepted revision.
type RevisionInfo struct {
	Revision  model.Revision
	CommandID string
	Kind      Kind
	Author    string
	Time      time.Time
	// Source is the revision whose document a rollback restored, else 0.
	Source     model.Revision
	Generation model.Generation
}

// record is a revision with what is needed to get its text from that of the next one.
type record struct {
	Info RevisionInfo
	// The text shares Prefix bytes at the start and Suffix bytes at the end with the text of the
	// next revision, and has Middle between them.
	Prefix, Suffix int
	Middle         []byte // compressed
}

// history keeps the newest text whole and older ones as differences. At the target size a
// document has about 600 KB, so 1,000 whole texts would take 600 MB.
type history struct {
	Records []record // oldest first; the last one has no difference
	Text    []byte   // of the last record
}

func (h *history) revision() model.Revision {
	if len(h.Records) == 0 {
		return 0
	}
	return h.Records[len(h.Records)-1].Info.Revision
}

// trace returns the trace ID of the change that led to the last revision.
func (h *history) trace() model.TraceID {
	if len(h.Records) == 0 {
		return ""
	}
	return model.TraceOf(h.Records[len(h.Records)-1].Info.CommandID)
}

// changedAfter reports whether the last revision is later than a generation.
func (h *history) changedAfter(g model.Generation) bool {
	return len(h.Records) > 0 && h.Records[len(h.Records)-1].Info.Generation > g
}

func (h *history) add(info RevisionInfo, text []byte) {
	if n := len(h.Records); n > 0 {
		last := &h.Records[n-1]
		last.Prefix, last.Suffix = common(h.Text, text)
		last.Middle = Compress(h.Text[last.Prefix : len(h.Text)-last.Suffix])
	}
	h.Records = append(h.Records, record{Info: info})
	h.Text = bytes.Clone(text)
	if excess := len(h.Records) - MaxRevisions; excess > 0 {
		h.Records = append([]record(nil), h.Records[excess:]...)
	}
}

// text returns the document of a revision, or false if it is not kept.
func (h *history) text(revision model.Revision) ([]byte, bool) {
	if len(h.Records) == 0 || revision < h.Records[0].Info.Revision || revision > h.revision() {
		return nil, false
	}
	text := h.Text
	for i := len(h.Records) - 2; i >= 0 && h.Records[i].Info.Revision >= revision; i-- {
		older := &h.Records[i]
		middle, err := Decompress(older.Middle)
		if err != nil {
			return nil, false
		}
		text = bytes.Join([][]byte{text[:older.Prefix], middle, text[len(text)-older.Suffix:]}, nil)
	}
	return bytes.Clone(text), true
}

// common returns the length of the shared start and of the shared end, which do not overlap in
// either text.
func common(a, b []byte) (prefix, suffix int) {
	limit := min(len(a), len(b))
	for prefix < limit && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < limit-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}
