package tree

import (
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	maxValueBytes        = 16 << 10
	maxTokens            = 8
	tokenHashBytes       = 32
	maxColdStartDuration = 10 * time.Minute
	maxColdRate          = 100_000
	minTimeout           = 10 * time.Millisecond
	maxTimeout           = 5 * time.Minute
	minWatchDuration     = time.Second
	maxWatchDuration     = 24 * time.Hour
	minStepCalls         = 3
	maxStepCalls         = 10000
	defaultTimeout       = 5 * time.Second
	// undeclaredColdStart marks a cold start that is not declared but measured on upstreams of the stable version.
	undeclaredColdStart  = -1
	defaultWatchDuration = 30 * time.Second
	defaultStepCalls     = 20
	maxAttempts          = 16
	maxSplitServices     = 16
	maxIdleTimeout       = time.Hour
	maxWorkspaceKeys     = 64
	maxWorkspaceRate     = 1_000_000
	// maxIgnored and maxIgnoredBytes bound the list of ignored entries, so that its value fits into maxValueBytes.
	maxIgnored      = 32
	maxIgnoredBytes = 200
)

var (
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.+_-]{0,63}$`)
	hostPattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,252}$`)
	prefixPattern  = regexp.MustCompile(`^/[A-Za-z0-9._~/-]{0,127}$`)
)

// Decode decodes and checks the value of a path; it returns *PathError or *ValueError.
func Decode(pathText, value string) (Path, proto.Message, error) {
	path, err := ParsePath(pathText)
	if err != nil {
		return Path{}, nil, err
	}
	if len(value) > maxValueBytes {
		return Path{}, nil, &ValueError{Path: pathText, Field: "value", Value: strconv.Itoa(len(value)) + " bytes", Allowed: "at most 16384 bytes"}
	}
	message := newMessage(path.Kind)
	if err := protojson.Unmarshal([]byte(value), message); err != nil {
		return Path{}, nil, &ValueError{Path: pathText, Field: "value", Value: shorten(value), Allowed: "JSON of " + string(message.ProtoReflect().Descriptor().Name()) + ": " + err.Error()}
	}
	if failure := checkValue(message); failure != nil {
		failure.Path = pathText
		return Path{}, nil, failure
	}
	return path, message, nil
}

func newMessage(kind Kind) proto.Message {
	switch kind {
	case KindAccess:
		return &wirepb.AccessSetting{}
	case KindService:
		return &wirepb.ServiceSetting{}
	case KindRoute:
		return &wirepb.RouteSetting{}
	case KindMove:
		return &wirepb.MoveSetting{}
	case KindLimits:
		return &wirepb.LimitsSetting{}
	case KindEvacuation:
		return &wirepb.EvacuationSetting{}
	case KindWorkspace:
		return &wirepb.WorkspaceSetting{}
	case KindIgnored:
		return &structpb.ListValue{}
	default:
		return &wirepb.MoveRecord{}
	}
}

func checkValue(message proto.Message) *ValueError {
	switch m := message.(type) {
	case *wirepb.AccessSetting:
		return checkAccess(m)
	case *wirepb.ServiceSetting:
		return checkService(m)
	case *wirepb.RouteSetting:
		return checkRoute(m)
	case *wirepb.MoveSetting:
		return checkMove(m)
	case *wirepb.MoveRecord:
		return checkRecord(m)
	case *wirepb.LimitsSetting:
		return checkLimits(m)
	case *wirepb.WorkspaceSetting:
		return checkWorkspace(m)
	default:
		return nil
	}
}

func checkAccess(m *wirepb.AccessSetting) *ValueError {
	hashes := m.GetTokenSha256()
	if len(hashes) == 0 || len(hashes) > maxTokens {
		return &ValueError{Field: "token_sha256", Value: strconv.Itoa(len(hashes)) + " hashes", Allowed: "1 to 8 hashes"}
	}
	return checkHashes("token_sha256", hashes)
}

func checkHashes(field string, hashes []string) *ValueError {
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err != nil || len(raw) != tokenHashBytes {
			return &ValueError{Field: field, Value: shorten(h), Allowed: "64 hexadecimal digits"}
		}
	}
	return nil
}

func checkWorkspace(m *wirepb.WorkspaceSetting) *ValueError {
	switch {
	case len(m.GetKeySha256()) > maxWorkspaceKeys:
		return &ValueError{Field: "key_sha256", Value: strconv.Itoa(len(m.GetKeySha256())) + " hashes", Allowed: "at most 64 hashes"}
	case !(m.GetRate() >= 0 && m.GetRate() <= maxWorkspaceRate):
		return &ValueError{Field: "rate", Value: strconv.FormatFloat(m.GetRate(), 'g', -1, 64), Allowed: "0 to 1000000"}
	default:
		return checkHashes("key_sha256", m.GetKeySha256())
	}
}

func checkService(m *wirepb.ServiceSetting) *ValueError {
	if failure := checkVersion(m.GetVersion()); failure != nil && m.GetVersion() != "" {
		return failure
	}
	if rate := m.GetColdRate(); !(rate >= 0 && rate <= maxColdRate) {
		return &ValueError{Field: "cold_rate", Value: strconv.FormatFloat(rate, 'g', -1, 64), Allowed: "0 to 100000"}
	}
	return checkDuration("cold_start", m.GetColdStart(), 0, maxColdStartDuration)
}

