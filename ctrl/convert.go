package ctrl

import (
	"time"

	"turmericroute/model"
	"turmericroute/quorum"
	"turmericroute/wire"
)

func entriesToWire(list []quorum.Entry) []*wire.Entry {
	out := make([]*wire.Entry, len(list))
	for i, e := range list {
		out[i] = &wire.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data}
	}
	return out
}

func entriesFromWire(list []*wire.Entry) []quorum.Entry {
	if len(list) == 0 {
		return nil
	}
	out := make([]quorum.Entry, len(list))
	for i, e := range list {
		out[i] = quorum.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: quorum.EntryKind(e.GetKind()), Data: e.GetData()}
	}
	return out
}

func memberToWire(m quorum.Member) *wire.Member {
	return &wire.Member{Name: m.Name, Id: m.ID, Address: m.Address, DataCentre: m.DataCentre}
}

func memberFromWire(m *wire.Member) quorum.Member {
	return quorum.Member{Name: m.GetName(), ID: m.GetId(), Address: m.GetAddress(), DataCentre: m.GetDataCentre()}
}

func membershipToWire(m quorum.Membership) *wire.Membership {
	out := &wire.Membership{}
	for _, v := range m.Voters {
		out.Voters = append(out.Voters, memberToWire(v))
	}
	for _, l := range m.Learners {
		out.Learners = append(out.Learners, memberToWire(l))
	}
	return out
}

func membershipFromWire(m *wire.Membership) quorum.Membership {
	var out quorum.Membership
	for _, v := range m.GetVoters() {
		out.Voters = append(out.Voters, memberFromWire(v))
	}
	for _, l := range m.GetLearners() {
		out.Learners = append(out.Learners, memberFromWire(l))
	}
	return out
}

func snapshotToWire(s *quorum.Snapshot) *wire.Snapshot {
	if s == nil {
		return nil
	}
	return &wire.Snapshot{Index: s.Index, Term: s.Term, Membership: membershipToWire(s.Membership), Data: s.Data}
}

func snapshotFromWire(s *wire.Snapshot) *quorum.Snapshot {
	if s == nil {
		return nil
	}
	return &quorum.Snapshot{
		Index: s.GetIndex(), Term: s.GetTerm(),
		Membership: membershipFromWire(s.GetMembership()), Data: s.GetData(),
	}
}

func messageToWire(m quorum.Message) *wire.QuorumMessage {
	return &wire.QuorumMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, Hint: m.Hint, HintTerm: m.HintTerm, Round: m.Round,
		Entries: entriesToWire(m.Entries), Snapshot: snapshotToWire(m.Snapshot),
	}
}

func messageFromWire(m *wire.QuorumMessage) quorum.Message {
	return quorum.Message{
		Kind: quorum.MessageKind(m.GetKind()), From: m.GetFrom(), To: m.GetTo(), Term: m.GetTerm(),
		Index: m.GetIndex(), LogTerm: m.GetLogTerm(), Commit: m.GetCommit(), Reject: m.GetReject(),
		Hint: m.GetHint(), HintTerm: m.GetHintTerm(), Round: m.GetRound(),
		Entries: entriesFromWire(m.GetEntries()), Snapshot: snapshotFromWire(m.GetSnapshot()),
	}
}

func failureToWire(e *model.Error) *wire.Failure {
	if e == nil {
		return nil
	}
	return &wire.Failure{
		Code: string(e.Code), Message: e.Message, Outcome: string(e.Outcome), Faults: e.Faults, Version: e.Version,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func failureFromWire(f *wire.Failure) *model.Error {
	if f == nil {
		return nil
	}
	return &model.Error{
		Code: model.Code(f.GetCode()), Message: f.GetMessage(), Outcome: model.Outcome(f.GetOutcome()),
		Faults: f.GetFaults(), Version: f.GetVersion(),
		RetryAfter: time.Duration(f.GetRetryAfterMs()) * time.Millisecond,
	}
}
