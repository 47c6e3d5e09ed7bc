package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// print writes a result to stdout, as JSON or as the text that the function text
// writes, depending on the output format.
func (o *options) print(result any, text func(out *bytes.Buffer)) error {
	var out bytes.Buffer
	if o.format == formatJSON {
		encoder := json.NewEncoder(&out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return errors.Wrap(err, "encode output")
		}
	} else {
		text(&out)
	}
	_, err := o.stdout.Write(out.Bytes())
	return errors.Wrap(err, "write output")
}

// table writes rows in aligned columns.
func table(out *bytes.Buffer, rows [][]string) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
}
