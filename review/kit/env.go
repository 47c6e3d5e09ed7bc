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

// env is the deployment of one case.
type env struct {
	root    string
	trouble bool
	record  *recorder
	tmp     string
	// net is the first half of the loopback addresses in use.
	net   string
	store *store
	nodes []*node
}

func newEnv(root, folder string) (*env, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "vtnode")); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	e := &env{
		root: root, trouble: os.Getenv("TROUBLE") != "0", record: record, tmp: tmp,
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)),
	}
	e.record.line("start trouble=%v", e.trouble)
	return e, nil
}

// close ends all processes and removes the temporary folder. With KEEP=1 the logs of the
// nodes stay there.
func (e *env) close() {
	for _, n := range e.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "1" {
		fmt.Println("logs of the nodes:", e.tmp)
	} else {
		_ = os.RemoveAll(e.tmp)
	}
	e.record.close()
}

// ip returns the address of a machine.
func (e *env) ip(machine int) string { return fmt.Sprintf("%s.%d", e.net, 10+machine) }

// freePort returns a free port of an address, for TCP and UDP.
func freePort(ip string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port at %s", ip)
}

// recorder writes what was sent, answered and run.
type recorder struct {
	path  string
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{path: path, start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes one line with the time since the start in seconds.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// summary writes a line to the record and to standard output.
func (r *recorder) summary(format string, args ...any) {
	r.line("summary "+format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// node is a machine with a node of the product.
type node struct {
	env                                                  *env
	name, zone, service                                  string
	callers, hop, ready, reports, peers, metrics, target string
	settings                                             string

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	starts   int
	misses   int
	notReady bool
}

// zones names the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// addNode prepares a machine. Its node is not started yet.
func (e *env) addNode(service string) (*node, error) {
	i := len(e.nodes)
	n := &node{env: e, name: fmt.Sprintf("node-%d", i), zone: zones[i%len(zones)], service: service}
	for _, address := range []*string{&n.callers, &n.hop, &n.ready, &n.reports, &n.peers, &n.metrics, &n.target} {
		var err error
		if *address, err = freePort(e.ip(i)); err != nil {
			return nil, err
		}
	}
	n.settings = filepath.Join(e.tmp, n.name+".yaml")
	text := fmt.Sprintf(`name: %q
data_centre: %q
data_centres: ["zone-a","zone-b","zone-c"]
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
limits:
  repeat_ratio: 0.2
  repeat_slack: 62
  repeat_window_s: 10
  cold_factor: 1.5
  stop_s: 6
`, n.name, n.zone, n.service, n.target, n.callers, n.hop, n.ready, n.reports, n.peers, n.metrics, e.store.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o644); err != nil {
		return nil, err
	}
	e.nodes = append(e.nodes, n)
	return n, nil
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.env.tmp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(n.env.root, "target", "vtnode"), "serve", "-settings", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.env.root, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.starts++
	n.mu.Unlock()
	n.env.record.line("platform starts %s, process %d", n.name, cmd.Process.Pid)
	return nil
}

// kill ends the process by SIGKILL and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
	n.env.record.line("platform killed %s, process %d", n.name, cmd.Process.Pid)
}

// pid returns the id of the process, or zero if none runs.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	return n.cmd.Process.Pid
}

// checkReadiness asks the nodes once a second whether they are ready. Two misses in a row
// take a node out until it answers 200 again.
func (e *env) checkReadiness(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		for _, n := range e.nodes {
			response, err := client.Get("http://" + n.ready + "/api/readiness")
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			n.mu.Lock()
			n.misses++
			if ok {
				n.misses = 0
			}
			n.notReady = n.misses >= 2
			n.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// isIn reports whether callers may be given to the node.
func (n *node) isIn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.notReady
}

// awaitReady waits until all nodes say that they are ready.
func (e *env) awaitReady(longest time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(longest)
	for _, n := range e.nodes {
		for {
			response, err := client.Get("http://" + n.ready + "/api/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
