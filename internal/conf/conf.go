package conf

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/route"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// MaxDescriptors is the greatest number of file descriptors of a process.
const MaxDescriptors = 1 << 24

// DefaultMaxChildren is the number of links that a node accepts from nodes below it unless its settings say otherwise.
const DefaultMaxChildren = 16

const (
	maxFileBytes        = 1 << 20
	maxSeeds            = 8
	defaultStopTimeout  = 10 * time.Second
	maxStopTimeout      = 10 * time.Minute
	defaultSubsetSize   = 8
	defaultQueueFactor  = 2
	defaultMaxBodyBytes = 1 << 20
	maxBodyBytes        = 64 << 20
	defaultProcessors   = 2
	defaultPollInterval = time.Second
	minPollInterval     = 100 * time.Millisecond
	maxPollInterval     = 5 * time.Second
	tokenHashBytes      = 32
	defaultLeaveTime    = 300 * time.Millisecond
	// stopReserve is the part of the grace period that a stop needs after the running calls were cancelled: their responses, the
	// last replies to other nodes and the end of the process.
	stopReserve         = 950 * time.Millisecond
	minAnnounceInterval = 100 * time.Millisecond
	maxAnnounceInterval = time.Minute
	maxRetryReserve     = 10_000
	maxRetrySlack       = 1_000_000
	minLinkMbps         = 1
	maxLinkMbps         = 1_000_000
	bitsPerMegabit      = 1_000_000
	minMemoryBytes      = 16 << 20
	minMemoryLimitBytes = 64 << 20
	minDescriptors      = 64
	defaultColdOverage  = 1
	maxColdOverage      = 100
	defaultQuotaWindow  = 5 * time.Second
	minQuotaWindow      = 100 * time.Millisecond
	maxQuotaWindow      = 10 * time.Minute
	maxQuotaOverage     = 10
	maxQuotaSlack       = 1_000_000
	defaultRevoke       = 5 * time.Second
	maxMemoryBytes      = 1 << 40
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// ValueError says which field of a settings file has an invalid value.
type ValueError struct {
	File    string
	Field   string
	Value   string
	Allowed string
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: field %s has value %q: must be %s", e.File, e.Field, e.Value, e.Allowed)
}

// FileError says that a settings file cannot be read or is not a NodeSettings message in JSON with comments.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// FileTooLargeError says that a settings file exceeds the size limit.
type FileTooLargeError struct {
	Bytes int64
}

func (e *FileTooLargeError) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Bytes, maxFileBytes)
}

// Settings holds the checked settings of a node.
type Settings struct {
	Name             string
	Region           string
	DataCentre       string
	CallerAddress    netip.AddrPort
	PeerAddress      netip.AddrPort
	AdminAddress     netip.AddrPort
	AnnounceAddress  netip.AddrPort
	PlatformAddress  netip.AddrPort
	AdminTokenSHA256 string
	StopTimeout      time.Duration
	MaxChildren      int
	SubsetSize       int
	QueueFactor      int
	MaxBodyBytes     int64
	MovePolicy       string
	PickPolicy       string
	PollInterval     time.Duration
	Seeds            []netip.AddrPort
	Processors       int
	// ReadyAddress is the zero value if only /readyz of the admin API reports readiness.
	ReadyAddress     netip.AddrPort
	Headers          *wirepb.HeaderNames
	AnnounceInterval time.Duration
	OperatorRows     bool
	Service          string
	RetryRatio       float64
	RetryReserve     int
	// RetrySlack is 0 if only RetryReserve bounds the retries beyond RetryRatio.
	RetrySlack  float64
	MemoryBytes int64
	LeaveTime   time.Duration
	// LinkBitsPerSecond is 0 if the link is not limited.
	LinkBitsPerSecond float64
	// ColdOverage is the number of calls per second that a cold upstream gets, in multiples of its service's rate.
	ColdOverage float64
	// QuotaWindow, QuotaOverage and QuotaSlack say by how much the calls of a workspace may exceed its quota.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// StrictRevocation says that a node whose configuration is older than Revoke refuses requests that need a key.
	StrictRevocation bool
	Revoke           time.Duration
	// MemoryLimitBytes is 0 if it is not set; see WithMachineMemory.
	MemoryLimitBytes int64
	// MaxDescriptors is 0 if only the operating system limits the file descriptors.
	MaxDescriptors  int
	AdmissionPolicy string
}

// SoftMemoryLimit returns the limit that the Go runtime works towards: memory_bytes or a part of the memory of the process, the lower of those
// that are set, or 0.
func (s *Settings) SoftMemoryLimit() int64 {
	limit := budget.SoftLimit(s.MemoryLimitBytes)
	if limit == 0 || s.MemoryBytes > 0 && s.MemoryBytes < limit {
		return s.MemoryBytes
	}
	return limit
}

// WithGracePeriod returns the settings of a process that is killed when the grace period after SIGTERM ends: the stop timeout
// leaves room for the rest of the stop, and the leave time leaves half of it to calls. Zero means that the period is not known.
func (s *Settings) WithGracePeriod(period time.Duration) *Settings {
	bounded := *s
	if period > 0 {
		bounded.StopTimeout = min(s.StopTimeout, max(period-stopReserve, period/2))
		bounded.LeaveTime = min(s.LeaveTime, bounded.StopTimeout/2)
	}
	return &bounded
}