func checkRoute(m *wirepb.RouteSetting) *ValueError {
	switch {
	case !prefixPattern.MatchString(m.GetPathPrefix()):
		return &ValueError{Field: "path_prefix", Value: shorten(m.GetPathPrefix()), Allowed: "a path of at most 128 characters that starts with /"}
	case m.GetHost() != "" && !hostPattern.MatchString(m.GetHost()):
		return &ValueError{Field: "host", Value: shorten(m.GetHost()), Allowed: "a host name in lower case, without a port"}
	case m.GetAttempts() > maxAttempts:
		return &ValueError{Field: "attempts", Value: strconv.FormatUint(uint64(m.GetAttempts()), 10), Allowed: "0 to 16"}
	case len(m.GetSplit()) > 0:
		return checkSplit(m)
	case !namePattern.MatchString(m.GetService()):
		return &ValueError{Field: "service", Value: shorten(m.GetService()), Allowed: "the name of a service"}
	case wirepb.Class_name[int32(m.GetClass())] == "":
		return &ValueError{Field: "class", Value: m.GetClass().String(), Allowed: "CLASS_BROWSE, CLASS_NORMAL or CLASS_CRITICAL"}
	case m.GetIdempotent() && m.GetAtMostOnce():
		return &ValueError{Field: "at_most_once", Value: "true", Allowed: "false on an idempotent route"}
	case wirepb.ClaimPolicy_name[int32(m.GetClaimPolicy())] == "":
		return &ValueError{Field: "claim_policy", Value: m.GetClaimPolicy().String(), Allowed: "CLAIM_POLICY_REFUSE or CLAIM_POLICY_RUN"}
	default:
		return checkTimeouts(m)
	}
}

func checkTimeouts(m *wirepb.RouteSetting) *ValueError {
	if failure := checkDuration("objective", m.GetObjective(), 0, maxTimeout); failure != nil {
		return failure
	}
	return checkDuration("timeout", m.GetTimeout(), minTimeout, maxTimeout)
}

func checkSplit(m *wirepb.RouteSetting) *ValueError {
	sum := uint64(0)
	for _, p := range m.GetSplit() {
		if !namePattern.MatchString(p.GetService()) {
			return &ValueError{Field: "split", Value: shorten(p.GetService()), Allowed: "the name of a service"}
		}
		sum += uint64(p.GetWeight())
	}
	if sum == 0 || len(m.GetSplit()) > maxSplitServices || m.GetService() != "" {
		return &ValueError{Field: "split", Value: strconv.Itoa(len(m.GetSplit())) + " services", Allowed: "1 to 16 services, at least one with a weight above 0, while field service is empty"}
	}
	return checkTimeouts(m)
}

func checkLimits(m *wirepb.LimitsSetting) *ValueError {
	if failure := checkDuration("header_timeout", m.GetHeaderTimeout(), minTimeout, maxTimeout); failure != nil {
		return failure
	}
	return checkDuration("idle_timeout", m.GetIdleTimeout(), minTimeout, maxIdleTimeout)
}

func checkMove(m *wirepb.MoveSetting) *ValueError {
	if failure := checkVersion(m.GetVersion()); failure != nil {
		return failure
	}
	if !m.GetDeadline().IsValid() {
		return &ValueError{Field: "deadline", Value: m.GetDeadline().String(), Allowed: "a time such as 2026-12-04T12:00:00Z"}
	}
	if wirepb.DeadlinePolicy_name[int32(m.GetAtDeadline())] == "" {
		return &ValueError{Field: "at_deadline", Value: m.GetAtDeadline().String(), Allowed: "DEADLINE_POLICY_HOLD or DEADLINE_POLICY_FINISH"}
	}
	if calls := m.GetStepCalls(); calls != 0 && (calls < minStepCalls || calls > maxStepCalls) {
		return &ValueError{Field: "step_calls", Value: strconv.FormatUint(uint64(calls), 10), Allowed: "3 to 10000"}
	}
	return checkDuration("watch", m.GetWatch(), minWatchDuration, maxWatchDuration)
}

func checkRecord(m *wirepb.MoveRecord) *ValueError {
	if m.GetState() < wirepb.MoveState_MOVE_STATE_RUNNING || m.GetState() > wirepb.MoveState_MOVE_STATE_TAKEN_BACK {
		return &ValueError{Field: "state", Value: m.GetState().String(), Allowed: "a state of a move"}
	}
	if m.GetSharePermille() > 1000 {
		return &ValueError{Field: "share_permille", Value: strconv.FormatUint(uint64(m.GetSharePermille()), 10), Allowed: "0 to 1000"}
	}
	return nil
}

func checkVersion(version string) *ValueError {
	if versionPattern.MatchString(version) {
		return nil
	}
	return &ValueError{Field: "version", Value: shorten(version), Allowed: "1 to 64 letters, digits, dots, plus signs, underscores and hyphens"}
}

func checkDuration(field string, value *durationpb.Duration, low, high time.Duration) *ValueError {
	if value == nil {
		return nil
	}
	if value.IsValid() && value.AsDuration() >= low && value.AsDuration() <= high {
		return nil
	}
	return &ValueError{Field: field, Value: value.AsDuration().String(), Allowed: low.String() + " to " + high.String()}
}

func durationOr(value *durationpb.Duration, fallback time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	return value.AsDuration()
}

func shorten(text string) string {
	const maxShown = 80
	if len(text) <= maxShown {
		return text
	}
	return strings.ToValidUTF8(text[:maxShown], "") + "..."
}
