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
	// firstUpstreamOffset is the offset from a VM's first port to that of its first upstream; the other versions follow.
	firstUpstreamOffset = 4
	layoutFileMode      = 0o600
)

// Deployment describes one customer's deployment.
type Deployment struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []string
	// ServersPerService is the number of VMs of each service.
	ServersPerService int
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
}

// UnknownDeploymentError reports a name that no deployment has.
type UnknownDeploymentError struct {
	Name string
}

func (e *UnknownDeploymentError) Error() string {
	return "unknown deployment " + e.Name + ": must be gnomon or kettle"
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

// VM is one VM of a deployment with the addresses of its processes.
type VM struct {
	Node       string
	DataCentre string
	Service    string
	// BaseAddress has the first of the VM's ports.
	BaseAddress netip.AddrPort
}

func (v VM) addressAt(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(v.BaseAddress.Addr(), v.BaseAddress.Port()+offset)
}

// CallerAddress returns the address where the node serves callers.
func (v VM) CallerAddress() netip.AddrPort { return v.addressAt(0) }

// PeerAddress returns the address where the node serves other nodes.
func (v VM) PeerAddress() netip.AddrPort { return v.addressAt(1) }

// AdminAddress returns the address where the node serves operators.
func (v VM) AdminAddress() netip.AddrPort { return v.addressAt(2) }

// AnnounceAddress returns the address where the node receives announcements.
func (v VM) AnnounceAddress() netip.AddrPort { return v.addressAt(3) }

// UpstreamAddress returns the address of the upstream that runs a version; versions count from 0.
func (v VM) UpstreamAddress(version int) netip.AddrPort {
	return v.addressAt(firstUpstreamOffset + uint16(version))
}

// VMs returns the VMs of a deployment, with ports from base on; the VMs of a service are spread over the data centres in turn.
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
	// MaxChildren is the setting max_children of the nodes; zero means its default.
	MaxChildren int
}

// WriteLayout writes a settings file for each node and vms.tsv, whose columns are node, service, the node's caller, admin and announce addresses, and those of three upstreams.
func (d Deployment) WriteLayout(cfg LayoutConfig) error {
	table := ""
	for _, v := range d.VMs(cfg.BaseAddress) {
		text := fmt.Sprintf(`{
  // %s in %s, with a local upstream of %s.
  "name": %q, "region": %q, "data_centre": %q,
  "caller_address": %q, "peer_address": %q, "admin_address": %q, "announce_address": %q,
  "platform_address": %q,
  "admin_token_sha256": %q,
  "move_policy": %q, "pick_policy": %q, "max_children": %d,
  "headers": {"limit": %q, "leaving": %q}
}
`, d.Name, v.DataCentre, v.Service, v.Node, d.Region, v.DataCentre, v.CallerAddress(), v.PeerAddress(), v.AdminAddress(), v.AnnounceAddress(),
			cfg.PlatformAddress, cfg.AdminTokenSHA256, cfg.MovePolicy, cfg.PickPolicy, cfg.MaxChildren, HeaderLimit, HeaderLeaving)
		if err := os.WriteFile(filepath.Join(cfg.Directory, v.Node+".jsonc"), []byte(text), layoutFileMode); err != nil {
			return errors.Wrap(err, "write node settings")
		}
		table += fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", v.Node, v.Service, v.CallerAddress(), v.AdminAddress(), v.AnnounceAddress(), v.UpstreamAddress(0), v.UpstreamAddress(1), v.UpstreamAddress(2))
	}
	return errors.Wrap(os.WriteFile(filepath.Join(cfg.Directory, "vms.tsv"), []byte(table), layoutFileMode), "write vms.tsv")
}
