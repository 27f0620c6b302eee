package main

import (
	"net/netip"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/emul"
)

func newCmdLayout() *cobra.Command {
	name, base, platform, servers := "", "", "", 0
	cfg := emul.LayoutConfig{}
	cmd := &cobra.Command{
		Use:   "layout",
		Short: "Write the settings files of a deployment's nodes, on loopback by default",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			deployment, err := emul.FindDeployment(name)
			if err != nil {
				return err
			}
			if cfg.BaseAddress, err = netip.ParseAddrPort(base); err != nil {
				return errors.Wrap(err, "parse --base")
			}
			if cfg.PlatformAddress, err = netip.ParseAddrPort(platform); err != nil {
				return errors.Wrap(err, "parse --platform")
			}
			if servers > 0 {
				deployment.ServersPerService = servers
			}
			return deployment.WriteLayout(cfg)
		},
	}
	cmd.Flags().StringVar(&name, "deployment", "gnomon", "Deployment: gnomon or kettle")
	cmd.Flags().IntVar(&cfg.MaxChildren, "max-children", 0, "Links that a node accepts from nodes below it; 0 means the default")
	cmd.Flags().IntVar(&servers, "servers", 0, "VMs of each service; 0 means as many as the deployment has")
	cmd.Flags().StringVar(&cfg.Directory, "directory", "", "Directory to write to")
	cmd.Flags().StringVar(&base, "base", "127.0.0.1:21000", "First address; each VM uses ten ports")
	cmd.Flags().StringVar(&platform, "platform", "127.0.0.1:20000", "Address of the platform")
	cmd.Flags().StringVar(&cfg.AdminTokenSHA256, "admin-token-sha256", "", "SHA-256 of the administrator's token")
	cmd.Flags().StringVar(&cfg.MovePolicy, "move-policy", "", "Setting move_policy of the nodes")
	cmd.Flags().StringVar(&cfg.PickPolicy, "pick-policy", "", "Setting pick_policy of the nodes")
	return cmd
}
