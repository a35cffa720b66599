package entry

import (
	"context"

	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// Local calls the exit of the same node. Both fields are required.
type Local struct {
	Call    func(ctx context.Context, req *wirepb.CallRequest) *wirepb.CallResponse
	Resolve func(ctx context.Context, r *wirepb.ResolveRequest) *wirepb.CallResponse
}

// run sends a request to the exit of the same node without a network hop. As on
// another node, the end of ctx aborts the request.
func (l Local) run(ctx context.Context, req *wirepb.CallRequest) *wirepb.CallResponse {
	resp := l.Call(ctx, req)
	if ctx.Err() != nil {
		l.Resolve(context.WithoutCancel(ctx), &wirepb.ResolveRequest{
			Id:            req.GetId(),
			Start:         req.GetStart(),
			DeadlineNanos: req.GetDeadlineNanos(),
			Abort:         true,
		})
	}
	return resp
}
