package gossip

import (
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// ToWire converts records to the wire form used in the status of a node.
func ToWire(records []member.Record) []*wirepb.Record {
	return recordsToWire(records)
}
