package factory

import (
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/client"
)

// The environment variables that are used where flags are not given.
const (
	EnvNode  = "TURMERICDALE_NODE"
	EnvToken = "TURMERICDALE_TOKEN"
)

// Factory provides commands with their streams and their client.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// OutIsTerminal says that Out is a terminal.
	OutIsTerminal bool
	// Client returns the client of the node that the flags specify; tests replace it.
	Client func() (*client.Client, error)

	nodeAddress string
	tokenFile   string
}

// New returns the factory for the streams of the process.
func New() *Factory {
	f := &Factory{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, OutIsTerminal: isTerminal(os.Stdout)}
	f.Client = f.newClient
	return f
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// AddClientFlags adds the flags that specify the node to call and the token.
func (f *Factory) AddClientFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.nodeAddress, "node", os.Getenv(EnvNode), "Admin address of any node, by default $"+EnvNode)
	cmd.PersistentFlags().StringVar(&f.tokenFile, "token-file", "", "File that holds your team's token, by default the token is $"+EnvToken)
}

func (f *Factory) newClient() (*client.Client, error) {
	address, err := netip.ParseAddrPort(f.nodeAddress)
	if err != nil {
		return nil, &FlagError{Detail: "no valid node address: set --node ADDRESS:PORT or $" + EnvNode}
	}
	token := os.Getenv(EnvToken)
	if f.tokenFile != "" {
		if token, err = readToken(f.tokenFile); err != nil {
			return nil, err
		}
	}
	if token == "" {
		return nil, &FlagError{Detail: "no token: set --token-file FILE or $" + EnvToken}
	}
	return client.New(client.Config{Address: address, Token: token}), nil
}

func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &FlagError{Detail: fmt.Sprintf("read token file: %v", err)}
	}
	token := ""
	_, _ = fmt.Sscan(string(data), &token)
	return token, nil
}
