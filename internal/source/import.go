package source

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	// feedWait is how long the importers that back up others wait for changes, promptFeedWait how long the first promptImporters do. An
	// answer that is lost looks like an unchanged table until the wait is over, so the first importers wait for less than the users' time
	// limit for configuration; the others save operations, which are charged.
	feedWait        = 10 * time.Second
	promptFeedWait  = time.Second
	promptImporters = 2
	// feedPatience is how long the answer to a feed may take beyond its wait. It doubles with each of the first feeds in a row that are not
	// answered, so that a slow store is read all the same.
	feedPatience         = 500 * time.Millisecond
	maxPatienceDoublings = 2
	// rankDelay, times its rank, is how long an importer waits for those of lower rank to commit a row: a commit takes a few
	// round trips.
	rankDelay = 120 * time.Millisecond
	// batchDelay is the pause between two reads of the feed, so that changes in quick succession are read together.
	batchDelay       = 100 * time.Millisecond
	retryDelay       = 150 * time.Millisecond
	idlePollInterval = 100 * time.Millisecond
	maxPageRows      = 500
	// orderWatchDuration is how long an ordered version is watched at full share before the stable version may stop.
	orderWatchDuration = 1500 * time.Millisecond
)

// operatorAuthor is the author of the changes that import operator rows.
const operatorAuthor = "operator"

// Config configures an Importer.
type Config struct {
	Logger *zap.Logger
	Now    func() time.Time
	Store  *store.Client
	Log    *oplog.Log
	// Rank returns the position of this node among those that import, from 0, or a negative number if it does not import.
	Rank func() int
	// OnInvalidRow is called for each row version that cannot be decoded or holds an invalid configuration, and for each entry of a
	// configuration that was left out.
	OnInvalidRow func()
}

// Importer follows the operator table and commits its configuration and move orders to the oplog.
type Importer struct {
	cfg Config
	// cursor is the version up to which the table has been read; 0 means that the whole table must be read.
	cursor uint64
	// failedFeeds is the number of feeds in a row that failed.
	failedFeeds int
	rows        map[string]*wirepb.Row
	// fullRead is the newest read of the whole table, or nil once the evacuations that it lacks have been found.
	fullRead *fullRead
	// readAt holds the times at which the rows were read.
	readAt map[string]time.Time
	// invalid holds the latest invalid version of a row, by its key.
	invalid map[string]uint64
	decoder platform.ConfigDecoder
	checker entryChecker
	// reported holds the faults of entries that have been logged, as far as the newest configuration has them.
	reported map[string]bool
	// era is the store's era in which the rows were read, eraSince when this importer learned of it.
	era      uint64
	eraSince time.Time
}

// New returns an importer that has read nothing.
func New(cfg Config) *Importer {
	return &Importer{cfg: cfg, rows: map[string]*wirepb.Row{}, readAt: map[string]time.Time{}, invalid: map[string]uint64{}}
}

// Run imports until the context ends, while this node has a rank.
func (i *Importer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if i.cfg.Rank() < 0 {
			i.cursor = 0
			sleep(ctx, idlePollInterval)
			continue
		}
		if err := i.readChanges(ctx); err != nil {
			sleep(ctx, retryDelay/2+rand.N(retryDelay))
			continue
		}
		i.importAll(ctx)
		sleep(ctx, batchDelay)
	}
}

// readChanges waits for changed rows; it reads the whole table first, and again when the change history has expired.
func (i *Importer) readChanges(ctx context.Context) error {
	if i.cursor == 0 {
		return i.readTable(ctx)
	}
	changed, err := i.readFeed(ctx)
	var expired *store.HistoryExpiredError
	if errors.As(err, &expired) {
		i.cfg.Logger.Info("change history expired; reading the whole operator table", zap.Uint64("after_version", i.cursor))
		return i.readTable(ctx)
	}
	if err != nil {
		i.failedFeeds++
		return err
	}
	i.failedFeeds = 0
	if changed.Era != i.era {
		return i.readTable(ctx)
	}
	i.applyPage(changed)
	return nil
}

