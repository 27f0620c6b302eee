package main

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/emul"
)

const headerTimeout = 5 * time.Second

func newCmdPlatform() *cobra.Command {
	address, cfg := "", emul.PlatformConfig{}
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Emulate the platform's table and object store",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), address, emul.NewPlatform(cfg).Handler())
		},
	}
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:20000", "Address to serve")
	cmd.Flags().Float64Var(&cfg.WritesPerSecond, "writes", 300, "Limit of writes a second; 0 means none")
	cmd.Flags().Float64Var(&cfg.ReadsPerSecond, "reads", 2000, "Limit of reads a second; 0 means none")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "Seed of the faults")
	return cmd
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return errors.Wrap(err, "parse --address")
	}
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve platform")
	}
	return nil
}
