package verbs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/event"
	"github.com/cicadahall/cicadahall/internal/gather"
	"github.com/cicadahall/cicadahall/internal/wire/reply"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const timelineHelp = `Merges the events of all nodes and of log files into one timeline.
The list of members is read from the peers, and the events from all members. Nodes that do not answer are listed first.
Exit codes: 0 written, 1 no peer answered or a log could not be read, 2 usage error.

Example: cicadahall timeline --peer 127.0.0.1:7001 --log node.log --format html --out timeline.html`

// maxEventsBytes limits a response, as for all messages between nodes.
const maxEventsBytes = 4 << 20

type timelineCommand struct {
	Peer    []string      `long:"peer" value-name:"ADDR" description:"peer address of a node; may be repeated"`
	Log     []string      `long:"log" value-name:"FILE" description:"log file of a node; may be repeated"`
	Format  string        `long:"format" choice:"text" choice:"html" choice:"json" default:"text" description:"output format"`
	Out     string        `long:"out" value-name:"FILE" description:"file to write to instead of standard output"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"timeout of one call to a node"`

	streams streams
}

// Execute collects and merges the events and writes the timeline.
func (v *timelineCommand) Execute([]string) error {
	if len(v.Peer) == 0 && len(v.Log) == 0 {
		return failure{code: exitUsage, err: fmt.Errorf("give at least one --peer or --log")}
	}
	records, notes, err := v.readLogs()
	if err != nil {
		return failure{code: exitFailed, err: err}
	}
	var peerErr error
	if len(v.Peer) > 0 {
		var r gather.Result
		r, peerErr = newCollector(v.Timeout).Collect(context.Background(), v.Peer)
		records = append(records, r.Records...)
		notes = append(notes, r.Missing...)
	}
	if err := v.save(event.Merge(records), notes); err != nil {
		return failure{code: exitFailed, err: err}
	}
	if peerErr != nil {
		return failure{code: exitFailed, err: oops.Wrapf(peerErr, "collect events")}
	}
	return nil
}

func (v *timelineCommand) readLogs() (records []event.Record, notes []string, err error) {
	for _, name := range v.Log {
		logRecords, otherLines, err := readLog(name)
		if err != nil {
			return nil, nil, oops.Wrapf(err, "read log %s", name)
		}
		records = append(records, logRecords...)
		if otherLines > 0 {
			notes = append(notes, fmt.Sprintf("log %s: lines that are not events: %d", name, otherLines))
		}
	}
	return records, notes, nil
}

func readLog(name string) ([]event.Record, int, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close() //nolint:errcheck // nothing was written
	return gather.ReadLog(f)
}

// save writes the timeline to the file of --out or to standard output.
func (v *timelineCommand) save(records []event.Record, notes []string) error {
	if v.Out == "" {
		return v.write(v.streams.out, records, notes)
	}
	f, err := os.Create(v.Out)
	if err != nil {
		return oops.Wrapf(err, "write timeline")
	}
	if err := v.write(f, records, notes); err != nil {
		_ = f.Close() // the write error is returned instead
		return oops.Wrapf(err, "write timeline %s", v.Out)
	}
	if err := f.Close(); err != nil {
		return oops.Wrapf(err, "close timeline %s", v.Out)
	}
	fmt.Fprintf(v.streams.out, "%s: %d events\n", v.Out, len(records))
	for _, n := range notes {
		fmt.Fprintln(v.streams.err, n)
	}
	return nil
}

// timelineJSON is the JSON form of a timeline.
type timelineJSON struct {
	Notes  []string       `json:"notes"`
	Events []event.Record `json:"events"`
}

func (v *timelineCommand) write(w io.Writer, records []event.Record, notes []string) error {
	switch v.Format {
	case "html":
		return event.WriteHTML(w, records, notes...)
	case "json":
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(timelineJSON{
			Notes:  append([]string{}, notes...),
			Events: append([]event.Record{}, records...),
		})
	}
	return event.WriteText(w, records, notes...)
}

// newCollector returns a collector that calls nodes over HTTP/1.1.
func newCollector(timeout time.Duration) *gather.Collector {
	client := &http.Client{Transport: reply.NewTransport(&http.Transport{MaxIdleConnsPerHost: 1})}
	dial := func(address string) wirepb.PeerClient {
		return wirepb.NewPeerClient(client, "http://"+address, connect.WithReadMaxBytes(maxEventsBytes))
	}
	return &gather.Collector{
		Timeout: timeout,
		Status: func(ctx context.Context, address string) (*wirepb.StatusResponse, error) {
			return dial(address).Status(ctx, &wirepb.StatusRequest{})
		},
		Events: func(ctx context.Context, address string, r *wirepb.EventsRequest) (*wirepb.EventsResponse, error) {
			return dial(address).Events(ctx, r)
		},
	}
}