// readFeed waits for changed rows. A feed that it gives up out of patience says nothing about the store, which may only be slow.
func (i *Importer) readFeed(ctx context.Context) (*platform.Rows, error) {
	wait, patience := i.nextFeedWait(), feedPatience<<min(i.failedFeeds, maxPatienceDoublings)
	feedContext, giveUp := context.WithCancel(ctx)
	defer giveUp()
	timer := time.AfterFunc(wait+patience, giveUp)
	defer timer.Stop()
	changed, err := i.cfg.Store.Feed(feedContext, platform.OperatorTable, i.cursor, wait)
	if err != nil && feedContext.Err() != nil && ctx.Err() == nil {
		i.cfg.Logger.Info("feed of the operator table not answered", zap.Uint64("after_version", i.cursor), zap.Duration("wait", wait), zap.Duration("patience", patience))
	}
	return changed, err
}

// nextFeedWait returns how long to wait for changes. After a feed that failed, the table is read without a wait: changes may have been missed.
func (i *Importer) nextFeedWait() time.Duration {
	wait := feedWait
	switch {
	case i.failedFeeds > 0:
		return 0
	case i.cfg.Rank() < promptImporters:
		wait = promptFeedWait
	}
	if remaining, pending := i.untilMissingRowsCount(); pending {
		wait = min(wait, max(remaining, minFeedWait))
	}
	return wait
}

func (i *Importer) readTable(ctx context.Context) error {
	from, first, present := "", uint64(0), map[string]bool{}
	for {
		page, err := i.cfg.Store.TablePage(ctx, platform.OperatorTable, from, "", maxPageRows)
		if err != nil {
			return err
		}
		if page.Era != i.era {
			i.enterEra(page.Era)
			if from != "" {
				// The pages before came from another era.
				from, first = "", 0
				continue
			}
		}
		i.applyPage(page)
		for _, r := range page.Rows {
			present[r.GetKey()] = true
		}
		if first == 0 {
			first = page.Version
		}
		if !page.More || len(page.Rows) == 0 {
			// Rows of earlier pages may have changed since: the feed must go on from the first page.
			i.cursor = first
			i.fullRead = &fullRead{present: present, version: first}
			return nil
		}
		from = page.Rows[len(page.Rows)-1].GetKey() + "\x00"
	}
}

func (i *Importer) applyPage(page *platform.Rows) {
	for _, r := range page.Rows {
		if r.GetVersion() > i.rows[r.GetKey()].GetVersion() {
			i.rows[r.GetKey()], i.readAt[r.GetKey()] = r, i.cfg.Now()
		}
	}
	i.cursor = max(i.cursor, page.Version)
}

// importAll commits the rows that the oplog does not hold yet: the configuration first, since move orders depend on it.
func (i *Importer) importAll(ctx context.Context) {
	i.removeMissingEvacuations()
	for _, wanted := range []func(row *wirepb.Row) bool{platform.IsConfig, platform.IsEvacuation, platform.IsMoveOrder} {
		for _, row := range i.rows {
			if wanted(row) && (!row.GetDeleted() || platform.IsEvacuation(row)) && !i.isProcessed(row) {
				i.commit(ctx, row)
			}
		}
	}
}

// isProcessed reports whether the oplog holds this version of a row or a later one, or whether this version is invalid.
func (i *Importer) isProcessed(row *wirepb.Row) bool {
	if i.invalid[row.GetKey()] == row.GetVersion() {
		return true
	}
	state := i.cfg.Log.State()
	if platform.IsConfig(row) {
		return state.OperatorConfigVersion >= i.position(row)
	}
	if platform.IsEvacuation(row) && isEvacuationProcessed(state, row) {
		return true
	}
	return state.MoveOrderVersions[row.GetKey()] >= i.position(row)
}

