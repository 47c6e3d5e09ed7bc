// Command vtctl is the operators' command line. It talks to the administration
// API of any node.
//
// Usage:
//
//	vtctl [flags] validate FILE...              check files, without a node
//	vtctl [flags] apply FILE...                 set templates and organisations
//	vtctl [flags] get [organisations|templates|datacentres|targets [NAME]]
//	vtctl [flags] history                       who changed what and when
//	vtctl [flags] datacentre out|in NAME        take a data centre out or back in
//	vtctl [flags] target out|in NODE            take a target out or back in
//	vtctl [flags] state [-part NAME]            dump of one node's state
//	vtctl [flags] status                        which version is in force where
//
// Flags stand before or after the command's name:
//
//	-a ADDRESSES   administration addresses, comma separated; the first that
//	               answers is used
//	-token TOKEN   bearer token; else the environment variable VT_TOKEN
//	-actor NAME    who makes a change; else the environment variable USER
//	-o FORMAT      text or json
//	-timeout TIME  bound of the talk with one address
//
// A change that an address leaves without a clear answer is sent to the next
// one under the same operation ID, so it is made once.
//
// Exit codes:
//
//	0  done
//	1  failed, or the end of a change is unknown: send it again with the
//	   operation ID that the message names
//	2  wrong usage
//	3  conflict: others changed the same thing, or -if-version is old
//	4  no address could be reached or could reach the platform; nothing changed
//	5  refused: a file, an argument or the token is not valid; nothing changed
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}
