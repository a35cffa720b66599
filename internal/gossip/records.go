package gossip

import (
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// RecordsToWire converts records to the wire form used in the status of a node.
func RecordsToWire(records []member.Record) []*wirepb.Record {
	return recordsToWire(records)
}
