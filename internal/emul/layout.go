package emul

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const (
	portsPerVM = 10
	// upstreamPort is the offset of the first version's port; the next versions follow.
	upstreamPort = 4
	layoutMode   = 0o600
)

// Deployment is the size of one customer's deployment.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []string
	// ServersPerService is the number of servers of each service.
	ServersPerService int
	Slots             int
	Connections       int
}

// UnknownDeploymentError says that there is no deployment of a name.
type UnknownDeploymentError struct {
	Name string
}

func (e *UnknownDeploymentError) Error() string {
	return "no deployment " + e.Name + ": use gnomon or kettle"
}

// FindDeployment returns a deployment by name; it returns *UnknownDeploymentError.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "gnomon":
		return Deployment{
			Name: name, Region: "leinster", DataCentres: []string{"leinster-a", "leinster-b", "leinster-c"},
			Services: []string{"catalogue", "orders", "templates", "archive"}, ServersPerService: 3, Slots: 12, Connections: 120,
		}, nil
	case "kettle":
		return Deployment{
			Name: name, Region: "bc-south", DataCentres: []string{"bc-south-a", "bc-south-b", "bc-south-c", "bc-south-d"},
			Services: []string{"viewer", "signoff", "archive", "rodbook"}, ServersPerService: 4, Slots: 18, Connections: 110,
		}, nil
	}
	return Deployment{}, &UnknownDeploymentError{Name: name}
}

// VM is one VM of a deployment with the ports of its processes.
type VM struct {
	Node        string
	DataCentre  string
	Service     string
	BaseAddress netip.AddrPort
}

func (v VM) at(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(v.BaseAddress.Addr(), v.BaseAddress.Port()+offset)
}

// CallerAddress returns the address for callers.
func (v VM) CallerAddress() netip.AddrPort { return v.at(0) }

// PeerAddress returns the address for other nodes.
func (v VM) PeerAddress() netip.AddrPort { return v.at(1) }

// AdminAddress returns the address for operators.
func (v VM) AdminAddress() netip.AddrPort { return v.at(2) }

// AnnounceAddress returns the address for upstreams.
func (v VM) AnnounceAddress() netip.AddrPort { return v.at(3) }

// UpstreamAddress returns the address of the upstream that runs a version, from 0.
func (v VM) UpstreamAddress(version int) netip.AddrPort { return v.at(upstreamPort + uint16(version)) }

// VMs returns the VMs of a deployment from a first port on; each service has a server in each data centre in turn.
func (d Deployment) VMs(base netip.AddrPort) []VM {
	var list []VM
	for i, service := range d.Services {
		for j := range d.ServersPerService {
			list = append(list, VM{
				Node: fmt.Sprintf("%s-%d", service, j), Service: service,
				DataCentre:  d.DataCentres[(i+j)%len(d.DataCentres)],
				BaseAddress: netip.AddrPortFrom(base.Addr(), base.Port()+uint16(portsPerVM*len(list))),
			})
		}
	}
	return list
}

// LayoutConfig configures WriteLayout.
type LayoutConfig struct {
	Directory        string
	BaseAddress      netip.AddrPort
	PlatformAddress  netip.AddrPort
	AdminTokenSHA256 string
	MovePolicy       string
	PickPolicy       string
	// MaxChildren is the setting of the nodes, or 0 for its default.
	MaxChildren int
}

// WriteLayout writes a settings file for each node and vms.tsv with the columns node, service, caller, admin, announce and the upstreams' addresses.
func (d Deployment) WriteLayout(cfg LayoutConfig) error {
	table := ""
	for _, v := range d.VMs(cfg.BaseAddress) {
		text := fmt.Sprintf(`{
  // %s in %s, beside an upstream of %s.
  "name": %q, "region": %q, "data_centre": %q,
  "caller_address": %q, "peer_address": %q, "admin_address": %q, "announce_address": %q,
  "platform_address": %q,
  "admin_token_sha256": %q,
  "move_policy": %q, "pick_policy": %q, "max_children": %d
}
`, d.Name, v.DataCentre, v.Service, v.Node, d.Region, v.DataCentre, v.CallerAddress(), v.PeerAddress(), v.AdminAddress(), v.AnnounceAddress(),
			cfg.PlatformAddress, cfg.AdminTokenSHA256, cfg.MovePolicy, cfg.PickPolicy, cfg.MaxChildren)
		if err := os.WriteFile(filepath.Join(cfg.Directory, v.Node+".jsonc"), []byte(text), layoutMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
		table += fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Node, v.Service, v.CallerAddress(), v.AdminAddress(), v.AnnounceAddress(), v.UpstreamAddress(0), v.UpstreamAddress(1), v.UpstreamAddress(2))
	}
	return errors.Wrap(os.WriteFile(filepath.Join(cfg.Directory, "vms.tsv"), []byte(table), layoutMode), "write table")
}
