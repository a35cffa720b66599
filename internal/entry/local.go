package entry

import (
	"context"

	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// Local is the exit of the same node. Both fields are required.
type Local struct {
	Call    func(ctx context.Context, q *wirepb.CallRequest) *wirepb.CallResponse
	Resolve func(ctx context.Context, r *wirepb.ResolveRequest) *wirepb.CallResponse
}

// run sends a request to the own exit without a second hop. A caller that
// goes away aborts the request, as it does on another node.
func (l Local) run(ctx context.Context, m *wirepb.CallRequest) *wirepb.CallResponse {
	a := l.Call(ctx, m)
	if ctx.Err() != nil {
		l.Resolve(context.WithoutCancel(ctx), &wirepb.ResolveRequest{
			Id:            m.GetId(),
			Start:         m.GetStart(),
			DeadlineNanos: m.GetDeadlineNanos(),
			Abort:         true,
		})
	}
	return a
}
