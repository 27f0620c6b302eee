package tree

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxEdits = 64
	// maxWithdrawn is the number of withdrawn versions that a move's record names; the oldest are dropped first.
	maxWithdrawn = 16
)

// Administrator is the author that may write in every team's subtree.
const Administrator = "administrator"

// NewChange checks an author's edits against the state and returns the change of the next revision;
// it returns *AccessError, *ConflictError, *LimitError, *PathError, *ValueError or *NotFoundError.
func (s *State) NewChange(author string, edits []*wirepb.Edit, now time.Time) (*wirepb.Change, error) {
	if len(edits) == 0 || len(edits) > maxEdits {
		return nil, &LimitError{Quantity: "edits in a change, which needs at least one,", Have: len(edits), Limit: maxEdits}
	}
	change := &wirepb.Change{Revision: s.Revision + 1, Author: author, Time: timestamppb.New(now)}
	for _, e := range edits {
		puts, err := s.editPuts(author, e, now)
		if err != nil {
			return nil, err
		}
		change.Puts = append(change.Puts, puts...)
	}
	if _, err := s.Apply(change); err != nil {
		return nil, err
	}
	return change, nil
}

func (s *State) editPuts(author string, edit *wirepb.Edit, now time.Time) ([]*wirepb.Put, error) {
	path, err := ParsePath(edit.GetPath())
	if err != nil {
		return nil, err
	}
	if !mayWrite(author, path) {
		return nil, &AccessError{Path: edit.GetPath(), Author: author}
	}
	if have := s.Entry(edit.GetPath()).GetRevision(); edit.GetCompare() && have != edit.GetIfRevision() {
		return nil, &ConflictError{Path: edit.GetPath(), Have: have, Want: edit.GetIfRevision()}
	}
	if edit.GetDelete() {
		return s.deletePuts(edit, path)
	}
	return s.setPuts(edit, path, now)
}

func mayWrite(author string, path Path) bool {
	if path.Kind == KindMoveRecord || path.Kind == KindIgnored {
		return false
	}
	if path.Kind == KindLimits || path.Kind == KindEvacuation {
		return author == Administrator
	}
	return author == Administrator || author == path.Team
}

func (s *State) deletePuts(edit *wirepb.Edit, path Path) ([]*wirepb.Put, error) {
	if s.Entry(edit.GetPath()) == nil {
		return nil, &NotFoundError{Path: edit.GetPath()}
	}
	service := s.Services[path.Name]
	if path.Kind == KindMove && service != nil && service.MoveActive() {
		return nil, &ValueError{Path: edit.GetPath(), Field: "delete", Value: "true", Allowed: "false until the move is done or taken back; take it back first"}
	}
	puts := []*wirepb.Put{{Path: edit.GetPath(), Delete: true}}
	if path.Kind == KindService && s.Entry(MoveRecordPath(path.Name)) != nil {
		puts = append(puts, &wirepb.Put{Path: MoveRecordPath(path.Name), Delete: true})
	}
	return puts, nil
}

func (s *State) setPuts(edit *wirepb.Edit, path Path, now time.Time) ([]*wirepb.Put, error) {
	_, message, err := Decode(edit.GetPath(), edit.GetValue())
	if err != nil {
		return nil, err
	}
	puts := []*wirepb.Put{{Path: edit.GetPath(), Value: edit.GetValue()}}
	switch v := message.(type) {
	case *wirepb.ServiceSetting:
		return puts, s.checkVersionUnchanged(edit.GetPath(), path, v)
	case *wirepb.MoveSetting:
		record, err := s.newMoveRecordPut(edit.GetPath(), path, v, now)
		return append(puts, record), err
	default:
		return puts, nil
	}
}

func (s *State) checkVersionUnchanged(pathText string, path Path, setting *wirepb.ServiceSetting) error {
	service, found := s.Services[path.Name]
	if !found || service.Team != path.Team {
		return nil
	}
	_, value, err := Decode(pathText, s.Entry(pathText).GetValue())
	if err != nil {
		return err
	}
	previous, _ := value.(*wirepb.ServiceSetting)
	if previous.GetVersion() == setting.GetVersion() {
		return nil
	}
	return &ValueError{
		Path: pathText, Field: "version", Value: setting.GetVersion(),
		Allowed: strconv.Quote(previous.GetVersion()) + "; declare another version at /teams/" + path.Team + "/moves/" + path.Name,
	}
}

