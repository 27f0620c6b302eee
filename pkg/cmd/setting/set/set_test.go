package set

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

func parseArgs(args ...string) (*Options, error) {
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

func TestArguments(t *testing.T) {
	for _, args := range [][]string{{}, {"/p"}, {"/p", "{}", "--delete"}, {"/p", "{}", "--file", "f"}, {"a", "b", "c"}} {
		_, err := parseArgs(args...)
		require.Error(t, err, args)
	}
	for _, args := range [][]string{{"/p", "{}"}, {"/p", "--delete"}, {"--file", "-"}, {"/p", "{}", "--if-revision", "0"}} {
		opts, err := parseArgs(args...)
		require.NoError(t, err, args)
		require.NotNil(t, opts)
	}
}

func TestChangeRequest(t *testing.T) {
	t.Run("compares the revision only if one is given", func(t *testing.T) {
		request, err := (&Options{Path: "/p", IfRevision: -1}).changeRequest(nil)
		require.NoError(t, err)
		require.False(t, request.GetEdits()[0].GetCompare())
		request, err = (&Options{Path: "/p", IfRevision: 0}).changeRequest(nil)
		require.NoError(t, err)
		require.True(t, request.GetEdits()[0].GetCompare())
	})
	t.Run("generates an operation id", func(t *testing.T) {
		request, err := (&Options{Path: "/p"}).changeRequest(nil)
		require.NoError(t, err)
		require.NotEmpty(t, request.GetOperationId())
	})
	t.Run("accepts comments in the file", func(t *testing.T) {
		request, err := (&Options{File: "-"}).changeRequest(strings.NewReader("{// note\n\"edits\": [{\"path\": \"/p\"}],}"))
		require.NoError(t, err)
		require.Len(t, request.GetEdits(), 1)
	})
	t.Run("rejects a file with an unknown field", func(t *testing.T) {
		_, err := (&Options{File: "-"}).changeRequest(strings.NewReader(`{"colour": 1}`))
		var flag *factory.FlagError
		require.ErrorAs(t, err, &flag)
	})
}
