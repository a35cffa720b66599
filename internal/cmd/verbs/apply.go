package verbs

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/cicadahall/cicadahall/config"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/peer"
	"github.com/cicadahall/cicadahall/internal/plat"
	"github.com/cicadahall/cicadahall/internal/spec"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

const (
	// storeLimit bounds all calls to the platform of one command.
	storeLimit = 20 * time.Second
	// statusLimit bounds one question to a node.
	statusLimit = 2 * time.Second
	// pollInterval is the pause between two looks at a state that is waited for.
	pollInterval = 200 * time.Millisecond
	// statusBody bounds the answer of a node in bytes.
	statusBody = 16 << 20
)

type applyVerb struct {
	s       streams
	Table   string        `long:"table" required:"yes" description:"base URL of the table service"`
	Objects string        `long:"objects" required:"yes" description:"base URL of the object store"`
	Peer    string        `long:"peer" description:"peer address of any node, to wait until the manifest is in force"`
	Seen    int64         `long:"seen" default:"-1" description:"revision that the manifest is based on; by default the current one"`
	Change  string        `long:"change" description:"id of the change; repeat the one of an attempt whose outcome is unknown"`
	Wait    time.Duration `long:"wait" default:"30s" description:"longest wait for the manifest to be in force"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"form of the result"`
	Args    struct {
		Manifest string `positional-arg-name:"MANIFEST" description:"manifest file"`
	} `positional-args:"yes" required:"yes"`
}

// applied is the result of the verb. InForce counts nodes.
type applied struct {
	Outcome  string         `json:"outcome"`
	Revision ident.Revision `json:"revision"`
	Change   ident.Change   `json:"change"`
	InForce  int            `json:"inforce"`
	Nodes    int            `json:"nodes"`
	Error    string         `json:"error,omitempty"`

	digest ident.Digest
}

// Execute publishes a manifest and waits until it is in force.
func (v *applyVerb) Execute([]string) error {
	body, err := os.ReadFile(v.Args.Manifest)
	if err != nil {
		return err
	}
	if _, err := spec.ParseManifest(v.Args.Manifest, body); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeLimit)
	defer cancel()
	a, code, err := v.publish(ctx, body)
	if err == nil && v.Peer != "" {
		code, err = v.await(&a)
	}
	if err != nil {
		a.Error = err.Error()
	}
	v.print(a)
	if err != nil {
		return failure{code: code, err: err}
	}
	return nil
}

// publish moves the head to the manifest.
func (v *applyVerb) publish(ctx context.Context, body []byte) (applied, int, error) {
	change := ident.Change(v.Change)
	p := config.NewPublisher(config.PublisherOptions{
		Table:   plat.NewTable(v.Table),
		Objects: plat.NewObjects(v.Objects),
	})
	if change == "" {
		change = ident.Change(rand.Text())
	} else {
		p.Reopen(change)
	}
	seen, err := v.seen(ctx)
	if err != nil {
		return applied{Outcome: config.Nothing.String(), Change: change}, exitFailed, err
	}
	head, o, err := p.Apply(ctx, change, seen, body)
	a := applied{Outcome: o.String(), Revision: head.Revision, Change: change, digest: head.Digest}
	switch o {
	case config.Accepted:
		return a, exitDone, nil
	case config.Unknown:
		return a, exitUnknown, oops.With("step", "apply", "peer", v.Table).
			Wrapf(err, "outcome unknown: repeat with --change %s --seen %d", change, seen)
	default:
		return a, exitFailed, err
	}
}

// seen returns the revision that the operator has named, or the current one.
func (v *applyVerb) seen(ctx context.Context) (ident.Revision, error) {
	if v.Seen >= 0 {
		return ident.Revision(v.Seen), nil
	}
	row, r := plat.NewTable(v.Table).Get(ctx, config.HeadKey)
	if !r.OK() {
		return 0, oops.With("step", "read head", "peer", v.Table).Wrapf(r.Err, "nothing was accepted")
	}
	h, err := config.ParseHead(row.Value)
	return h.Revision, err
}

// errNotInForce reports an accepted manifest that isn't in force everywhere.
var errNotInForce = errors.New("accepted, but not in force everywhere within the wait")

// await counts the nodes that have adopted the revision.
func (v *applyVerb) await(a *applied) (int, error) {
	pool := peer.NewPool(peer.Options{Body: statusBody})
	defer pool.Close()
	end := time.Now().Add(v.Wait)
	v.tell(pool, a)
	for {
		if s, err := askStatus(pool, v.Peer); err == nil {
			v.count(a, pool, s)
		}
		if a.Nodes > 0 && a.InForce == a.Nodes {
			return exitDone, nil
		}
		if time.Now().After(end) {
			return exitUnknown, oops.With("step", "wait", "peer", v.Peer).Wrap(errNotInForce)
		}
		time.Sleep(pollInterval)
	}
}

// tell hands the accepted head to the node, so that gossip starts at once. A
// node that misses it reads the head from the store within seconds.
func (v *applyVerb) tell(pool *peer.Pool, a *applied) {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	head := &wirepb.Head{Revision: uint64(a.Revision), Digest: string(a.digest), Change: string(a.Change)}
	_, _ = pool.Client(v.Peer).Share(ctx, &wirepb.ShareRequest{Head: head})
}

func askStatus(pool *peer.Pool, address string) (*wirepb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	s, err := pool.Client(address).Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		return nil, oops.With("step", "status", "peer", address).Wrap(err)
	}
	return s, nil
}

// count updates the result and shows progress when the count changes.
func (v *applyVerb) count(a *applied, pool *peer.Pool, s *wirepb.StatusResponse) {
	force, nodes := inForce(pool, s, a.Revision)
	if force != a.InForce || nodes != a.Nodes {
		fmt.Fprintf(v.s.err, "revision %d in force at %d of %d nodes\n", a.Revision, force, nodes)
	}
	a.InForce, a.Nodes = force, nodes
}

func (v *applyVerb) print(a applied) {
	if v.Output == "json" {
		_ = json.NewEncoder(v.s.out).Encode(a)
		return
	}
	fmt.Fprintf(v.s.out, "%s: revision %d, change %s, in force at %d of %d nodes\n",
		a.Outcome, a.Revision, a.Change, a.InForce, a.Nodes)
}
