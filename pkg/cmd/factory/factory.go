package factory

import (
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/client"
)

// The environment variables that stand in for flags.
const (
	EnvNode  = "TURMERICDALE_NODE"
	EnvToken = "TURMERICDALE_TOKEN"
)

// Factory gives commands their streams and their client.
type Factory struct {
	In     io.Reader
	Out    io.Writer
	ErrOut io.Writer
	// OutIsTerminal says that Out is a terminal.
	OutIsTerminal bool
	// Client returns the client of the node that the flags name; tests replace it.
	Client func() (*client.Client, error)

	node  string
	token string
}

// New returns the factory of the process.
func New() *Factory {
	f := &Factory{In: os.Stdin, Out: os.Stdout, ErrOut: os.Stderr, OutIsTerminal: isTerminal(os.Stdout)}
	f.Client = f.newClient
	return f
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// AddClientFlags adds the flags that name the node to ask.
func (f *Factory) AddClientFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&f.node, "node", os.Getenv(EnvNode), "Admin address of any node, by default $"+EnvNode)
	cmd.PersistentFlags().StringVar(&f.token, "token-file", "", "File that holds your team's token, by default the token is $"+EnvToken)
}

func (f *Factory) newClient() (*client.Client, error) {
	address, err := netip.ParseAddrPort(f.node)
	if err != nil {
		return nil, &FlagError{Detail: "name a node with --node ADDRESS:PORT or $" + EnvNode}
	}
	token := os.Getenv(EnvToken)
	if f.token != "" {
		if token, err = readToken(f.token); err != nil {
			return nil, err
		}
	}
	if token == "" {
		return nil, &FlagError{Detail: "give your team's token with --token-file FILE or $" + EnvToken}
	}
	return client.New(client.Config{Address: address, Token: token}), nil
}

func readToken(file string) (string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &FlagError{Detail: fmt.Sprintf("the token file cannot be read: %v", err)}
	}
	token := ""
	_, _ = fmt.Sscan(string(data), &token)
	return token, nil
}
