package capacity

import (
	"strings"

	"github.com/cockroachdb/errors"
)

func beginMarker(name string) string { return "<!-- capacity:" + name + " begin -->" }

func endMarker(name string) string { return "<!-- capacity:" + name + " end -->" }

// ReplaceBetweenMarkers replaces the lines between the begin and end markers of a name, and nothing else.
// It is an error if the page does not have exactly one such pair, in this order.
func ReplaceBetweenMarkers(page, name, content string) (string, error) {
	begin, end := beginMarker(name), endMarker(name)
	if strings.Count(page, begin) != 1 || strings.Count(page, end) != 1 {
		return "", errors.Newf("the page needs exactly one pair of markers for %q", name)
	}
	from := strings.Index(page, begin) + len(begin)
	to := strings.Index(page, end)
	if to < from {
		return "", errors.Newf("the end marker of %q comes before its begin marker", name)
	}
	return page[:from] + "\n\n" + strings.TrimSpace(content) + "\n\n" + page[to:], nil
}
