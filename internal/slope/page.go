package slope

import (
	"errors"
	"strings"

	"github.com/samber/oops"
)

const (
	// beginMark and endMark start the marker lines before and after a table of
	// the page. The name of the table and markTail follow.
	beginMark = "<!-- table:"
	endMark   = "<!-- end:"
	markTail  = " -->"
)

// ErrMarker reports a page whose markers don't enclose each table exactly once.
var ErrMarker = errors.New("markers of the page don't match the tables")

// Fill returns the page with the text between the markers of each table
// replaced. Text outside the markers is kept. A table without markers is an
// error. So are markers without a table, unless partial is set, in which case
// the text between them is kept. The error is ErrMarker.
func Fill(page string, tables map[string]string, partial bool) (string, error) {
	var out []string
	current := ""
	seen := map[string]bool{}
	for _, line := range strings.Split(page, "\n") {
		if name, ok := parseMarker(line, beginMark); ok {
			table, hasTable := tables[name]
			if current != "" || seen[name] || !hasTable && !partial {
				return "", markerError(name, "begins inside another table, begins twice or has no table")
			}
			current = name
			seen[name] = true
			out = append(out, line)
			if hasTable {
				out = append(out, strings.TrimRight(table, "\n"))
			}
			continue
		}
		if name, ok := parseMarker(line, endMark); ok {
			if name != current {
				return "", markerError(name, "ends without a matching begin marker")
			}
			current = ""
		}
		if _, hasTable := tables[current]; current == "" || !hasTable {
			out = append(out, line)
		}
	}
	if current != "" {
		return "", markerError(current, "has no end marker")
	}
	for name := range tables {
		if !seen[name] {
			return "", markerError(name, "isn't on the page")
		}
	}
	return strings.Join(out, "\n"), nil
}

func parseMarker(line, mark string) (string, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, mark) || !strings.HasSuffix(line, markTail) {
		return "", false
	}
	return strings.TrimSuffix(strings.TrimPrefix(line, mark), markTail), true
}

func markerError(name, problem string) error {
	return oops.In("slope").With("step", "fill page", "marker", name).Wrapf(ErrMarker, "%s: %s", name, problem)
}