func (i *Importer) commit(ctx context.Context, row *wirepb.Row) {
	if rank := i.cfg.Rank(); rank > 0 {
		i.waitForOtherImporters(ctx, row, time.Duration(rank)*rankDelay)
	}
	if i.isProcessed(row) || ctx.Err() != nil {
		return
	}
	started := i.cfg.Now()
	build, config, err := i.buildFunc(row)
	if err != nil {
		i.markInvalid(row, err)
		return
	}
	revision, err := i.cfg.Log.Submit(ctx, i.operationID(row), build)
	if config != nil {
		i.reportFaults(row, config)
	}
	var applied *AlreadyAppliedError
	var older *OlderConfigError
	var invalidValue *tree.ValueError
	var invalidPath *tree.PathError
	switch {
	case err == nil:
		i.cfg.Logger.Info("operator row committed", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Bool("removed", row.GetDeleted()), zap.Uint64("revision", revision),
			zap.Duration("waited", started.Sub(i.readAt[row.GetKey()])), zap.Duration("committed_in", i.cfg.Now().Sub(started)))
	case errors.As(err, &applied):
	case errors.As(err, &older):
		i.invalid[row.GetKey()] = row.GetVersion()
		i.cfg.Logger.Info("configuration of the restored copy not applied", zap.Uint64("row_version", row.GetVersion()), zap.Error(err))
	case !platform.IsMoveOrder(row) && (errors.As(err, &invalidValue) || errors.As(err, &invalidPath)):
		i.markInvalid(row, err)
	default:
		i.cfg.Logger.Info("could not commit operator row; will retry", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Error(err))
		if !errors.As(err, &invalidValue) {
			// Reading the whole table again retries without waiting for a changed row. An order with an invalid value does
			// wait for one, since it may depend on a configuration that has not been imported yet.
			i.cursor = 0
		}
	}
}

func (i *Importer) operationID(row *wirepb.Row) string {
	id := row.GetKey() + "-" + strconv.FormatUint(i.position(row), 10)
	if row.GetDeleted() {
		id += "-removed"
	}
	return id
}

// waitForOtherImporters waits until an importer of lower rank has committed a row, or for at most wait.
func (i *Importer) waitForOtherImporters(ctx context.Context, row *wirepb.Row, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !i.isProcessed(row) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-i.cfg.Log.Changed():
		}
	}
}

func (i *Importer) markInvalid(row *wirepb.Row, err error) {
	i.invalid[row.GetKey()] = row.GetVersion()
	i.cfg.OnInvalidRow()
	i.cfg.Logger.Warn("invalid operator row ignored", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Error(err))
}

// buildFunc returns the function that builds the change of a row, and the configuration that the row holds, if it does.
func (i *Importer) buildFunc(row *wirepb.Row) (oplog.BuildFunc, *checkedConfig, error) {
	if platform.IsConfig(row) {
		decoded, err := i.decoder.Decode(row)
		if err != nil {
			return nil, nil, err
		}
		config := i.checker.check(decoded)
		return func(state *tree.State) (*wirepb.Change, error) { return i.configChange(state, row, config) }, config, nil
	}
	if platform.IsEvacuation(row) {
		build, err := i.evacuationFunc(row)
		return build, nil, err
	}
	order, err := platform.DecodeMoveOrder(row)
	if err != nil {
		return nil, nil, err
	}
	received := i.cfg.Now()
	return func(state *tree.State) (*wirepb.Change, error) { return i.orderChange(state, row, order, received) }, nil, nil
}

