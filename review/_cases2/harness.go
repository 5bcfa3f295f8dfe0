// Command _cases2 runs the scripted cases of the second review. Each case starts hosts as separate processes and
// plays the platform, the targets and the callers.
package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"redwinglock/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

//go:embed names.json
var namesText []byte

// headerNames are the headers of the platform's protocol by a short name.
var headerNames = map[string]string{}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

// site is a running deployment.
type site struct {
	*record
	dir    string
	store  *standin.Store
	ledger *standin.Ledger
	hosts  []*host
	// servers are those of the store, one for each host, so that it can turn single hosts away, and of targets.
	servers []*http.Server
	targets []*standin.Target

	mu sync.Mutex // Guards servers.
}

// addServer adds a server that ends with the site.
func (s *site) addServer(server *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, server)
}

// host is one machine with its process.
type host struct {
	name, zone, ip                   string
	callers, ready, directory, peers string
	settings                         string
	storeFault                       atomic.Int32
	mu                               sync.Mutex
	command                          *exec.Cmd
	ended                            chan struct{}
	output                           *os.File
}

// Answers of the store to a host.
const (
	storeServes int32 = iota
	storeBusy
	storeLimited
)

const (
	portCallers   = 8221
	portReady     = 8224
	portDirectory = 8220
	portPeers     = 7600
	portMetrics   = 9400
	memoryMB      = 134
	graceTime     = 8 * time.Second
)

var lastIP atomic.Int32

// newIP returns a loopback address that differs between processes that run at the same time.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>8)&0x3f, pid&0xff, 1+lastIP.Add(1)%250)
}

func newSite(r *record, config standin.Config, zones []string) (*site, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, store: standin.NewStore(), ledger: &standin.Ledger{}}
	s.closeOnSignal()
	s.store.Configure(config)
	for n, zone := range zones {
		if err := s.addHost(n, zone); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *site) addHost(n int, zone string) error {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: newIP()}
	listener, err := net.Listen("tcp", h.ip+":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch h.storeFault.Load() {
		case storeBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case storeLimited:
			w.WriteHeader(http.StatusTooManyRequests)
		default:
			s.store.ServeHTTP(w, q)
		}
	})}
	s.addServer(server)
	go func() { _ = server.Serve(listener) }() // Ends with close.
	address := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	h.callers, h.ready, h.directory, h.peers = address(portCallers), address(portReady), address(portDirectory), address(portPeers)
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return err
	}
	values := strings.NewReplacer(
		"{{node}}", h.name, "{{zone}}", zone, "{{ip}}", h.ip, "{{limits.cpu_share}}", "0.4", "{{limits.link_mbps}}", "1000.0",
		"{{limits.memory_mb}}", fmt.Sprint(memoryMB), "{{internal_ports.0}}", fmt.Sprint(portPeers),
		`key: "{{platform.address}}"`, `key: "peers"`, "{{platform.address}}", listener.Addr().String(),
		"{{listen.front}}", h.callers, "{{listen.ready}}", h.ready, "{{listen.directory}}", h.directory,
		"{{bounds.retry_budget_slack}}", "52", "{{bounds.expose_share}}", "", "{{bounds.expose_slack}}", "",
		"{{bounds.quota_window_s}}", "8", "{{bounds.quota_overage}}", "0.1", "{{bounds.quota_slack}}", "110000",
	)
	h.settings = filepath.Join(s.dir, h.name+".conf")
	if err := os.WriteFile(h.settings, []byte(values.Replace(string(template))), 0o600); err != nil {
		return err
	}
	h.output, err = os.Create(filepath.Join(s.dir, h.name+".log"))
	s.hosts = append(s.hosts, h)
	return err
}

// start starts a process with the command of the deploy file.
func (s *site) startHost(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command("target/redwinglock", "serve")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGLOCK_CONFIG=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.output, h.output
	if err := h.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	command := h.command
	s.printf("process of %s started, id %d", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		s.printf("process of %s ended: %v", h.name, err)
		close(ended)
	}()
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(sig)
	}
}

// residentPeakKB returns the highest resident memory of the process so far.
func (h *host) residentPeakKB() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb)
	return kb
}

// stop sends SIGTERM as the platform does, and SIGKILL after the grace time.
func (s *site) stopHost(h *host) {
	s.printf("SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(graceTime):
		s.printf("SIGKILL to %s", h.name)
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
}

// closeOnSignal ends all processes of the site if this process is told to end.
func (s *site) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and stand-ins of the site.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.ended == nil {
			continue
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, t := range s.targets {
		_ = t.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
	_ = os.RemoveAll(s.dir)
}

// addTarget starts a stand-in target of the project and registers it.
func (s *site) addTarget(spec standin.TargetSpec) error {
	target, err := standin.NewTarget(spec, newIP()+":0", s.store, s.ledger)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, target)
	target.Register(target.Address())
	return nil
}

func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return standin.Ready(ctx, h.ready)
}

// addresses asks the directory of the host as a client does.
func (h *host) addresses() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	list, _, err := standin.Resolve(ctx, http.DefaultClient, h.directory)
	if err != nil {
		return nil
	}
	return list
}

// startAll starts all hosts and waits until they are ready and know each other.
func (s *site) startAll() error {
	for _, h := range s.hosts {
		if err := s.startHost(h); err != nil {
			return err
		}
	}
	ok := until(30*time.Second, func() bool {
		for _, h := range s.hosts {
			if !h.isReady() || len(h.addresses()) < len(s.hosts)-1 {
				return false
			}
		}
		return true
	})
	if !ok {
		return errors.New("the hosts are not ready")
	}
	return nil
}

// run runs a case and returns its exit code.
func run(name string, play func(r *record, trouble bool) (int, error)) int {
	if err := json.NewDecoder(bytes.NewReader(namesText)).Decode(&headerNames); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, trouble %v", name, trouble)
	code, err := play(r, trouble)
	if err != nil {
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.printf("result: %d", code)
	return code
}

func main() {
	cases := map[string]func(r *record, trouble bool) (int, error){
		"heads":   playHeads,
		"readers": playReaders,
		"join":    playJoin,
		"poison":  playPoison,
		"begun":   playBegun,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases2 CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], cases[os.Args[1]]))
}
