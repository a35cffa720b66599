package fleet

import (
	"encoding/json"

	"github.com/cicadahall/cicadahall/store"
)

// replica is a node's copy of one table of the store: for each key the newest
// version seen, including removals. All versions come from one counter, so a
// stale or late read never reverts a row.
type replica struct {
	byKey map[string]store.Change
	// newestVersion is the highest version of any row.
	newestVersion uint64
	// encoded caches results of encode by the version after which they begin.
	// Most nodes ask for the same: what is newer than the previous change.
	encoded map[uint64][]byte
}

// maxEncoded bounds the cached encodings of one state of the replica.
const maxEncoded = 4

func newReplica() *replica {
	return &replica{byKey: map[string]store.Change{}}
}

// apply merges changes and returns the rows that they updated. An unreadable row
// keeps its last readable state.
func (rp *replica) apply(changes store.Changes) []store.Change {
	var updated []store.Change
	listed := map[string]bool{}
	for _, row := range changes.Rows {
		listed[row.Key] = true
		if row.Version > rp.byKey[row.Key].Version {
			rp.set(row)
			updated = append(updated, row)
		}
	}
	complete := changes.Complete
	for _, row := range changes.Unreadable {
		listed[row.Key] = true
		// A row without a key may be any of those that aren't listed.
		complete = complete && row.Key != ""
	}
	if !complete {
		return updated
	}
	for k, row := range rp.byKey {
		if !listed[k] && !row.Deleted && row.Version <= changes.Version && changes.Version >= rp.newestVersion {
			row.Deleted = true
			row.Value = nil
			rp.byKey[k] = row
			rp.encoded = nil
			updated = append(updated, row)
		}
	}
	return updated
}

func (rp *replica) set(row store.Change) {
	rp.byKey[row.Key] = row
	rp.encoded = nil
	rp.newestVersion = max(rp.newestVersion, row.Version)
}

// replicaRow is a row as exchanged between nodes.
type replicaRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Gone    bool   `json:"gone,omitempty"`
}

// encode returns the rows that are newer than a version, in the format for other
// nodes. A small change thus doesn't carry a large configuration along.
func (rp *replica) encode(after uint64) ([]byte, error) {
	if body, ok := rp.encoded[after]; ok {
		return body, nil
	}
	out := []replicaRow{}
	for _, row := range rp.byKey {
		if row.Version > after {
			out = append(out, replicaRow{Key: row.Key, Value: row.Value, Version: row.Version, Gone: row.Deleted})
		}
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, err
	}
	if rp.encoded == nil || len(rp.encoded) >= maxEncoded {
		rp.encoded = map[uint64][]byte{}
	}
	rp.encoded[after] = body
	return body, nil
}

// decodeReplica decodes rows that another node has encoded.
func decodeReplica(body []byte) (store.Changes, error) {
	var in []replicaRow
	if err := json.Unmarshal(body, &in); err != nil {
		return store.Changes{}, err
	}
	var out store.Changes
	for _, row := range in {
		out.Rows = append(out.Rows, store.Change{
			Row:     store.Row{Key: row.Key, Value: row.Value, Version: row.Version},
			Deleted: row.Gone,
		})
		out.Version = max(out.Version, row.Version)
	}
	return out, nil
}
