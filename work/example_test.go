package work_test

import (
	"fmt"
	"os"
	"time"

	"github.com/cicadahall/cicadahall/work"
)

// Two snapshots of one node merge into a report that counts each request once.
func ExampleReport() {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	ledger := work.NewLedger(work.LedgerOptions{Node: "counter-1", Start: 7}, now)
	key := work.Key{Service: "counter", Version: "v1", Route: "lessons", Caller: "portal"}
	ledger.Record(work.RequestWork{Key: key, Outcome: work.Ran, Busy: 12 * time.Millisecond, Bytes: 800})
	first := ledger.Snapshot(now.Add(time.Second))
	ledger.Record(work.RequestWork{Key: key, Outcome: work.Failed, Busy: 3 * time.Millisecond, Bytes: 90})
	second := ledger.Snapshot(now.Add(2 * time.Second))

	if err := work.NewReport(second, first, second).WriteText(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// SERVICE  VERSION  ROUTE    CALLER  RAN  FAILED  UNKNOWN  REFUSED  BUSY  BYTES
	// counter  v1       lessons  portal  1    1       0        0        15ms  890
	//
	// node starts: 1, gaps: 1
	// node counter-1 start 7: work after 2026-12-04T10:00:02Z is not included
}
