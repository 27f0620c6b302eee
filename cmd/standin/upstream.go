package main

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/emul"
)

func newCmdUpstream() *cobra.Command {
	address, node, fault := "", "", ""
	cfg := emul.UpstreamConfig{}
	cmd := &cobra.Command{
		Use:   "upstream",
		Short: "Emulate an upstream",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if cfg.Address, err = netip.ParseAddrPort(address); err != nil {
				return errors.Wrap(err, "parse --address")
			}
			if cfg.NodeAddress, err = netip.ParseAddrPort(node); err != nil {
				return errors.Wrap(err, "parse --node")
			}
			if err := json.Unmarshal([]byte(fault), &cfg.Fault); err != nil {
				return errors.Wrap(err, "parse --fault")
			}
			return emul.NewUpstream(cfg).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&address, "address", "", "Address to serve")
	cmd.Flags().StringVar(&node, "node", "", "Address where the node receives announcements")
	cmd.Flags().StringVar(&fault, "fault", "{}", "Fault in JSON")
	cmd.Flags().StringVar(&cfg.Service, "service", "", "Service")
	cmd.Flags().StringVar(&cfg.Version, "version", "v1", "Version")
	cmd.Flags().IntVar(&cfg.Slots, "slots", 12, "Limit of calls that run at the same time")
	cmd.Flags().IntVar(&cfg.Connections, "connections", 120, "Connections")
	cmd.Flags().DurationVar(&cfg.ServiceTime, "service-time", 2*time.Millisecond, "Mean duration of a call")
	cmd.Flags().DurationVar(&cfg.ColdStartDuration, "cold-start", 0, "Duration of the cold start, from the first call on")
	cmd.Flags().DurationVar(&cfg.ColdStartDelay, "cold-delay", 0, "Delay added to each call during the cold start")
	cmd.Flags().BoolVar(&cfg.SkipDeregistration, "silent", false, "Stop without deregistering from the node")
	return cmd
}
