package main

import (
	"bufio"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/emul"
)

func newCmdCaller() *cobra.Command {
	var addresses, loads []string
	history := ""
	cfg := emul.CallerConfig{}
	cmd := &cobra.Command{
		Use:     "caller",
		Short:   "Send requests at fixed rates and report what came of them",
		Example: `  standin caller --address 127.0.0.1:21000 --load '{"path": "/catalogue", "rate": 50}' --duration 10s`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := parseCaller(&cfg, addresses, loads); err != nil {
				return err
			}
			events := emul.NewCaller(cfg).Run(cmd.Context())
			if err := writeHistory(history, events); err != nil {
				return err
			}
			return errors.Wrap(json.NewEncoder(os.Stdout).Encode(emul.NewReport(events)), "print")
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "Addresses of nodes")
	cmd.Flags().StringArrayVar(&loads, "load", nil, "Load in JSON")
	cmd.Flags().DurationVar(&cfg.Duration, "duration", 10*time.Second, "Duration")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "Seed")
	cmd.Flags().StringVar(&history, "history", "", "File for the history, a JSON line a request")
	return cmd
}

func parseCaller(cfg *emul.CallerConfig, addresses, loads []string) error {
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrap(err, "address")
		}
		cfg.Addresses = append(cfg.Addresses, address)
	}
	for _, text := range loads {
		var load emul.Load
		if err := json.Unmarshal([]byte(text), &load); err != nil {
			return errors.Wrap(err, "load")
		}
		cfg.Loads = append(cfg.Loads, load)
	}
	return nil
}

func writeHistory(file string, events []emul.RequestRecord) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create history")
	}
	w := bufio.NewWriter(f)
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return errors.Wrap(err, "write history")
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write history")
	}
	return errors.Wrap(f.Close(), "close history")
}
