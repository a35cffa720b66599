package work

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// reportRowJSON is one row of a report with named fields.
type reportRowJSON struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Route   string `json:"route"`
	Caller  string `json:"caller"`
	Counts
}

// reportJSON is the JSON form of a report. Busy times are in nanoseconds.
type reportJSON struct {
	Format int             `json:"format"`
	Runs   int             `json:"runs"`
	Rows   []reportRowJSON `json:"rows"`
	Gaps   []Gap           `json:"gaps"`
}

// MarshalJSON encodes the sums and the gaps.
func (r *Report) MarshalJSON() ([]byte, error) {
	out := reportJSON{Format: formatVersion, Runs: len(r.latest), Rows: []reportRowJSON{}, Gaps: r.Gaps()}
	for _, row := range r.Rows() {
		out.Rows = append(out.Rows, reportRowJSON{
			Service: string(row.Key.Service),
			Version: string(row.Key.Version),
			Route:   string(row.Key.Route),
			Caller:  string(row.Key.Caller),
			Counts:  row.Counts,
		})
	}
	return json.Marshal(out)
}

// WriteText writes the sums as a table, then the gaps, one per line.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tVERSION\tROUTE\tCALLER\tRAN\tFAILED\tUNKNOWN\tREFUSED\tBUSY\tBYTES")
	for _, row := range r.Rows() {
		k, c := row.Key, row.Counts
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%d\n",
			k.Service, k.Version, dash(string(k.Route)), dash(string(k.Caller)),
			c.Ran, c.Failed, c.Unknown, c.Refused, c.Busy.Round(time.Millisecond), c.Bytes)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	gaps := r.Gaps()
	if _, err := fmt.Fprintf(out, "\nnode starts: %d, gaps: %d\n", len(r.latest), len(gaps)); err != nil {
		return err
	}
	for _, g := range gaps {
		if _, err := fmt.Fprintln(out, g.String()); err != nil {
			return err
		}
	}
	return nil
}

// String describes the gap for operators.
func (g Gap) String() string {
	switch g.Kind {
	case Open:
		return fmt.Sprintf("node %s start %d: work after %s is not included", g.Node, g.Start, g.MissingAfter.Format(time.RFC3339Nano))
	case Missing:
		return fmt.Sprintf("node %s start %d: nothing is known of its work", g.Node, g.Start)
	default:
		return fmt.Sprintf("row %s can't be read: its work is not included", g.Row)
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
