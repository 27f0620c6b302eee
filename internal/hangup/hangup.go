package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds at most one SIGHUP that has not been handled: a reload covers all that came before it.
var received = make(chan os.Signal, 1)

// installed is initialised before main runs. Other commands are ended by SIGHUP, as usual.
var installed = runsNode(os.Args) && install()

// Received returns the channel of received SIGHUPs and installs the handler if it is not yet.
func Received() <-chan os.Signal {
	if !installed {
		install()
	}
	return received
}

func install() bool {
	signal.Notify(received, syscall.SIGHUP)
	return true
}

// runsNode reports whether the arguments of the process run a node.
func runsNode(args []string) bool { return len(args) > 2 && args[1] == "node" && args[2] == "run" }
