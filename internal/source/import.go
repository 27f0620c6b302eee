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
	// feedWait bounds one wait for changes; a feed whose connection went silent is found out by keep-alive before.
	feedWait = 10 * time.Second
	// rankPause is how long each importer leaves a row to the one before it: a commit takes a few round trips.
	rankPause = 120 * time.Millisecond
	// restPause is the pause between two answers of the feed, in which changes in quick succession are joined.
	restPause  = 100 * time.Millisecond
	retryPause = 150 * time.Millisecond
	idlePause  = 100 * time.Millisecond
	pageRows   = 500
	// orderWatch is the time for which an ordered version is watched at full share before the old one may stop.
	orderWatch = 1500 * time.Millisecond
)

// Config configures an Importer.
type Config struct {
	Logger *zap.Logger
	Now    func() time.Time
	Store  *store.Client
	Log    *oplog.Log
	// Rank returns this node's place among the nodes that import, or a negative number when it does not.
	Rank func() int
	// OnInvalidRow is called for each row that cannot be read.
	OnInvalidRow func()
}

// Importer follows the operator's table and commits what it declares.
type Importer struct {
	cfg Config
	// seen is the version up to which the table was read, or 0.
	seen uint64
	rows map[string]*wirepb.Row
	// refused holds the versions of rows that cannot be read.
	refused map[string]uint64
}

// New returns an importer that has read nothing.
func New(cfg Config) *Importer {
	return &Importer{cfg: cfg, rows: map[string]*wirepb.Row{}, refused: map[string]uint64{}}
}

// Run imports until the context ends, whenever this node has a rank.
func (i *Importer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if i.cfg.Rank() < 0 {
			i.seen = 0
			pause(ctx, idlePause)
			continue
		}
		if err := i.read(ctx); err != nil {
			pause(ctx, retryPause/2+rand.N(retryPause))
			continue
		}
		i.importAll(ctx)
		pause(ctx, restPause)
	}
}

// read waits for changed rows; history that the platform dropped makes it read the whole table.
func (i *Importer) read(ctx context.Context) error {
	if i.seen == 0 {
		return i.readAll(ctx)
	}
	changed, err := i.cfg.Store.Feed(ctx, platform.OperatorTable, i.seen, feedWait)
	var dropped *store.HistoryExpiredError
	if errors.As(err, &dropped) {
		i.cfg.Logger.Info("operator's history dropped", zap.Uint64("after", i.seen))
		return i.readAll(ctx)
	}
	if err != nil {
		return err
	}
	i.take(changed)
	return nil
}

func (i *Importer) readAll(ctx context.Context) error {
	from := ""
	for {
		page, err := i.cfg.Store.TablePage(ctx, platform.OperatorTable, from, "", pageRows)
		if err != nil {
			return err
		}
		i.take(page)
		if !page.More || len(page.Rows) == 0 {
			return nil
		}
		from = page.Rows[len(page.Rows)-1].GetKey() + "\x00"
	}
}

func (i *Importer) take(page *platform.Rows) {
	for _, r := range page.Rows {
		if r.GetVersion() > i.rows[r.GetKey()].GetVersion() {
			i.rows[r.GetKey()] = r
		}
	}
	i.seen = max(i.seen, page.Version)
}

// importAll commits the rows that the changes do not hold yet: the configuration before the orders that rest on it.
func (i *Importer) importAll(ctx context.Context) {
	for _, wanted := range []func(row *wirepb.Row) bool{platform.IsConfig, platform.IsMoveOrder} {
		for _, row := range i.rows {
			if wanted(row) && !row.GetDeleted() && !i.known(row) {
				i.commit(ctx, row)
			}
		}
	}
}

// known reports whether the changes hold a row, or whether it cannot be read.
func (i *Importer) known(row *wirepb.Row) bool {
	if i.refused[row.GetKey()] == row.GetVersion() {
		return true
	}
	state := i.cfg.Log.State()
	if platform.IsConfig(row) {
		return state.OperatorConfigVersion >= row.GetVersion()
	}
	return state.MoveOrderVersions[row.GetKey()] >= row.GetVersion()
}

