package peergrpc

import (
	"encoding/json"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/result"
	"github.com/sardineturn/sardineturn/pkg/wire"
)

// answerTransitTime is subtracted from the deadline at each hop, so that an answer
// that the home sends at its deadline reaches the entry before the entry's own
// deadline. The transit from one data centre to another takes about 0.5 ms.
const answerTransitTime = 2 * time.Millisecond

// remainingMicros returns the time until the receiver's deadline in microseconds.
func remainingMicros(now, deadline time.Time) int64 {
	return (deadline.Sub(now) - answerTransitTime).Microseconds()
}

func deadlineFrom(now time.Time, remainingUS int64) time.Time {
	return now.Add(time.Duration(remainingUS) * time.Microsecond)
}

func toWireGroup(now time.Time, r model.GroupRequest) *wire.RunGroupRequest {
	shards := make([]string, len(r.Shards))
	for i, s := range r.Shards {
		shards[i] = string(s)
	}
	return &wire.RunGroupRequest{
		Id:            r.ID[:],
		Service:       r.Group.Service,
		GroupIndex:    int32(r.Group.Index),
		Revision:      r.Revision,
		Operation:     r.Operation,
		Priority:      r.Priority,
		Caller:        string(r.Caller),
		Payload:       r.Payload,
		Fingerprint:   uint64(r.Fingerprint),
		Snapshot:      string(r.Snapshot),
		Shards:        shards,
		LeastShards:   int32(r.LeastShards),
		TimeLeftUs:    remainingMicros(now, r.Deadline),
		NonIdempotent: r.NonIdempotent,
		OrderKey:      r.OrderKey,
		TargetBoot:    uint64(r.TargetBoot),
	}
}

func fromWireGroup(now time.Time, w *wire.RunGroupRequest) (model.GroupRequest, error) {
	var id model.AttemptID
	if len(w.GetId()) != len(id) {
		return model.GroupRequest{}, result.Errorf(result.BadRequest, "the attempt id has %d bytes, want %d", len(w.GetId()), len(id))
	}
	copy(id[:], w.GetId())
	shards := make([]model.ShardID, len(w.GetShards()))
	for i, s := range w.GetShards() {
		shards[i] = model.ShardID(s)
	}
	return model.GroupRequest{
		ID:            id,
		Group:         model.GroupKey{Service: w.GetService(), Index: int(w.GetGroupIndex())},
		Revision:      w.GetRevision(),
		Operation:     w.GetOperation(),
		Priority:      w.GetPriority(),
		Caller:        model.CallerID(w.GetCaller()),
		Payload:       rawOrNil(w.GetPayload()),
		Fingerprint:   model.Fingerprint(w.GetFingerprint()),
		Snapshot:      model.SnapshotID(w.GetSnapshot()),
		Shards:        shards,
		LeastShards:   int(w.GetLeastShards()),
		Deadline:      deadlineFrom(now, w.GetTimeLeftUs()),
		NonIdempotent: w.GetNonIdempotent(),
		OrderKey:      w.GetOrderKey(),
		TargetBoot:    model.BootID(w.GetTargetBoot()),
	}, nil
}

func rawOrNil(b []byte) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	return b
}

func toWireAnswer(a model.GroupAnswer) *wire.RunGroupReply {
	outcomes := make([]*wire.ShardOutcome, len(a.Outcomes))
	for i, o := range a.Outcomes {
		outcomes[i] = &wire.ShardOutcome{Shard: string(o.Shard), Code: int32(o.Code), RunState: int32(o.Ran), Result: o.Result}
	}
	return &wire.RunGroupReply{
		Id:           a.ID[:],
		Code:         int32(a.Code),
		Snapshot:     string(a.Snapshot),
		Outcomes:     outcomes,
		RetryAfterUs: a.RetryAfter.Microseconds(),
		QueueDelayUs: a.QueueDelay.Microseconds(),
	}
}

func fromWireAnswer(w *wire.RunGroupReply) model.GroupAnswer {
	a := model.GroupAnswer{
		Code:       result.Code(w.GetCode()),
		Snapshot:   model.SnapshotID(w.GetSnapshot()),
		RetryAfter: time.Duration(w.GetRetryAfterUs()) * time.Microsecond,
		QueueDelay: time.Duration(w.GetQueueDelayUs()) * time.Microsecond,
	}
	copy(a.ID[:], w.GetId())
	for _, o := range w.GetOutcomes() {
		a.Outcomes = append(a.Outcomes, model.ShardOutcome{
			Shard:  model.ShardID(o.GetShard()),
			Code:   result.Code(o.GetCode()),
			Ran:    model.RunState(o.GetRunState()),
			Result: rawOrNil(o.GetResult()),
		})
	}
	return a
}

func toWireOrder(now time.Time, boot model.BootID, o port.OrderSubmission) *wire.SubmitOrderRequest {
	return &wire.SubmitOrderRequest{
		TargetBoot: uint64(boot),
		Ticket:     o.Ticket,
		Service:    o.Service,
		Operation:  o.Operation,
		Priority:   o.Priority,
		Caller:     string(o.Caller),
		Payload:    o.Payload,
		Shard:      string(o.Shard),
		TimeLeftUs: remainingMicros(now, o.Deadline),
	}
}

func fromWireOrder(now time.Time, w *wire.SubmitOrderRequest) port.OrderSubmission {
	return port.OrderSubmission{
		Ticket:    w.GetTicket(),
		Service:   w.GetService(),
		Operation: w.GetOperation(),
		Priority:  w.GetPriority(),
		Caller:    model.CallerID(w.GetCaller()),
		Payload:   rawOrNil(w.GetPayload()),
		Shard:     model.ShardID(w.GetShard()),
		Deadline:  deadlineFrom(now, w.GetTimeLeftUs()),
	}
}

func toWireOrderAnswer(a port.OrderAnswer) *wire.SubmitOrderReply {
	return &wire.SubmitOrderReply{
		Code:         int32(a.Code),
		RunState:     int32(a.Ran),
		Result:       a.Result,
		Snapshot:     string(a.Snapshot),
		Replayed:     a.Replayed,
		RetryAfterUs: a.RetryAfter.Microseconds(),
		NextTicket:   a.NextTicket,
		Detail:       a.Detail,
	}
}

func fromWireOrderAnswer(w *wire.SubmitOrderReply) port.OrderAnswer {
	return port.OrderAnswer{
		Code:       result.Code(w.GetCode()),
		Ran:        model.RunState(w.GetRunState()),
		Result:     rawOrNil(w.GetResult()),
		Snapshot:   model.SnapshotID(w.GetSnapshot()),
		Replayed:   w.GetReplayed(),
		RetryAfter: time.Duration(w.GetRetryAfterUs()) * time.Microsecond,
		NextTicket: w.GetNextTicket(),
		Detail:     w.GetDetail(),
	}
}

func toWireVersions(have []port.DocumentVersion) []*wire.DocumentVersion {
	out := make([]*wire.DocumentVersion, len(have))
	for i, v := range have {
		out[i] = &wire.DocumentVersion{Service: v.Service, Revision: v.Revision, Digest: v.Digest}
	}
	return out
}

func fromWireVersions(have []*wire.DocumentVersion) []port.DocumentVersion {
	out := make([]port.DocumentVersion, len(have))
	for i, v := range have {
		out[i] = port.DocumentVersion{Service: v.GetService(), Revision: v.GetRevision(), Digest: v.GetDigest()}
	}
	return out
}
