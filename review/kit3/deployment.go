// Package main holds the stand-ins of the third review: servers, consumers, a platform that
// asks for readiness, and the deployment that they belong to.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the users' pages for a small deployment.
const (
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
	memoryMB     = 284
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

// write writes one line with the seconds since the start of the case.
func (r *recorder) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// both writes a line to the record and to standard output.
func (r *recorder) both(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf(format+"\n", args...)
}

// node is a process of the system with the addresses of its machine.
type node struct {
	name, zone, service                                        string
	callers, hop, ready, reports, peers, metrics, target, file string
	link                                                       string // where a proxy to the store may listen
	store                                                      string // the address at which the node reaches the store
	process                                                    *exec.Cmd
	ended                                                      chan struct{}
}

// deployment is a store and some nodes.
type deployment struct {
	record    *recorder
	directory string
	vtnode    []string
	vtstandin string
	store     string
	control   string
	storeProc *exec.Cmd
	contracts string // further ones, for the settings
	nodes     []*node
}

// newDeployment chooses free addresses. Each machine has a loopback address of its own.
func newDeployment(record *recorder, services ...string) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: record, directory: directory, vtnode: strings.Fields(os.Getenv("VTNODE")), vtstandin: os.Getenv("VTSTANDIN")}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	host := func(i int) string { return fmt.Sprintf("%s.%d", network, 10+i) }
	var held ports
	defer held.release()
	if d.store, err = held.free(host(200)); err != nil {
		return nil, err
	}
	if d.control, err = held.free(host(200)); err != nil {
		return nil, err
	}
	for i, service := range services {
		n := &node{name: fmt.Sprintf("n%d", i), zone: fmt.Sprintf("z%d", i%3), service: service, store: d.store}
		for _, address := range []*string{&n.callers, &n.hop, &n.ready, &n.reports, &n.peers, &n.metrics, &n.target} {
			if *address, err = held.free(host(i)); err != nil {
				return nil, err
			}
		}
		if n.link, err = held.free(host(i)); err != nil {
			return nil, err
		}
		n.file = filepath.Join(directory, n.name+".yaml")
		if err := os.WriteFile(n.file, []byte(d.settings(n, true)), 0o600); err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	return d, nil
}

// ports holds listeners on free ports until all are chosen, so that none is chosen twice.
type ports []net.Listener

// free returns an address with a port that nothing listens on.
func (p *ports) free(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	*p = append(*p, l)
	return l.Addr().String(), nil
}

func (p *ports) release() {
	for _, l := range *p {
		_ = l.Close()
	}
}

// settings returns the settings file of a node, in the layout of the deploy template.
func (d *deployment) settings(n *node, first bool) string {
	return fmt.Sprintf(`name: %q
data_centre: %q
data_centres: ["z0","z1","z2"]
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
first_start: %t
contracts: ["base","drain","config","cost","retry","recover","health","places"%s,"platform"]
keys_fail_closed: false
limits:
  repeat_ratio: 0.2
  repeat_slack: 62
  repeat_window_s: 10
  cold_factor: 1.5
  stop_s: 6
  memory_mb: %d
  config_apply_s: 2
`, n.name, n.zone, n.service, n.target, n.callers, n.hop, n.ready, n.reports, n.peers, n.metrics, n.store, first, d.contracts, memoryMB)
}

// startStore starts the store of the project's stand-in.
func (d *deployment) startStore() error {
	d.storeProc = exec.Command(d.vtstandin, "store", "-listen", d.store, "-control", d.control)
	d.storeProc.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.storeProc.Start(); err != nil {
		return err
	}
	return waitFor(5*time.Second, func() bool {
		c, err := net.Dial("tcp", d.store)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// writeConfig writes a config as the operator does.
func (d *deployment) writeConfig(spec string) error {
	body := fmt.Sprintf(`{"metadata":{"name":"main"},"spec":%s}`, spec)
	for _, c := range []struct{ method, path string }{{"PUT", "config/main"}, {"POST", "config"}} {
		request, err := http.NewRequest(c.method, "http://"+d.store+"/api/objects/"+c.path, strings.NewReader(body))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == 404 {
			continue
		}
		if response.StatusCode/100 != 2 {
			return fmt.Errorf("config: %d %s", response.StatusCode, text)
		}
		d.record.write("operator: the store accepted a config")
		return nil
	}
	return fmt.Errorf("config: no answer")
}

// startNode starts a node with the command of the deploy file.
func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(d.vtnode[0], append(append([]string{}, d.vtnode[1:]...), "-settings", n.file)...)
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) { _ = p.Wait(); close(ended) }(n.process, n.ended)
	d.record.write("platform: node %s started (process %d)", n.name, n.process.Process.Pid)
	return nil
}

// startAll writes the config, starts all nodes and waits until they are ready.
func (d *deployment) startAll() error {
	return d.startAllWith(config)
}

// startAllWith is like startAll with another config.
func (d *deployment) startAllWith(spec string) error {
	if err := d.writeConfig(spec); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return fmt.Errorf("the nodes did not get ready: %w", err)
	}
	return nil
}

// restartNode starts a node again whose process has ended.
func (d *deployment) restartNode(n *node) error {
	<-n.ended
	if err := os.WriteFile(n.file, []byte(d.settings(n, false)), 0o600); err != nil {
		return err
	}
	return d.startNode(n)
}

// awaitReady waits until all nodes answer readiness checks with 200.
func (d *deployment) awaitReady() error {
	return waitFor(10*time.Second, func() bool {
		for _, n := range d.nodes {
			if !n.isReady() {
				return false
			}
		}
		return true
	})
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.ready + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == 200
}

// end kills all processes that the case started and removes its folder.
func (d *deployment) end() {
	for _, n := range d.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
	if d.storeProc != nil && d.storeProc.Process != nil {
		_ = d.storeProc.Process.Kill()
		_ = d.storeProc.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	} else {
		fmt.Println("kept:", d.directory)
	}
}

func waitFor(limit time.Duration, done func() bool) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("waited %v in vain", limit)
}

// report is what a server says of itself.
func report(address, service, zone, id, state string, born int64, sequence, slots int, cold float64) []byte {
	body, _ := json.Marshal(map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": sequence, "coldRemainingS": cold},
	})
	return body
}

// tell sends a message of a server to the node beside it and returns the status, or 0.
func tell(n *node, method, id string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+n.reports+"/api/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
