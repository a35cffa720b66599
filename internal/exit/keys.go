package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// SetMembers sets the members that can be the home node of an idempotency key.
func (e *Exit) SetMembers(members []ident.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys.SetMembers(members, mono.Now())
}

// claimKey registers the request's idempotency key before the request runs. If
// the request must not run, claimKey returns its response. That response never
// falsely states that the request was not run: a refusal refers to this
// request, not to other requests with the same key.
func (e *Exit) claimKey(req *wirepb.CallRequest, now time.Time) *wirepb.CallResponse {
	if req.GetKey() == "" {
		return nil
	}
	verdict := e.keys.Begin(req.GetKey(), now)
	switch verdict.Kind {
	case fence.KeyRun:
		return nil
	case fence.KeyFinished:
		if !verdict.Stored {
			return refusal(req, wirepb.Reason_REASON_DUPLICATE)
		}
		return copyForRequest(req, verdict.Answer.Value)
	case fence.KeyRunning:
		return refusal(req, wirepb.Reason_REASON_DUPLICATE)
	case fence.KeyFull:
		return refusal(req, wirepb.Reason_REASON_FULL)
	case fence.KeyUnknown:
		return unknown(req, wirepb.Reason_REASON_KEY)
	default:
		return refusal(req, wirepb.Reason_REASON_KEY)
	}
}

// respondByKey finishes a request whose key prevents it from running. The
// response to the first request with the key is stored for this request as
// well, but its work is not counted again.
func (e *Exit) respondByKey(id ident.Request, req *wirepb.CallRequest, resp *wirepb.CallResponse, now time.Time) *wirepb.CallResponse {
	if resp.GetOutcome() != wirepb.Outcome_OUTCOME_RAN {
		return e.refuse(req, resp, now)
	}
	e.fences.Finish(id, fence.Answer[*wirepb.CallResponse]{State: fence.Ran, Value: resp}, now)
	return resp
}

// copyForRequest returns the stored response of another request with the same
// key as the response to req.
func copyForRequest(req *wirepb.CallRequest, resp *wirepb.CallResponse) *wirepb.CallResponse {
	return &wirepb.CallResponse{
		Id:      req.GetId(),
		Outcome: resp.GetOutcome(),
		Reason:  resp.GetReason(),
		Status:  resp.GetStatus(),
		Headers: resp.GetHeaders(),
		Body:    resp.GetBody(),
	}
}
