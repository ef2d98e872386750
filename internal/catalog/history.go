package catalog

import (
	"bytes"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// MaxRevisions is the number of revisions that are kept, and can be shown and rolled back to.
const MaxRevisions = 1000

// RevisionInfo describes an accepted revision.
type RevisionInfo struct {
	Revision  model.Revision
	CommandID string
	Kind      Kind
	Author    string
	Time      time.Time
	// Source is the revision that a rollback restored, or 0 for other kinds.
	Source     model.Revision
	Generation model.Generation
}

// record is a revision with the difference that turns the text of the next revision into its own.
type record struct {
	Info RevisionInfo
	// The text is the first Prefix bytes of the next revision's text, then Middle, then the last
	// Suffix bytes of the next revision's text.
	Prefix, Suffix int
	Middle         []byte // compressed
}

// history keeps the text of the last revision whole, and older texts as differences to the next revision.
// A document of 4,100 VMs has about 600 KB, so MaxRevisions whole texts would take 600 MB.
type history struct {
	Records []record // oldest first; the last one has no difference
	Text    []byte   // text of the last record
}

func (h *history) revision() model.Revision {
	if len(h.Records) == 0 {
		return 0
	}
	return h.Records[len(h.Records)-1].Info.Revision
}

// trace returns the trace ID of the command that created the last revision, or "".
func (h *history) trace() model.TraceID {
	if len(h.Records) == 0 {
		return ""
	}
	return model.TraceOf(h.Records[len(h.Records)-1].Info.CommandID)
}

// changedAfter reports whether the last revision was created after generation g.
func (h *history) changedAfter(g model.Generation) bool {
	return len(h.Records) > 0 && h.Records[len(h.Records)-1].Info.Generation > g
}

// add appends a revision and drops the oldest one beyond MaxRevisions.
func (h *history) add(info RevisionInfo, text []byte) {
	if n := len(h.Records); n > 0 {
		last := &h.Records[n-1]
		last.Prefix, last.Suffix = commonEnds(h.Text, text)
		last.Middle = Compress(h.Text[last.Prefix : len(h.Text)-last.Suffix])
	}
	h.Records = append(h.Records, record{Info: info})
	h.Text = bytes.Clone(text)
	if excess := len(h.Records) - MaxRevisions; excess > 0 {
		h.Records = append([]record(nil), h.Records[excess:]...)
	}
}

// text returns the text of a revision's document, or false if it is no longer kept.
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

// commonEnds returns the lengths of the longest common prefix and of the common suffix after it. They do
// not overlap in either text.
func commonEnds(a, b []byte) (prefix, suffix int) {
	limit := min(len(a), len(b))
	for prefix < limit && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < limit-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}
