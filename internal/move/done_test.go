package move

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/emul"
	"github.com/turmericdale/turmericdale/internal/local"
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/store"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against a version that nodes refuse because of a verdict although its move is recorded as done, when the operator may already
// have stopped the servers of the version before.
func TestVerdictBesideTheEndOfAMove(t *testing.T) {
	tests := []struct {
		state         wirepb.MoveState
		done          bool
		refusal       wirepb.Refusal
		stableVersion string
	}{
		{wirepb.MoveState_MOVE_STATE_RUNNING, false, wirepb.Refusal_REFUSAL_WITHDRAWN, "v1"},
		{wirepb.MoveState_MOVE_STATE_WATCHING, false, wirepb.Refusal_REFUSAL_WITHDRAWN, "v1"},
		{wirepb.MoveState_MOVE_STATE_TAKEN_BACK, false, wirepb.Refusal_REFUSAL_WITHDRAWN, "v1"},
		{wirepb.MoveState_MOVE_STATE_DONE, true, wirepb.Refusal_REFUSAL_UNSPECIFIED, "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.state.String(), func(t *testing.T) {
			o := newOrders(t, "v1")
			o.declare("v2")
			o.end(tt.state)
			service, verdicts := o.service(), NewVerdicts()
			verdicts.Merge(verdictOn(service))
			require.Equal(t, tt.refusal, CheckExposure(service, local.Exposure{Version: "v2"}, verdicts, false))
			require.Equal(t, tt.stableVersion, verdicts.StableVersion(service))
			require.Zero(t, verdicts.SharePermille(service))
			require.Equal(t, tt.done, verdicts.EffectiveRecord(service.MoveRecord, o.now).GetState() == wirepb.MoveState_MOVE_STATE_DONE)
			require.Equal(t, !tt.done, verdicts.Rejected(service.MoveRecord))
		})
	}
}

func verdictOn(service *tree.Service) *wirepb.Verdict {
	return &wirepb.Verdict{Service: service.Name, Version: "v2", Reason: "slow", DeclaredRevision: service.MoveRecord.GetDeclaredRevision()}
}

// newRacingController returns the controller of a node that reads changes only when it commits some.
func newRacingController(t *testing.T, address netip.AddrPort) *Controller {
	t.Helper()
	log := oplog.New(oplog.Config{Store: store.New(store.Config{Address: address}), Logger: zap.NewNop(), Now: time.Now})
	go log.RunCommitter(t.Context())
	return New(Config{Node: "n", Logger: zap.NewNop(), Now: time.Now, Log: log, Verdicts: NewVerdicts()})
}

// declareMove declares a move of the service shop from v1 to v2.
func declareMove(t *testing.T, c *Controller) {
	t.Helper()
	deadline := time.Now().Add(time.Hour).Format(time.RFC3339)
	for _, e := range []*wirepb.Edit{
		{Path: "/teams/shop/services/shop", Value: `{"version": "v1"}`},
		{Path: "/teams/shop/moves/shop", Value: `{"version": "v2", "deadline": "` + deadline + `"}`},
	} {
		_, err := c.cfg.Log.Submit(t.Context(), e.GetPath(), func(state *tree.State) (*wirepb.Change, error) {
			return state.NewChange(tree.Administrator, []*wirepb.Edit{e}, time.Now())
		})
		require.NoError(t, err)
	}
}

func (c *Controller) record() *wirepb.MoveRecord {
	return c.cfg.Log.State().Services["shop"].MoveRecord
}

func (c *Controller) write(ctx context.Context, before *wirepb.MoveRecord, state wirepb.MoveState) error {
	after := proto.CloneOf(before)
	after.State = state
	return c.writeRecord(ctx, before, after)
}

// Guards against two decisions on the end of a move that both seem to succeed.
func TestOneEndOfAMoveIsRecorded(t *testing.T) {
	server := httptest.NewServer(emul.NewPlatform(emul.PlatformConfig{}).Handler())
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	first, second := newRacingController(t, address), newRacingController(t, address)
	declareMove(t, first)
	require.NoError(t, second.cfg.Log.Sync(t.Context()))
	require.NoError(t, first.write(t.Context(), first.record(), wirepb.MoveState_MOVE_STATE_DONE))

	var ended *EndedError
	require.ErrorAs(t, second.TakeBack(t.Context(), "shop", "operator"), &ended)
	require.Equal(t, wirepb.MoveState_MOVE_STATE_DONE, second.record().GetState())
	service := second.cfg.Log.State().Services["shop"]
	require.Equal(t, wirepb.Refusal_REFUSAL_UNSPECIFIED, CheckExposure(service, local.Exposure{Version: "v2"}, second.cfg.Verdicts, false))
	second.processService(t.Context(), "shop", true)
	require.Equal(t, wirepb.MoveState_MOVE_STATE_DONE, second.record().GetState())
}

// Guards against a decider that records a move as done after it learned of a verdict.
func TestRejectedMoveIsNotRecordedAsDone(t *testing.T) {
	server := httptest.NewServer(emul.NewPlatform(emul.PlatformConfig{}).Handler())
	t.Cleanup(server.Close)
	c := newRacingController(t, netip.MustParseAddrPort(server.Listener.Addr().String()))
	declareMove(t, c)
	before := c.record()
	c.cfg.Verdicts.Merge(verdictOn(c.cfg.Log.State().Services["shop"]))
	var conflict *ConflictError
	require.ErrorAs(t, c.write(t.Context(), before, wirepb.MoveState_MOVE_STATE_DONE), &conflict)
	require.NoError(t, c.write(t.Context(), before, wirepb.MoveState_MOVE_STATE_TAKEN_BACK))
	require.Equal(t, wirepb.MoveState_MOVE_STATE_TAKEN_BACK, c.record().GetState())
}
