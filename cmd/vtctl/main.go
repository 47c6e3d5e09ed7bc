// Command vtctl is the command line tool of operators. It calls the
// administration API of any node.
//
// Usage:
//
//	vtctl [flags] validate FILE...              check files without a node
//	vtctl [flags] apply FILE...                 set templates and organisations
//	vtctl [flags] get [organisations|templates|datacentres|targets [NAME]]
//	vtctl [flags] history                       list all changes
//	vtctl [flags] datacentre out|in NAME        take a data centre out of service or back in
//	vtctl [flags] target out|in NODE            take a target out of service or back in
//	vtctl [flags] state [-part NAME]            dump the state of one node
//	vtctl [flags] status                        show the active version on each node
//
// Flags can precede or follow the name of the command:
//
//	-a ADDRESSES   administration addresses, comma separated; the first one that
//	               responds conclusively is used
//	-token TOKEN   bearer token; the default is the environment variable VT_TOKEN
//	-actor NAME    who makes a change; the default is the environment variable USER
//	-o FORMAT      text or json
//	-timeout TIME  timeout of the call to one address
//
// If the outcome of a change at one address is inconclusive, the change is sent to
// the next address with the same operation ID, so that it is made only once.
//
// Exit codes:
//
//	0  done
//	1  failed, or the outcome of a change is unknown: repeat it with the operation
//	   ID in the message
//	2  wrong usage
//	3  conflict: the same resource was changed concurrently, or the version of
//	   -if-version is not the active one
//	4  no address was reachable or could reach the platform; nothing changed
//	5  refused: a file, an argument or the token is invalid; nothing changed
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