// configChange sets the entries that differ from the operator's configuration and deletes those that it no longer declares.
func (i *Importer) configChange(state *tree.State, row *wirepb.Row, config *checkedConfig) (*wirepb.Change, error) {
	if state.OperatorConfigVersion >= i.position(row) {
		return nil, &AlreadyAppliedError{Key: row.GetKey(), Version: row.GetVersion()}
	}
	if platform.PositionEra(state.OperatorConfigVersion) < i.era && config.Number < state.OperatorConfigNumber {
		return nil, &OlderConfigError{Number: config.Number, InForce: state.OperatorConfigNumber}
	}
	values, err := config.values(state)
	if err != nil {
		return nil, err
	}
	change := i.newChange(state)
	change.SourceVersion = i.position(row)
	if i.cfg.Store.NamesEra() {
		change.ConfigVersion = config.Number
	}
	upToDate := map[string]bool{}
	for _, entry := range state.Entries("/") {
		value, declared := values[entry.GetPath()]
		switch {
		case declared:
			upToDate[entry.GetPath()] = entry.GetValue() == value
		case isOperatorPath(entry.GetPath()):
			change.Puts = append(change.Puts, &wirepb.Put{Path: entry.GetPath(), Delete: true})
			change.Puts = append(change.Puts, moveDeletions(state, entry.GetPath())...)
		}
	}
	for path, value := range values {
		if !upToDate[path] {
			change.Puts = append(change.Puts, &wirepb.Put{Path: path, Value: value})
		}
	}
	return change, nil
}

// isOperatorPath reports whether a path is one that the operator's configuration sets.
func isOperatorPath(path string) bool {
	return path == tree.LimitsPath || path == tree.IgnoredPath || strings.HasPrefix(path, "/teams/"+platform.OperatorTeam+"/routes/") || strings.HasPrefix(path, servicePrefix) ||
		strings.HasPrefix(path, "/teams/"+platform.OperatorTeam+"/workspaces/")
}

const servicePrefix = "/teams/" + platform.OperatorTeam + "/services/"

// moveDeletions returns the deletions of the move of a service that is deleted; for other paths, nothing.
func moveDeletions(state *tree.State, path string) []*wirepb.Put {
	service, isService := strings.CutPrefix(path, servicePrefix)
	if !isService {
		return nil
	}
	var puts []*wirepb.Put
	for _, p := range []string{tree.MoveRecordPath(service), movePath(service)} {
		if state.Entry(p) != nil {
			puts = append(puts, &wirepb.Put{Path: p, Delete: true})
		}
	}
	return puts
}

func movePath(service string) string { return "/teams/" + platform.OperatorTeam + "/moves/" + service }

func (i *Importer) newChange(state *tree.State) *wirepb.Change {
	return &wirepb.Change{Revision: state.Revision + 1, Author: operatorAuthor, Time: timestamppb.New(i.cfg.Now())}
}

// orderChange declares the move that an operator row orders, with the deadline counted from the receipt of the order.
func (i *Importer) orderChange(state *tree.State, row *wirepb.Row, order platform.MoveOrder, received time.Time) (*wirepb.Change, error) {
	if state.MoveOrderVersions[row.GetKey()] >= i.position(row) {
		return nil, &AlreadyAppliedError{Key: row.GetKey(), Version: row.GetVersion()}
	}
	mark := &wirepb.OrderMark{Row: row.GetKey(), Version: i.position(row)}
	if i.isRepeated(state, order) {
		change := i.newChange(state)
		change.Order = mark
		return change, nil
	}
	setting := &wirepb.MoveSetting{
		Version: order.TargetVersion, Deadline: timestamppb.New(received.Add(order.Duration)), Order: i.position(row),
		AtDeadline: wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH, Watch: durationpb.New(orderWatchDuration),
	}
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(setting)
	if err != nil {
		return nil, errors.Wrap(err, "encode move")
	}
	change, err := state.NewChange(tree.Administrator, []*wirepb.Edit{{Path: movePath(order.Service), Value: string(value)}}, i.cfg.Now())
	if err != nil {
		return nil, err
	}
	change.Author, change.Order = operatorAuthor, mark
	return change, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
