package exit

import (
	"time"

	"github.com/cicadahall/cicadahall/fence"
	"github.com/cicadahall/cicadahall/ident"
	"github.com/cicadahall/cicadahall/internal/mono"
	"github.com/cicadahall/cicadahall/internal/wirepb"
)

// SetMembers tells which members can be the home of a caller's key.
func (e *Exit) SetMembers(members []ident.Node) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys.Members(members, mono.Now())
}

// claim takes the caller's key for a request that is about to run. It returns
// the answer if the request mustn't run; that answer is never a false "not
// run", because "not run" speaks of this request and not of the key.
func (e *Exit) claim(q *wirepb.CallRequest, now time.Time) *wirepb.CallResponse {
	if q.GetKey() == "" {
		return nil
	}
	v := e.keys.Begin(q.GetKey(), now)
	switch v.Kind {
	case fence.KeyRun:
		return nil
	case fence.KeyFinished:
		if !v.Stored {
			return refusal(q, wirepb.Reason_REASON_DUPLICATE)
		}
		return again(q, v.Answer.Value)
	case fence.KeyRunning:
		return refusal(q, wirepb.Reason_REASON_DUPLICATE)
	case fence.KeyFull:
		return refusal(q, wirepb.Reason_REASON_FULL)
	case fence.KeyUnknown:
		return unknown(q, wirepb.Reason_REASON_KEY)
	default:
		return refusal(q, wirepb.Reason_REASON_KEY)
	}
}

// answerByKey ends a request that its key keeps from running. The answer of
// the key's first request is stored for this one, too; its work isn't counted
// a second time.
func (e *Exit) answerByKey(id ident.Request, q *wirepb.CallRequest, a *wirepb.CallResponse, now time.Time) *wirepb.CallResponse {
	if a.GetOutcome() != wirepb.Outcome_OUTCOME_RAN {
		return e.refuse(q, a, now)
	}
	e.fences.Finish(id, fence.Answer[*wirepb.CallResponse]{State: fence.Ran, Value: a}, now)
	return a
}

// again returns a stored answer for another request with the same key.
func again(q *wirepb.CallRequest, a *wirepb.CallResponse) *wirepb.CallResponse {
	return &wirepb.CallResponse{
		Id:      q.GetId(),
		Outcome: a.GetOutcome(),
		Reason:  a.GetReason(),
		Status:  a.GetStatus(),
		Headers: a.GetHeaders(),
		Body:    a.GetBody(),
	}
}
