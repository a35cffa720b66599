package gossip

import (
	"github.com/cicadahall/cicadahall/internal/wirepb"
	"github.com/cicadahall/cicadahall/member"
)

// ToWire converts records for the status of a node.
func ToWire(records []member.Record) []*wirepb.Record {
	return toWire(records)
}
