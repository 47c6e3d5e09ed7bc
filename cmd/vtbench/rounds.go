package main

import (
	"bytes"
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"verbenatrestle/platform/rounds"
)

// pageMode is the file mode of a new page.
const pageMode = 0o644

// roundsCommand writes a page about the journal of the users' bench.
type roundsCommand struct {
	journal, out string
}

func (*roundsCommand) Name() string { return "rounds" }
func (*roundsCommand) Synopsis() string {
	return "draw the worth of each day by run of the users' bench"
}
func (*roundsCommand) Usage() string {
	return "rounds [-journal DIRECTORY] -out FILE.html\n"
}

func (c *roundsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.journal, "journal", "journal", "`directory` with the journal entries")
	f.StringVar(&c.out, "out", "", "`file` to write the page to")
}

func (c *roundsCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" {
		return exitStatus(errors.New("rounds: -out is missing"))
	}
	return exitStatus(c.write())
}

func (c *roundsCommand) write() error {
	runs, err := rounds.Read(c.journal)
	if err != nil {
		return err
	}
	var page bytes.Buffer
	if err := rounds.WritePage(&page, runs); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.out, page.Bytes(), pageMode), "write page")
}
