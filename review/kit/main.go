// Command reviewkit runs the cases of the review that are scripts. It starts nodes as
// separate processes and plays the platform, the targets and the callers itself.
//
// Usage: reviewkit CASE REPOSITORY FOLDER
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions. Each reports whether the rule was
// broken.
var cases = map[string]func(*env) (bool, error){
	"cold-turn":     runColdTurn,
	"left-target":   runLeftTarget,
	"big-bodies":    runBigBodies,
	"second-answer": runSecondAnswer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE REPOSITORY FOLDER")
		return exitNotRun
	}
	e, err := newEnv(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewkit:", err)
		return exitNotRun
	}
	defer e.close()
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		e.record.line("result could not run: %v", err)
		fmt.Fprintln(os.Stderr, "reviewkit:", err)
		return exitNotRun
	case broken:
		fmt.Println("rule broken; see", e.record.path)
		return exitBroken
	}
	fmt.Println("rule held")
	return exitHeld
}
