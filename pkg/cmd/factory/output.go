package factory

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const columnPadding = 2

// PrintTable prints aligned rows under headings on a terminal, and tab-separated rows without headings elsewhere.
func (f *Factory) PrintTable(headings []string, rows [][]string) error {
	if !f.OutIsTerminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
				return errors.Wrap(err, "print table")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(f.Out, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{headings}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print table")
		}
	}
	return errors.Wrap(w.Flush(), "print table")
}

// PrintJSON prints a message as JSON with the field names of its schema.
func (f *Factory) PrintJSON(message proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintln(f.Out, string(data))
	return errors.Wrap(err, "print JSON")
}

// PrintValue prints a value that is no message as JSON.
func (f *Factory) PrintValue(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintln(f.Out, string(data))
	return errors.Wrap(err, "print JSON")
}

// Infof prints a line of progress or information to the error stream.
func (f *Factory) Infof(format string, values ...any) {
	_, _ = fmt.Fprintf(f.ErrOut, format+"\n", values...)
}
