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
	// storeTimeout limits the total time of a command's calls to the platform.
	storeTimeout = 20 * time.Second
	// statusTimeout limits one call to a node.
	statusTimeout = 2 * time.Second
	// pollInterval is the pause between two polls of a state to wait for.
	pollInterval = 200 * time.Millisecond
	// maxStatusBytes limits the response of a node.
	maxStatusBytes = 16 << 20
)

type applyCommand struct {
	streams streams
	Table   string        `long:"table" required:"yes" description:"base URL of the table service"`
	Objects string        `long:"objects" required:"yes" description:"base URL of the object store"`
	Peer    string        `long:"peer" description:"peer address of any node; if set, wait until the manifest is in force"`
	Seen    int64         `long:"seen" default:"-1" description:"revision that the manifest is based on; a negative value means the current one"`
	Change  string        `long:"change" description:"id of the change; to repeat an attempt whose outcome is unknown, use its id"`
	Wait    time.Duration `long:"wait" default:"30s" description:"maximum time to wait until the manifest is in force"`
	Output  string        `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
	Args    struct {
		Manifest string `positional-arg-name:"MANIFEST" description:"manifest file"`
	} `positional-args:"yes" required:"yes"`
}

// applyResult is the result of the apply command. InForce is the number of nodes
// that serve with the revision, Nodes that of all reachable nodes.
type applyResult struct {
	Outcome  string         `json:"outcome"`
	Revision ident.Revision `json:"revision"`
	Change   ident.Change   `json:"change"`
	InForce  int            `json:"inforce"`
	Nodes    int            `json:"nodes"`
	Error    string         `json:"error,omitempty"`

	digest ident.Digest
}

// Execute publishes a manifest and, with --peer, waits until it is in force.
func (v *applyCommand) Execute([]string) error {
	body, err := os.ReadFile(v.Args.Manifest)
	if err != nil {
		return err
	}
	if _, err := spec.ParseManifest(v.Args.Manifest, body); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	a, code, err := v.publish(ctx, body)
	if err == nil && v.Peer != "" {
		code, err = v.waitInForce(&a)
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

// publish stores the manifest and makes it the current revision. It returns the
// result and the exit code.
func (v *applyCommand) publish(ctx context.Context, body []byte) (applyResult, int, error) {
	change := ident.Change(v.Change)
	p := config.NewPublisher(config.PublisherOptions{
		Table:   plat.NewTable(v.Table),
		Objects: plat.NewObjects(v.Objects),
	})
	if change == "" {
		change = ident.Change(rand.Text())
	} else {
		p.MarkUnresolved(change)
	}
	base, err := v.baseRevision(ctx)
	if err != nil {
		return applyResult{Outcome: config.NotAccepted.String(), Change: change}, exitFailed, err
	}
	head, o, err := p.Apply(ctx, change, base, body)
	a := applyResult{Outcome: o.String(), Revision: head.Revision, Change: change, digest: head.Digest}
	switch o {
	case config.Accepted:
		return a, exitDone, nil
	case config.Unknown:
		return a, exitUnknown, oops.With("step", "apply", "peer", v.Table).
			Wrapf(err, "outcome unknown: repeat with --change %s --seen %d", change, base)
	default:
		return a, exitFailed, err
	}
}

// baseRevision returns the revision of --seen, or the current one if that is
// negative.
func (v *applyCommand) baseRevision(ctx context.Context) (ident.Revision, error) {
	if v.Seen >= 0 {
		return ident.Revision(v.Seen), nil
	}
	row, r := plat.NewTable(v.Table).Get(ctx, config.HeadKey)
	if !r.OK() {
		return 0, oops.With("step", "read head", "peer", v.Table).Wrapf(r.Err, "manifest was not published")
	}
	h, err := config.ParseHead(row.Value)
	return h.Revision, err
}

// errNotInForce is returned if the accepted manifest isn't in force at all nodes
// within the time of --wait.
var errNotInForce = errors.New("accepted, but not in force everywhere within the wait")

// waitInForce waits until all reachable nodes serve with the revision and returns
// the exit code.
func (v *applyCommand) waitInForce(a *applyResult) (int, error) {
	pool := peer.NewPool(peer.Options{MaxControlBytes: maxStatusBytes})
	defer pool.Close()
	deadline := time.Now().Add(v.Wait)
	v.sendHead(pool, a)
	for {
		if s, err := fetchStatus(pool, v.Peer); err == nil {
			v.updateCounts(a, pool, s)
		}
		if a.Nodes > 0 && a.InForce == a.Nodes {
			return exitDone, nil
		}
		if time.Now().After(deadline) {
			return exitUnknown, oops.With("step", "wait", "peer", v.Peer).Wrap(errNotInForce)
		}
		time.Sleep(pollInterval)
	}
}

// sendHead sends the accepted head to the node of --peer, which spreads it by
// gossip at once. Errors are ignored, because nodes also read the head from the
// store within seconds.
func (v *applyCommand) sendHead(pool *peer.Pool, a *applyResult) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	head := &wirepb.Head{Revision: uint64(a.Revision), Digest: string(a.digest), Change: string(a.Change)}
	_, _ = pool.ControlClient(v.Peer).Share(ctx, &wirepb.ShareRequest{Head: head})
}

func fetchStatus(pool *peer.Pool, address string) (*wirepb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := pool.ControlClient(address).Status(ctx, &wirepb.StatusRequest{})
	if err != nil {
		return nil, oops.With("step", "status", "peer", address).Wrap(err)
	}
	return s, nil
}

// updateCounts updates the node counts of the result and prints them if they have
// changed.
func (v *applyCommand) updateCounts(a *applyResult, pool *peer.Pool, s *wirepb.StatusResponse) {
	adopted, nodes := countInForce(pool, s, a.Revision)
	if adopted != a.InForce || nodes != a.Nodes {
		fmt.Fprintf(v.streams.err, "revision %d in force at %d of %d nodes\n", a.Revision, adopted, nodes)
	}
	a.InForce, a.Nodes = adopted, nodes
}

func (v *applyCommand) print(a applyResult) {
	if v.Output == "json" {
		_ = json.NewEncoder(v.streams.out).Encode(a)
		return
	}
	fmt.Fprintf(v.streams.out, "%s: revision %d, change %s, in force at %d of %d nodes\n",
		a.Outcome, a.Revision, a.Change, a.InForce, a.Nodes)
}