// WithMachineMemory returns the settings of a process on a machine with some bytes of memory, which limit the process unless a limit is set.
// Zero means that the memory is not known.
func (s *Settings) WithMachineMemory(machineBytes int64) *Settings {
	limited := *s
	if limited.MemoryLimitBytes == 0 {
		limited.MemoryLimitBytes = machineBytes
	}
	return &limited
}

// Equal reports whether both settings are the same.
func (s *Settings) Equal(other *Settings) bool {
	return reflect.DeepEqual(s.comparable(), other.comparable())
}

// comparable returns the settings with the headers as text, because decoding leaves internal state in the message.
func (s *Settings) comparable() any {
	plain := *s
	plain.Headers = nil
	return struct {
		Settings Settings
		Headers  string
	}{plain, s.Headers.String()}
}

// Load reads and checks a settings file; it returns *FileError or *ValueError.
func Load(file string) (*Settings, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	if info.Size() > maxFileBytes {
		return nil, &FileError{File: file, Cause: &FileTooLargeError{Bytes: info.Size()}}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return Parse(file, text)
}

// Parse checks the text of a settings file; it returns *FileError or *ValueError.
func Parse(file string, text []byte) (*Settings, error) {
	// Standardize overwrites the comments in its input.
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	settings := &wirepb.NodeSettings{}
	if err := protojson.Unmarshal(plain, settings); err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	c := &checker{file: file}
	checked := c.settings(settings)
	if c.failure != nil {
		return nil, c.failure
	}
	return checked, nil
}

// checker converts settings and keeps the first error.
type checker struct {
	file    string
	failure error
}

func (c *checker) settings(s *wirepb.NodeSettings) *Settings {
	return &Settings{
		Name:              c.name("name", s.GetName()),
		Region:            c.name("region", s.GetRegion()),
		DataCentre:        c.name("data_centre", s.GetDataCentre()),
		CallerAddress:     c.address("caller_address", s.GetCallerAddress()),
		PeerAddress:       c.address("peer_address", s.GetPeerAddress()),
		AdminAddress:      c.address("admin_address", s.GetAdminAddress()),
		AnnounceAddress:   c.address("announce_address", s.GetAnnounceAddress()),
		PlatformAddress:   c.address("platform_address", s.GetPlatformAddress()),
		AdminTokenSHA256:  c.hash("admin_token_sha256", s.GetAdminTokenSha256()),
		StopTimeout:       c.duration("stop_timeout", s.GetStopTimeout(), defaultStopTimeout, 0, maxStopTimeout),
		MaxChildren:       c.number("max_children", uint64(s.GetMaxChildren()), DefaultMaxChildren, 2, 256),
		SubsetSize:        c.number("subset_size", uint64(s.GetSubsetSize()), defaultSubsetSize, 1, 64),
		QueueFactor:       c.number("queue_factor", uint64(s.GetQueueFactor()), defaultQueueFactor, 1, 16),
		MaxBodyBytes:      int64(c.number("max_body_bytes", s.GetMaxBodyBytes(), defaultMaxBodyBytes, 1, maxBodyBytes)),
		MovePolicy:        c.oneOf("move_policy", s.GetMovePolicy(), "evidence", "clock"),
		PickPolicy:        c.oneOf("pick_policy", s.GetPickPolicy(), "least_loaded", "round_robin"),
		PollInterval:      c.duration("poll_interval", s.GetPollInterval(), defaultPollInterval, minPollInterval, maxPollInterval),
		Seeds:             c.seeds(s.GetSeeds()),
		Processors:        c.number("processors", uint64(s.GetProcessors()), defaultProcessors, 1, 256),
		ReadyAddress:      c.optionalAddress("ready_address", s.GetReadyAddress()),
		Headers:           completeHeaders(s.GetHeaders()),
		AnnounceInterval:  c.durationText("announce_interval", s.GetAnnounceInterval(), local.DefaultAnnounceInterval, minAnnounceInterval, maxAnnounceInterval),
		OperatorRows:      s.GetOperatorRows(),
		Service:           s.GetService(),
		RetryRatio:        c.ratio("retry_ratio", s.GetRetryRatio(), route.DefaultRetryRatio),
		RetryReserve:      c.number("retry_reserve", uint64(s.GetRetryReserve()), route.DefaultRetryReserve, 1, maxRetryReserve),
		RetrySlack:        c.optionalFloat("retry_slack", s.GetRetrySlack(), 1, maxRetrySlack),
		LeaveTime:         c.durationText("leave_time", s.GetLeaveTime(), defaultLeaveTime, 0, time.Minute),
		LinkBitsPerSecond: bitsPerMegabit * c.optionalFloat("link_mbps", s.GetLinkMbps(), minLinkMbps, maxLinkMbps),
		MemoryBytes:       int64(c.number("memory_bytes", s.GetMemoryBytes(), 0, minMemoryBytes, maxMemoryBytes)),
		ColdOverage:       c.floatOr("cold_overage", s.GetColdOverage(), defaultColdOverage, 1, maxColdOverage),
		QuotaWindow:       c.durationText("quota_window", s.GetQuotaWindow(), defaultQuotaWindow, minQuotaWindow, maxQuotaWindow),
		QuotaOverage:      c.optionalFloat("quota_overage", s.GetQuotaOverage(), 0, maxQuotaOverage),
		QuotaSlack:        c.optionalFloat("quota_slack", s.GetQuotaSlack(), 0, maxQuotaSlack),
		StrictRevocation:  s.GetStrictRevocation(),
		Revoke:            c.durationText("revoke", s.GetRevoke(), defaultRevoke, minQuotaWindow, maxQuotaWindow),
		MemoryLimitBytes:  int64(c.number("memory_limit_bytes", s.GetMemoryLimitBytes(), 0, minMemoryLimitBytes, maxMemoryBytes)),
		MaxDescriptors:    c.number("max_descriptors", uint64(s.GetMaxDescriptors()), 0, minDescriptors, MaxDescriptors),
		AdmissionPolicy:   c.oneOf("admission_policy", s.GetAdmissionPolicy(), "auto", "arrival", "least_loss"),
	}
}

// completeHeaders sets the default names of the request ID and time-left headers where none is given.
func completeHeaders(names *wirepb.HeaderNames) *wirepb.HeaderNames {
	defaults := local.DefaultHeaders()
	if names == nil {
		return defaults
	}
	complete := proto.CloneOf(names)
	if complete.GetRequestId() == "" {
		complete.RequestId = defaults.GetRequestId()
	}
	if complete.GetTimeLeft() == "" {
		complete.TimeLeft = defaults.GetTimeLeft()
	}
	return complete
}

func (c *checker) optionalAddress(field, value string) netip.AddrPort {
	if value == "" {
		return netip.AddrPort{}
	}
	return c.address(field, value)
}

// durationText parses a duration that is written as text in a unit of the operator's choice, such as 600ms or 1m.
func (c *checker) durationText(field, text string, fallback, low, high time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < low || value > high {
		c.fail(field, text, low.String()+" to "+high.String())
	}
	return value
}

func (c *checker) ratio(field string, value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	if !(value > 0 && value <= 1) {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), "above 0 and at most 1")
	}
	return value
}

