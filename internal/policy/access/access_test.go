package access_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/policy/access"
)

func workspace(name string, keys ...string) access.Workspace {
	w := access.Workspace{Name: ident.Workspace(name)}
	for _, k := range keys {
		w.Keys = append(w.Keys, access.NewKey(k))
	}
	return w
}

func newTable(t *testing.T, ws ...access.Workspace) *access.Table {
	table, err := access.New(ws)
	assert.NilError(t, err)
	return table
}

func Example() {
	urgent := 0
	t, err := access.New([]access.Workspace{
		{Name: "acme", Keys: []access.Key{access.NewKey("k1")}, Priority: &urgent},
		{Name: "bolt", Keys: []access.Key{access.NewKey("k2")}},
	})
	fmt.Println(err)
	g, ok := t.Find(access.NewKey("k1"))
	fmt.Println(g.Workspace, g.Priority(2), ok)
	g, ok = t.Find(access.NewKey("k2"))
	fmt.Println(g.Workspace, g.Priority(2), ok)
	_, ok = t.Find(access.NewKey("k3"))
	fmt.Println(ok)
	// Output:
	// <nil>
	// acme 0 true
	// bolt 2 true
	// false
}

// Guards against a key that is found for another workspace than its own, and
// against one that is found although no workspace has it.
func TestFindReturnsOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := rapid.MapOf(rapid.StringN(1, 8, -1), rapid.StringMatching(`w[0-9]{1,2}`)).Draw(t, "owners")
		keys := map[string][]string{}
		for k, w := range owners {
			keys[w] = append(keys[w], k)
		}
		var ws []access.Workspace
		for name, ks := range keys {
			ws = append(ws, workspace(name, ks...))
		}
		table, err := access.New(ws)
		assert.NilError(t, err)
		if table == nil {
			return
		}
		for k, w := range owners {
			g, ok := table.Find(access.NewKey(k))
			assert.Assert(t, ok)
			assert.Equal(t, string(g.Workspace), w)
		}
		other := rapid.String().Draw(t, "other")
		_, known := owners[other]
		_, ok := table.Find(access.NewKey(other))
		assert.Equal(t, ok, known)
	})
}

// Guards against an empty key that opens a workspace, and against a workspace
// without a name, which would count as none.
func TestInvalidWorkspaces(t *testing.T) {
	negative, large := -1, 1<<40
	for name, ws := range map[string][]access.Workspace{
		"empty name":         {workspace("", "k")},
		"empty key":          {workspace("a", "k", "")},
		"shared key":         {workspace("a", "k"), workspace("b", "x", "k")},
		"name listed twice":  {workspace("a", "k"), workspace("b", "l"), workspace("a", "m")},
		"line break in name": {workspace("a\r\nX-Other: 1", "k")},
		"space around name":  {workspace(" a", "k")},
		"long name":          {workspace(strings.Repeat("a", 257), "k")},
		"negative priority":  {{Name: "a", Priority: &negative}},
		"large priority":     {{Name: "a", Priority: &large}},
	} {
		_, err := access.New(ws)
		assert.ErrorIs(t, err, access.ErrInvalidWorkspace, name)
	}
	table := newTable(t, workspace("a", "k", "k"), workspace("none"))
	_, ok := table.Find(access.Key{})
	assert.Assert(t, !ok)
}

// Guards against workspaces that are on without being configured.
func TestNoWorkspaces(t *testing.T) {
	assert.Assert(t, newTable(t) == nil)
	assert.Equal(t, len((*access.Table)(nil).Names()), 0)
	assert.Assert(t, (*access.Table)(nil).Succeed(newTable(t, workspace("a", "k"))) == nil)
}

// Guards against a key, or its digest, in formatted text: an error or a log line
// that holds the value by accident must not disclose it.
func TestKeyIsNotFormatted(t *testing.T) {
	const secret = "sk-4f1c"
	k := access.NewKey(secret)
	raw, err := json.Marshal(k)
	assert.NilError(t, err)
	texts := []string{string(raw), k.String(), errors.Join(fmt.Errorf("key %w", fmt.Errorf("%v", k))).Error()}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%X", "%d"} {
		texts = append(texts, fmt.Sprintf(verb, k), fmt.Sprintf(verb, []access.Key{k}), fmt.Sprintf(verb, workspace("a", secret)))
	}
	digest := sha256.Sum256([]byte(secret))
	forms := []string{secret, k.Digest(), hex.EncodeToString(digest[:4]), fmt.Sprintf("%d %d %d", digest[0], digest[1], digest[2])}
	for _, text := range texts {
		assert.Assert(t, strings.Contains(text, "[key]"), text)
		for _, f := range forms {
			assert.Assert(t, !strings.Contains(strings.ToLower(text), strings.ToLower(f)), text)
		}
	}
}

// Guards against a digest that changes when nodes exchange it, and against text
// that is taken for a digest although it is none.
func TestDigest(t *testing.T) {
	for _, text := range []string{"", "k", strings.Repeat("k", 1000)} {
		k := access.NewKey(text)
		got, err := access.ParseDigest(k.Digest())
		assert.NilError(t, err)
		assert.Assert(t, got == k)
	}
	d := access.NewKey("k").Digest()
	for _, bad := range []string{"k", d[1:], d + "A", d + "=", d[:42] + "_"} {
		_, err := access.ParseDigest(bad)
		assert.ErrorIs(t, err, access.ErrInvalidDigest, bad)
	}
}

// Guards against a withdrawn key whose workspace can't be told any more after the
// next change, against one that counts as withdrawn while it is in force, and
// against former keys that grow with each change.
func TestFormerKeys(t *testing.T) {
	table := newTable(t, workspace("a", "k1", "k2"), workspace("b", "k3"))
	table = newTable(t, workspace("a", "k2"), workspace("b", "k1")).Succeed(table)
	_, former := table.FindFormer(access.NewKey("k1"))
	assert.Assert(t, !former, "the key has moved")
	w, former := table.FindFormer(access.NewKey("k3"))
	assert.Assert(t, former && w == "b")
	table = newTable(t, workspace("a", "k3")).Succeed(table)
	_, former = table.FindFormer(access.NewKey("k3"))
	assert.Assert(t, !former, "the key is back")
	w, former = table.FindFormer(access.NewKey("k1"))
	assert.Assert(t, former && w == "b")
	for i := range 2000 {
		table = newTable(t, workspace("a", fmt.Sprint("n", i))).Succeed(table)
	}
	known := 0
	for i := range 2000 {
		if _, former := table.FindFormer(access.NewKey(fmt.Sprint("n", i))); former {
			known++
		}
	}
	assert.Equal(t, known, 256)
	_, former = table.FindFormer(access.NewKey("n1998"))
	assert.Assert(t, former, "the latest ones are kept")
}

// Measures a look-up with the 82 workspaces of the largest deployment and three
// keys each, and with a hundred times as many keys.
func BenchmarkFind(b *testing.B) {
	for _, count := range []int{82, 8200} {
		var ws []access.Workspace
		for i := range count {
			ws = append(ws, workspace(fmt.Sprint("w", i), fmt.Sprint("k", i), fmt.Sprint("l", i), fmt.Sprint("m", i)))
		}
		table, err := access.New(ws)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("%d keys", 3*count), func(b *testing.B) {
			for b.Loop() {
				table.Find(access.NewKey("k7"))
			}
		})
	}
}
