package event

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// WriteText writes the notes and then one line for each record. Notes state what
// the timeline lacks, such as the events of a node that did not answer.
func WriteText(w io.Writer, records []Record, notes ...string) error {
	b := bufio.NewWriter(w)
	for _, n := range notes {
		fmt.Fprintf(b, "# %s\n", n)
	}
	width := 0
	for _, r := range records {
		width = max(width, len(r.Node))
	}
	for _, r := range records {
		k, _ := Lookup(r.Code)
		stamp := r.Time.Physical().Format(timeFormat)
		fmt.Fprintf(b, "%s+%d %-*s %-5s %4d %s", stamp, r.Time.Logical, width, r.Node, k.Level, r.Code, r.Code)
		for _, f := range r.Fields {
			fmt.Fprintf(b, " %s=%s", f.Name, quote(f.Value))
		}
		b.WriteByte('\n') //nolint:errcheck // Flush returns the error
	}
	return b.Flush()
}

// quote returns the value, in quotes if a line would be ambiguous without them.
func quote(v string) string {
	for _, c := range v {
		if c <= ' ' || c == '=' || c == '"' || !strconv.IsPrint(c) {
			return strconv.Quote(v)
		}
	}
	if v == "" {
		return `""`
	}
	return v
}