// newMoveRecordPut returns the put of the initial record of a declared move. If the previous move is still being watched,
// the declared move starts from the new version of that one.
func (s *State) newMoveRecordPut(pathText string, path Path, setting *wirepb.MoveSetting, now time.Time) (*wirepb.Put, error) {
	service, found := s.Services[path.Name]
	if !found {
		return nil, &ValueError{Path: pathText, Field: "service", Value: path.Name, Allowed: "a service that exists before the move is declared"}
	}
	from := service.StableVersion
	if service.AnyVersion {
		from = ""
	} else if service.MoveRecord.GetState() == wirepb.MoveState_MOVE_STATE_WATCHING {
		from = service.MoveRecord.GetTo()
	}
	if setting.GetVersion() == from {
		return nil, &ValueError{Path: pathText, Field: "version", Value: from, Allowed: "a version other than the one that already takes the calls"}
	}
	if !setting.GetDeadline().AsTime().After(now) {
		return nil, &ValueError{Path: pathText, Field: "deadline", Value: setting.GetDeadline().AsTime().Format(time.RFC3339), Allowed: "a time after " + now.UTC().Format(time.RFC3339)}
	}
	return MoveRecordPut(&wirepb.MoveRecord{
		Service: path.Name, Team: path.Team, From: from, To: setting.GetVersion(),
		DeclaredRevision: s.Revision + 1, State: wirepb.MoveState_MOVE_STATE_RUNNING,
		DeclaredAt: timestamppb.New(now), StepAt: timestamppb.New(now),
		Deadline: setting.GetDeadline(), AtDeadline: deadlinePolicyOrDefault(setting),
		Watch:     durationpb.New(durationOr(setting.GetWatch(), defaultWatchDuration)),
		StepCalls: stepCallsOrDefault(setting), Order: setting.GetOrder(),
		Withdrawn: withdrawnVersions(service.MoveRecord, from, setting.GetVersion()),
	})
}

// withdrawnVersions returns the versions that a new move keeps from getting calls: those that the record of the previous move names,
// and its new version if that move was taken back or did not reach all calls.
func withdrawnVersions(previous *wirepb.MoveRecord, from, to string) []string {
	versions := slices.Clone(previous.GetWithdrawn())
	switch previous.GetState() {
	case wirepb.MoveState_MOVE_STATE_TAKEN_BACK, wirepb.MoveState_MOVE_STATE_RUNNING:
		versions = append(versions, previous.GetTo())
	}
	kept := map[string]bool{"": true, from: true, to: true}
	versions = slices.DeleteFunc(versions, func(version string) bool {
		known := kept[version]
		kept[version] = true
		return known
	})
	return versions[max(0, len(versions)-maxWithdrawn):]
}

func deadlinePolicyOrDefault(setting *wirepb.MoveSetting) wirepb.DeadlinePolicy {
	if setting.GetAtDeadline() == wirepb.DeadlinePolicy_DEADLINE_POLICY_UNSPECIFIED {
		return wirepb.DeadlinePolicy_DEADLINE_POLICY_HOLD
	}
	return setting.GetAtDeadline()
}

func stepCallsOrDefault(setting *wirepb.MoveSetting) uint32 {
	if setting.GetStepCalls() == 0 {
		return defaultStepCalls
	}
	return setting.GetStepCalls()
}

// MoveRecordPut encodes a move record as a put; it returns *ValueError.
func MoveRecordPut(record *wirepb.MoveRecord) (*wirepb.Put, error) {
	path := MoveRecordPath(record.GetService())
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(record)
	if err != nil {
		return nil, &ValueError{Path: path, Field: "value", Value: strings.ToValidUTF8(record.GetReason(), "?"), Allowed: err.Error()}
	}
	return &wirepb.Put{Path: path, Value: string(value)}, nil
}
