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
		Short:   "Send requests at fixed mean rates and print a report of their results",
		Example: `  standin caller --address 127.0.0.1:21000 --load '{"path": "/catalogue", "rate": 50}' --duration 10s`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := parseCallerFlags(&cfg, addresses, loads); err != nil {
				return err
			}
			records := emul.NewCaller(cfg).Run(cmd.Context())
			if err := writeHistory(history, records); err != nil {
				return err
			}
			return errors.Wrap(json.NewEncoder(os.Stdout).Encode(emul.NewReport(records)), "print report")
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "Addresses to send requests to")
	cmd.Flags().StringArrayVar(&loads, "load", nil, "Load in JSON; can be repeated")
	cmd.Flags().DurationVar(&cfg.Duration, "duration", 10*time.Second, "Duration")
	cmd.Flags().Uint64Var(&cfg.Seed, "seed", 1, "Seed")
	cmd.Flags().StringVar(&history, "history", "", "File to write the requests to, one JSON line each")
	return cmd
}

func parseCallerFlags(cfg *emul.CallerConfig, addresses, loads []string) error {
	for _, text := range addresses {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.Wrap(err, "parse --address")
		}
		cfg.Addresses = append(cfg.Addresses, address)
	}
	for _, text := range loads {
		var load emul.Load
		if err := json.Unmarshal([]byte(text), &load); err != nil {
			return errors.Wrap(err, "parse --load")
		}
		cfg.Loads = append(cfg.Loads, load)
	}
	return nil
}

func writeHistory(file string, records []emul.RequestRecord) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create history file")
	}
	w := bufio.NewWriter(f)
	encoder := json.NewEncoder(w)
	for _, r := range records {
		if err := encoder.Encode(r); err != nil {
			return errors.Wrap(err, "write history file")
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "write history file")
	}
	return errors.Wrap(f.Close(), "close history file")
}