func (i *Importer) commit(ctx context.Context, row *wirepb.Row) {
	if rank := i.cfg.Rank(); rank > 0 {
		i.await(ctx, row, time.Duration(rank)*rankPause)
	}
	if i.known(row) || ctx.Err() != nil {
		return
	}
	build, err := i.builder(row)
	if err != nil {
		i.refuse(row, err)
		return
	}
	revision, err := i.cfg.Log.Submit(ctx, row.GetKey()+"-"+strconv.FormatUint(row.GetVersion(), 10), build)
	var known *AlreadyAppliedError
	var value *tree.ValueError
	var path *tree.PathError
	switch {
	case err == nil:
		i.cfg.Logger.Info("operator's row in force", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Uint64("revision", revision))
	case errors.As(err, &known):
	case platform.IsConfig(row) && (errors.As(err, &value) || errors.As(err, &path)):
		i.refuse(row, err)
	default:
		i.cfg.Logger.Info("operator's row not taken in yet", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Error(err))
		if !errors.As(err, &value) {
			i.seen = 0
		}
	}
}

// await leaves a row to the importers before this one for a time.
func (i *Importer) await(ctx context.Context, row *wirepb.Row, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !i.known(row) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-i.cfg.Log.Changed():
		}
	}
}

func (i *Importer) refuse(row *wirepb.Row, err error) {
	i.refused[row.GetKey()] = row.GetVersion()
	i.cfg.OnInvalidRow()
	i.cfg.Logger.Warn("operator's row refused", zap.String("row", row.GetKey()), zap.Uint64("row_version", row.GetVersion()), zap.Error(err))
}

func (i *Importer) builder(row *wirepb.Row) (oplog.BuildFunc, error) {
	if platform.IsConfig(row) {
		values, err := platform.DecodeConfig(row)
		if err != nil {
			return nil, err
		}
		return func(state *tree.State) (*wirepb.Change, error) { return i.configChange(state, row, values) }, nil
	}
	order, err := platform.DecodeMoveOrder(row)
	if err != nil {
		return nil, err
	}
	received := i.cfg.Now()
	return func(state *tree.State) (*wirepb.Change, error) { return i.orderChange(state, row, order, received) }, nil
}

// configChange sets what differs from the operator's configuration and deletes what it no longer declares.
func (i *Importer) configChange(state *tree.State, row *wirepb.Row, values map[string]string) (*wirepb.Change, error) {
	if state.OperatorConfigVersion >= row.GetVersion() {
		return nil, &AlreadyAppliedError{Key: row.GetKey(), Version: row.GetVersion()}
	}
	change := i.newChange(state)
	change.SourceVersion = row.GetVersion()
	have := map[string]bool{}
	for _, entry := range state.Entries("/") {
		value, wanted := values[entry.GetPath()]
		switch {
		case wanted:
			have[entry.GetPath()] = entry.GetValue() == value
		case declared(entry.GetPath()):
			change.Puts = append(change.Puts, &wirepb.Put{Path: entry.GetPath(), Delete: true})
			change.Puts = append(change.Puts, moveOf(state, entry.GetPath())...)
		}
	}
	for path, value := range values {
		if !have[path] {
			change.Puts = append(change.Puts, &wirepb.Put{Path: path, Value: value})
		}
	}
	return change, nil
}

// declared reports whether the operator's configuration is what sets a path.
func declared(path string) bool {
	return path == tree.LimitsPath || strings.HasPrefix(path, "/teams/"+platform.OperatorTeam+"/routes/") || strings.HasPrefix(path, servicePrefix)
}

const servicePrefix = "/teams/" + platform.OperatorTeam + "/services/"

// moveOf deletes the move of a service that is deleted.
func moveOf(state *tree.State, path string) []*wirepb.Put {
	service, is := strings.CutPrefix(path, servicePrefix)
	if !is {
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
	return &wirepb.Change{Revision: state.Revision + 1, Author: "operator", Time: timestamppb.New(i.cfg.Now())}
}

// orderChange declares the move that the operator orders.
func (i *Importer) orderChange(state *tree.State, row *wirepb.Row, order platform.MoveOrder, received time.Time) (*wirepb.Change, error) {
	if state.MoveOrderVersions[row.GetKey()] >= row.GetVersion() {
		return nil, &AlreadyAppliedError{Key: row.GetKey(), Version: row.GetVersion()}
	}
	setting := &wirepb.MoveSetting{
		Version: order.TargetVersion, Deadline: timestamppb.New(received.Add(order.Duration)), Order: order.RowVersion,
		AtDeadline: wirepb.DeadlinePolicy_DEADLINE_POLICY_FINISH, Watch: durationpb.New(orderWatch),
	}
	value, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(setting)
	if err != nil {
		return nil, errors.Wrap(err, "encode move")
	}
	change, err := state.NewChange(tree.Administrator, []*wirepb.Edit{{Path: movePath(order.Service), Value: string(value)}}, i.cfg.Now())
	if err != nil {
		return nil, err
	}
	change.Author, change.Order = "operator", &wirepb.OrderMark{Row: row.GetKey(), Version: row.GetVersion()}
	return change, nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
