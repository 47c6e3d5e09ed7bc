package node_test

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"verbenatrestle/node"
)

// A program that runs a node parses the settings, builds the node and runs it
// until the context ends. Port 0 stands for any free port, which is enough for a
// node without peers.
func Example() {
	settings, err := node.ParseSettings([]byte(`
name: kochi-a-1
data_centre: kochi-a
region: kerala-south
listen:
  callers: 127.0.0.1:0
  hop: 127.0.0.1:0
  peer: 127.0.0.1:0
  admin: 127.0.0.1:0
  announce: 127.0.0.1:0
platform:
  address: http://127.0.0.1:9
secrets:
  admin_token: an admin token of 16 bytes or more
  peer_key: a peer key of 16 bytes or more
`))
	if err != nil {
		fmt.Println(err)
		return
	}
	n, err := node.New(settings, log.NewNopLogger())
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	fmt.Println("stopped:", n.Run(ctx))
	// Output: stopped: <nil>
}
