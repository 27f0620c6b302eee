package check

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/source"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	File string
	JSON bool
}

// InvalidError reports that a configuration has entries that nodes would leave out or apply only in part.
type InvalidError struct {
	File   string
	Errors int
}

func (e *InvalidError) Error() string { return fmt.Sprintf("%s has %d errors", e.File, e.Errors) }

// NewCmdCheck returns the command that checks an operator's configuration; runF replaces its run function in tests.
func NewCmdCheck(f *factory.Factory, runF func(opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:   "check <file>",
		Short: "Check an operator's configuration",
		Long: `Check an operator's configuration as nodes do.

Errors are entries that nodes would leave out or apply only in part; warnings are entries that cannot do what they seem to be for,
such as a service to which no route sends calls. The exit code is 1 if there are errors.`,
		Example: "  turmericdale configuration check config.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if runF != nil {
				return runF(opts)
			}
			return checkRun(f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print the findings as JSON")
	return cmd
}

func checkRun(f *factory.Factory, opts *Options) error {
	text, err := os.ReadFile(opts.File)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	findings, err := source.CheckConfig(text)
	if err != nil {
		return err
	}
	rows, invalid := make([][]string, 0, len(findings)), 0
	for _, finding := range findings {
		rows = append(rows, []string{finding.Severity, finding.Path, finding.Message})
		if finding.Severity == source.SeverityError {
			invalid++
		}
	}
	if opts.JSON {
		err = f.PrintValue(findings)
	} else {
		err = f.PrintTable([]string{"SEVERITY", "PATH", "MESSAGE"}, rows)
	}
	if err == nil && invalid > 0 {
		return &InvalidError{File: opts.File, Errors: invalid}
	}
	return err
}