// optionalFloat returns 0 for a number that is not set.
func (c *checker) optionalFloat(field string, value, low, high float64) float64 {
	if value != 0 && !(value >= low && value <= high) {
		c.fail(field, strconv.FormatFloat(value, 'g', -1, 64), strconv.FormatFloat(low, 'f', -1, 64)+" to "+strconv.FormatFloat(high, 'f', -1, 64))
	}
	return value
}

// floatOr returns fallback for a number that is not set.
func (c *checker) floatOr(field string, value, fallback, low, high float64) float64 {
	if value == 0 {
		return fallback
	}
	return c.optionalFloat(field, value, low, high)
}

func (c *checker) fail(field, value, allowed string) {
	if c.failure == nil {
		c.failure = &ValueError{File: c.file, Field: field, Value: value, Allowed: allowed}
	}
}

func (c *checker) name(field, value string) string {
	if !namePattern.MatchString(value) {
		c.fail(field, value, "1 to 63 characters of a-z, 0-9 and -, the first not -")
	}
	return value
}

func (c *checker) address(field, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.fail(field, value, "an IP address and port such as 127.0.0.1:7001")
	}
	return address
}

func (c *checker) seeds(values []string) []netip.AddrPort {
	if len(values) > maxSeeds {
		c.fail("seeds", strconv.Itoa(len(values))+" addresses", "at most 8 addresses")
		return nil
	}
	var list []netip.AddrPort
	for _, v := range values {
		list = append(list, c.address("seeds", v))
	}
	return list
}

func (c *checker) hash(field, value string) string {
	raw, err := hex.DecodeString(value)
	if err != nil || len(raw) != tokenHashBytes && value != "" {
		c.fail(field, value, "64 hexadecimal digits or empty")
	}
	return value
}

func (c *checker) duration(field string, value *durationpb.Duration, fallback, low, high time.Duration) time.Duration {
	if value == nil {
		return fallback
	}
	if !value.IsValid() || value.AsDuration() < low || value.AsDuration() > high {
		c.fail(field, value.AsDuration().String(), low.String()+" to "+high.String())
	}
	return value.AsDuration()
}

func (c *checker) number(field string, value, fallback, low, high uint64) int {
	if value == 0 {
		return int(fallback)
	}
	if value < low || value > high {
		c.fail(field, strconv.FormatUint(value, 10), strconv.FormatUint(low, 10)+" to "+strconv.FormatUint(high, 10))
	}
	return int(value)
}

func (c *checker) oneOf(field, value, fallback string, others ...string) string {
	if value == "" {
		return fallback
	}
	allowed := append([]string{fallback}, others...)
	if !slices.Contains(allowed, value) {
		c.fail(field, value, strings.Join(allowed, " or "))
	}
	return value
}
