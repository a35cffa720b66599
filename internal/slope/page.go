package slope

import (
	"errors"
	"strings"

	"github.com/samber/oops"
)

const (
	// openMark and endMark enclose the lines of one table on the page.
	openMark = "<!-- table:"
	endMark  = "<!-- end:"
	markTail = " -->"
)

// ErrMarker reports a page whose markers don't enclose each table exactly once.
var ErrMarker = errors.New("markers of the page don't match the tables")

// Fill replaces the text between the markers of each table. Text outside the
// markers stays as it is. A table without markers is an error, and so are
// markers without a table, unless partial is set: then they keep their text.
func Fill(page string, tables map[string]string, partial bool) (string, error) {
	var out []string
	inside := ""
	seen := map[string]bool{}
	for _, line := range strings.Split(page, "\n") {
		if name, ok := marked(line, openMark); ok {
			table, known := tables[name]
			if inside != "" || seen[name] || !known && !partial {
				return "", markerError(name, "opened inside another, twice or without a table")
			}
			inside = name
			seen[name] = true
			out = append(out, line)
			if known {
				out = append(out, strings.TrimRight(table, "\n"))
			}
			continue
		}
		if name, ok := marked(line, endMark); ok {
			if name != inside {
				return "", markerError(name, "ended without being open")
			}
			inside = ""
		}
		if _, known := tables[inside]; inside == "" || !known {
			out = append(out, line)
		}
	}
	if inside != "" {
		return "", markerError(inside, "not ended")
	}
	for name := range tables {
		if !seen[name] {
			return "", markerError(name, "not on the page")
		}
	}
	return strings.Join(out, "\n"), nil
}

func marked(line, mark string) (string, bool) {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, mark) || !strings.HasSuffix(line, markTail) {
		return "", false
	}
	return strings.TrimSuffix(strings.TrimPrefix(line, mark), markTail), true
}

func markerError(name, problem string) error {
	return oops.In("slope").With("step", "fill page", "marker", name).Wrapf(ErrMarker, "%s: %s", name, problem)
}
