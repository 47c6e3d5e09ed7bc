//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// env is the environment of a case: its record, its temporary folder and its processes.
type env struct {
	// trouble is false in a run without the disruption.
	trouble bool
	// ip is the loopback IP of this run. Runs at the same time have different ones.
	ip string
	// taken holds the addresses that are in use or will be.
	taken   map[string]bool
	tmp     string
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	nodes  []*node
	closed bool
}

func newEnv(record string, trouble bool) (*env, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	return &env{trouble: trouble, ip: ip, taken: make(map[string]bool), tmp: tmp, started: time.Now(), record: bufio.NewWriter(file), file: file}, nil
}

// log writes a line to the record, with the seconds since the start.
func (e *env) log(format string, args ...any) { e.logAt(time.Now(), format, args...) }

// logAt is like log for an event at an earlier time.
func (e *env) logAt(at time.Time, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%9.3f %s\n", at.Sub(e.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and completes the record.
func (e *env) close() {
	e.mu.Lock()
	nodes, closed := e.nodes, e.closed
	e.closed = true
	e.mu.Unlock()
	if closed {
		return
	}
	for _, n := range nodes {
		n.signal(syscall.SIGCONT)
		n.kill()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.record.Flush()
	_ = e.file.Close()
	_ = os.RemoveAll(e.tmp)
}

// node is a process of the project with its settings.
type node struct {
	env                                                          *env
	name, dataCentre, service                                    string
	target, callers, hop, readiness, reports, peers, metricsAddr string
	// advertiseHop is the address of a proxy in front of hop, or empty.
	advertiseHop string
	// stopSeconds is the stop timeout, graceS of the pages.
	stopSeconds float64
	settings    string
	cmd         *exec.Cmd
	ended       chan struct{}
}

// Ports of the listeners are below those that the system gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 10000
)

// freeAddresses returns addresses of this run that nothing listens on, over TCP and UDP. It returns
// none twice.
func (e *env) freeAddresses(count int) []string {
	var addresses []string
	for len(addresses) < count {
		address := fmt.Sprintf("%s:%d", e.ip, firstPort+rand.IntN(portCount))
		if e.taken[address] {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			e.taken[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// newNode writes the settings of a node, as the template of the deploy file has them.
func (e *env) newNode(name, dataCentre, service, store string) *node {
	a := e.freeAddresses(7)
	n := &node{
		env: e, name: name, dataCentre: dataCentre, service: service, target: a[0], callers: a[1], hop: a[2], readiness: a[3],
		reports: a[4], peers: a[5], metricsAddr: a[6], stopSeconds: 6, settings: filepath.Join(e.tmp, name+".yaml"),
	}
	n.writeSettings(store)
	e.mu.Lock()
	e.nodes = append(e.nodes, n)
	e.mu.Unlock()
	return n
}

func (n *node) writeSettings(store string) {
	text := fmt.Sprintf(`name: %q
data_centre: %q
data_centres: ["za","zb","zc"]
service: %q
target: %q
listen:
  callers: %q
  hop: %q
  readiness: %q
  reports: %q
  peers: %q
  metrics: %q
store: %q
first_start: false
contracts: ["base","drain","config","cost","retry","recover","health","places","tenants","quota","platform"]
keys_fail_closed: false
limits:
  repeat_ratio: 0.2
  repeat_slack: 62
  repeat_window_s: 10
  cold_factor: 1.5
  stop_s: %v
  memory_mb: 284
  config_apply_s: 2
`, n.name, n.dataCentre, n.service, n.target, n.callers, n.hop, n.readiness, n.reports, n.peers, n.metricsAddr, store, n.stopSeconds)
	if n.advertiseHop != "" {
		text += fmt.Sprintf("advertise_hop: %q\n", n.advertiseHop)
	}
	check(os.WriteFile(n.settings, []byte(text), 0o600))
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.env.tmp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.cmd = exec.Command("target/vtnode", "serve", "-settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	check(n.cmd.Start())
	_ = log.Close()
	n.ended = make(chan struct{})
	cmd, ended := n.cmd, n.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.env.log("node %s: process started", n.name)
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process by SIGKILL and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready reports whether the node answers a readiness check with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func awaitReady(nodes ...*node) {
	until := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(until) {
				panic("node " + n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
