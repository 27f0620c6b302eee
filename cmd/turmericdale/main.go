// Command turmericdale runs nodes and operates them through the admin API.
package main

import (
	"os"

	"github.com/turmericdale/turmericdale/pkg/cmd/root"
)

func main() {
	os.Exit(root.Main())
}
