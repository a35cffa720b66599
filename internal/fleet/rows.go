package fleet

import (
	"encoding/json"

	"github.com/cicadahall/cicadahall/store"
)

// rows is what a node knows of one table of the store: for each key the newest
// version that it has seen, removals included. Versions come from one counter,
// so that reads that are stale or arrive late never take a row back.
type rows struct {
	byKey map[string]store.Change
	// newest is the highest version of any row.
	newest uint64
}

func newRows() *rows {
	return &rows{byKey: map[string]store.Change{}}
}

// apply takes changes and returns those that are news.
func (r *rows) apply(c store.Changes) []store.Change {
	var news []store.Change
	listed := map[string]bool{}
	for _, one := range c.Rows {
		listed[one.Key] = true
		if one.Version > r.byKey[one.Key].Version {
			r.set(one)
			news = append(news, one)
		}
	}
	if !c.Whole {
		return news
	}
	for k, one := range r.byKey {
		if !listed[k] && !one.Gone && one.Version <= c.Version && c.Version >= r.newest {
			one.Gone = true
			one.Value = nil
			r.byKey[k] = one
			news = append(news, one)
		}
	}
	return news
}

func (r *rows) set(c store.Change) {
	r.byKey[c.Key] = c
	r.newest = max(r.newest, c.Version)
}

// copied is a row as nodes pass it on.
type copied struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Gone    bool   `json:"gone,omitempty"`
}

// encode returns all rows for another node.
func (r *rows) encode() ([]byte, error) {
	out := make([]copied, 0, len(r.byKey))
	for _, c := range r.byKey {
		out = append(out, copied{Key: c.Key, Value: c.Value, Version: c.Version, Gone: c.Gone})
	}
	return json.Marshal(out)
}

// decodeRows reads the rows that another node has passed on.
func decodeRows(body []byte) (store.Changes, error) {
	var in []copied
	if err := json.Unmarshal(body, &in); err != nil {
		return store.Changes{}, err
	}
	var out store.Changes
	for _, c := range in {
		out.Rows = append(out.Rows, store.Change{
			Row:  store.Row{Key: c.Key, Value: c.Value, Version: c.Version},
			Gone: c.Gone,
		})
		out.Version = max(out.Version, c.Version)
	}
	return out, nil
}
