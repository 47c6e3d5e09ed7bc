package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases are the cases that this program can play. They return whether the rule held.
var cases = map[string]func(*deployment, bool) (bool, error){}

// services are the services of the nodes of each case.
var services = map[string][]string{}

// Usage: standins3 CASE RECORD. VTNODE is the command of a node, VTSTANDIN the program of
// the project's stand-ins. With TROUBLE=0 the disruption is left out.
func main() {
	runtime.LockOSThread() // the nodes end with the thread that started them
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	record, err := newRecorder(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d, err := newDeployment(record, services[name]...)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer d.end()
	if err := d.startStore(); err != nil {
		fmt.Println("store:", err)
		return 2
	}
	held, err := cases[name](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.both("the case could not run: %v", err)
		return 2
	case held:
		record.both("the rule held")
		return 0
	}
	record.both("the rule was broken")
	return 1
}
