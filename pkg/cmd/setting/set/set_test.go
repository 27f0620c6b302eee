package set

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

func parse(args ...string) (*Options, error) {
	var got *Options
	cmd := NewCmdSet(&factory.Factory{}, func(_ context.Context, opts *Options) error {
		got = opts
		return nil
	})
	cmd.SetArgs(args)
	cmd.SetOut(&bytes.Buffer{})
	cmd.SetErr(&bytes.Buffer{})
	err := cmd.Execute()
	return got, err
}

func TestFlags(t *testing.T) {
	for _, args := range [][]string{{}, {"/p"}, {"/p", "{}", "--delete"}, {"/p", "{}", "--file", "f"}, {"a", "b", "c"}} {
		_, err := parse(args...)
		require.Error(t, err, args)
	}
	for _, args := range [][]string{{"/p", "{}"}, {"/p", "--delete"}, {"--file", "-"}, {"/p", "{}", "--if-revision", "0"}} {
		opts, err := parse(args...)
		require.NoError(t, err, args)
		require.NotNil(t, opts)
	}
}

func TestRequest(t *testing.T) {
	t.Run("compares only when asked to", func(t *testing.T) {
		request, err := (&Options{Path: "/p", IfRevision: -1}).request(nil)
		require.NoError(t, err)
		require.False(t, request.GetEdits()[0].GetCompare())
		request, err = (&Options{Path: "/p", IfRevision: 0}).request(nil)
		require.NoError(t, err)
		require.True(t, request.GetEdits()[0].GetCompare())
	})
	t.Run("always names its operation", func(t *testing.T) {
		request, err := (&Options{Path: "/p"}).request(nil)
		require.NoError(t, err)
		require.NotEmpty(t, request.GetOperationId())
	})
	t.Run("reads edits with comments", func(t *testing.T) {
		request, err := (&Options{File: "-"}).request(strings.NewReader("{// note\n\"edits\": [{\"path\": \"/p\"}],}"))
		require.NoError(t, err)
		require.Len(t, request.GetEdits(), 1)
	})
	t.Run("refuses a file that holds something else", func(t *testing.T) {
		_, err := (&Options{File: "-"}).request(strings.NewReader(`{"colour": 1}`))
		var flag *factory.FlagError
		require.ErrorAs(t, err, &flag)
	})
}
