// Command turmericdale runs nodes and drives them.
package main

import (
	"os"

	"github.com/turmericdale/turmericdale/pkg/cmd/root"
)

func main() {
	os.Exit(root.Main())
}
