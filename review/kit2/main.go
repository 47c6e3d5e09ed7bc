//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a case. The processes are ended then.
const maxRunTime = 115 * time.Second

// cases maps the name of a case to its function, which returns the violations of the rule.
var cases = map[string]func(*env) []string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and returns its exit code.
func run(play func(*env) []string, record string) (code int) {
	e, err := newEnv(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review2:", err)
		return exitFailed
	}
	defer e.close()
	defer func() {
		if r := recover(); r != nil {
			e.log("the case could not run: %v", r)
			fmt.Fprintln(os.Stderr, "review2: the case could not run:", r)
			code = exitFailed
		}
	}()
	time.AfterFunc(maxRunTime, func() {
		e.log("the case took too long")
		e.close()
		os.Exit(exitFailed)
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		e.close()
		os.Exit(exitFailed)
	}()
	violations := play(e)
	for _, v := range violations {
		e.log("VIOLATION %s", v)
	}
	if len(violations) > 0 {
		e.log("RESULT broken, %d violations", len(violations))
		fmt.Printf("broken: %d violations, first: %s\n", len(violations), violations[0])
		return exitBroken
	}
	e.log("RESULT held")
	fmt.Println("held")
	return exitHeld
}

// check panics with an error, which makes the case fail with exitFailed.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
