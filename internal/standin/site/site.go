// Package site runs a complete deployment on loopback: hosts as separate processes, the
// platform's store, targets, and a fault-injecting proxy on each network path between them.
package site

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwinglock/internal/standin/process"
	"redwinglock/internal/standin/proxy"
	"redwinglock/platform/standin"
)

// Bounds are the bounds in the settings of the hosts.
type Bounds struct {
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// RepeatSlack is the number of retries that is allowed in addition to a share of the requests.
	RepeatSlack float64
	// ExposeShare and ExposeSlack bound the requests that a rollout may send to a bad version: a
	// share of the requests, plus a number.
	ExposeShare, ExposeSlack float64
}

// Spec describes a site.
type Spec struct {
	// Program is the path of a redwinglock binary, Settings that of the template of its settings.
	Program  string
	Settings string
	// Older is the path of another build of redwinglock and OlderSettings that of its template.
	// Hosts with an odd number run Older at first and Program after their first restart. If Older
	// is empty, all hosts run Program.
	Older, OlderSettings string
	// Dir is the directory for the settings files of the hosts.
	Dir   string
	Hosts int
	// MemoryMB is the memory of each host in MiB. Default 512.
	MemoryMB int
	Targets  []standin.TargetSpec
	Config   standin.Config
	Bounds   Bounds
}

// memoryMB returns the memory of each host in MiB.
func (s Spec) memoryMB() int {
	if s.MemoryMB == 0 {
		return 512
	}
	return s.MemoryMB
}

// Site is a running deployment.
type Site struct {
	spec         Spec
	template     string
	storeAddress string
	server       *http.Server
	serving      sync.WaitGroup

	Store  *standin.Store
	Ledger *standin.Ledger
	Hosts  []*Host

	mu      sync.Mutex
	targets []*Target
}

// Target is a target with the proxy in front of it.
type Target struct {
	*standin.Target
	Way *proxy.Proxy
}

// Host is a host with the proxies on the network paths to and from it.
type Host struct {
	Name string
	Zone string
	// Callers, Ready and Directory are the addresses of its listeners.
	Callers   string
	Ready     string
	Directory string
	// ToStore is the proxy from the host to the store. Peers and FromCallers are the proxies to
	// the host from its peers and from callers.
	ToStore     *proxy.Proxy
	Peers       *proxy.Proxy
	FromCallers *proxy.Proxy

	program string
	// olderProgram is the program of the next process; empty: program.
	olderProgram, olderSettings string
	settings                    string

	mu          sync.Mutex
	process     *process.Process
	earlierLogs strings.Builder // Output of the previous processes.
}

// Build builds redwinglock into a directory and returns the path of the program.
func Build(dir string) (string, error) {
	program := filepath.Join(dir, "redwinglock")
	output, err := exec.Command("go", "build", "-o", program, "redwinglock").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, output)
	}
	return program, nil
}

// zones are the availability zones. Hosts and targets are assigned to them in turn.
var zones = []string{"a", "b", "c"}

// Zone returns the zone of the host or target with the given number.
func Zone(number int) string { return zones[number%len(zones)] }

// New starts a site and waits until all hosts are ready.
func New(spec Spec) (*Site, error) {
	content, err := os.ReadFile(spec.Settings)
	if err != nil {
		return nil, fmt.Errorf("read settings template: %w", err)
	}
	s := &Site{spec: spec, template: string(content), Store: standin.NewStore(), Ledger: &standin.Ledger{}}
	s.Store.LeasesExpire = true
	if err := s.start(); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start() error {
	listener, err := net.Listen("tcp", newIP()+":0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	s.storeAddress = listener.Addr().String()
	s.server = &http.Server{Handler: s.Store}
	s.serving.Go(func() { _ = s.server.Serve(listener) }) // Ends with Close.
	s.Store.Configure(s.spec.Config)
	for _, target := range s.spec.Targets {
		if _, err := s.AddTarget(target); err != nil {
			return err
		}
	}
	for i := range s.spec.Hosts {
		h, err := s.newHost(i)
		if err != nil {
			return err
		}
		s.Hosts = append(s.Hosts, h)
		if err := h.Start(); err != nil {
			return err
		}
	}
	return s.AwaitReady(s.spec.Hosts)
}

// Close kills the hosts and closes proxies, targets and the store.
func (s *Site) Close() error {
	var errs []error
	for _, h := range s.Hosts {
		h.Kill()
		errs = append(errs, h.ToStore.Close(), h.Peers.Close(), h.FromCallers.Close())
	}
	for _, t := range s.Targets() {
		errs = append(errs, t.Way.Close(), t.Close())
	}
	if s.server != nil {
		errs = append(errs, s.server.Close())
	}
	s.serving.Wait()
	return errors.Join(errs...)
}

// Targets returns all targets that were started, including stopped ones.
func (s *Site) Targets() []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Target(nil), s.targets...)
}

// AddTarget starts a target behind a proxy and registers the address of the proxy.
func (s *Site) AddTarget(spec standin.TargetSpec) (*Target, error) {
	ip := newIP()
	target, err := standin.NewTarget(spec, ip+":0", s.Store, s.Ledger)
	if err != nil {
		return nil, err
	}
	forwarder, err := proxy.New(ip+":0", target.Address())
	if err != nil {
		return nil, errors.Join(err, target.Close())
	}
	t := &Target{Target: target, Way: forwarder}
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	target.Register(forwarder.Address())
	return t, nil
}

// nextIP counts the loopback addresses that this process has assigned.
var nextIP atomic.Int32

// newIP returns a loopback address. Its middle bytes depend on the process ID, so that test
// processes that run at the same time use different addresses.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)&0x3f, pid&0xff, 1+nextIP.Add(1)%250)
}

// The ports of each host. They are the same for all hosts, as each host has its own IP address.
const (
	portCallers   = 7101
	portReady     = 7102
	portDirectory = 7103
	portPeers     = 7104
)

func (s *Site) newHost(number int) (*Host, error) {
	ip := newIP()
	listen := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	h := &Host{
		Name: fmt.Sprintf("entry-%d", number), Zone: Zone(number), program: s.spec.Program,
		Callers: listen(portCallers), Ready: listen(portReady), Directory: listen(portDirectory),
	}
	h.settings = filepath.Join(s.spec.Dir, h.Name+".yaml")
	var errStore, errPeers, errCallers error
	h.ToStore, errStore = proxy.New(ip+":0", s.storeAddress)
	h.Peers, errPeers = proxy.New(ip+":0", listen(portPeers))
	h.FromCallers, errCallers = proxy.New(ip+":0", h.Callers)
	if err := errors.Join(errStore, errPeers, errCallers); err != nil {
		return nil, err
	}
	values := strings.NewReplacer(
		"http://{{ip}}:{{internal_ports.0}}", "http://"+h.Peers.Address(),
		"{{ip}}:{{internal_ports.0}}", listen(portPeers),
		"{{node}}", h.Name, "{{zone}}", h.Zone, "{{ip}}", ip, "{{limits.cpu_share}}", "1", "{{limits.memory_mb}}", fmt.Sprint(s.spec.memoryMB()),
		"key: \"{{platform.address}}\"", "key: \"peers\"",
		"{{platform.address}}", h.ToStore.Address(),
		"{{listen.front}}", h.Callers, "{{listen.ready}}", h.Ready, "{{listen.directory}}", h.Directory,
		"{{bounds.quota_window_s}}", fmt.Sprint(s.spec.Bounds.QuotaWindow.Seconds()),
		"{{bounds.quota_overage}}", fmt.Sprint(s.spec.Bounds.QuotaOverage),
		"{{bounds.quota_slack}}", fmt.Sprint(s.spec.Bounds.QuotaSlack),
		"{{bounds.expose_share}}", fmt.Sprint(s.spec.Bounds.ExposeShare),
		"{{bounds.expose_slack}}", fmt.Sprint(s.spec.Bounds.ExposeSlack),
		"{{bounds.retry_budget_slack}}", fmt.Sprint(s.spec.Bounds.RepeatSlack),
	)
	if err := os.WriteFile(h.settings, []byte(values.Replace(s.template)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if s.spec.Older != "" && number%2 == 1 {
		return h, h.useOlderFirst(s.spec, values)
	}
	return h, nil
}

// useOlderFirst makes the host run the older build at its first start.
func (h *Host) useOlderFirst(spec Spec, values *strings.Replacer) error {
	template, err := os.ReadFile(spec.OlderSettings)
	if err != nil {
		return fmt.Errorf("read settings template of the older build: %w", err)
	}
	h.olderProgram = spec.Older
	h.olderSettings = h.settings + ".older"
	if err := os.WriteFile(h.olderSettings, []byte(values.Replace(string(template))), 0o600); err != nil {
		return fmt.Errorf("write settings of the older build: %w", err)
	}
	return nil
}

// Start starts a process of the host.
func (h *Host) Start() error {
	program, settings := h.program, h.settings
	if h.olderProgram != "" {
		program, settings = h.olderProgram, h.olderSettings
		h.olderProgram = ""
	}
	p, err := process.Start(h.Name, program, "serve", "--settings", settings)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.earlierLogs.WriteString(h.process.Log())
	}
	h.process = p
	return nil
}

// Log returns the output of all processes of the host.
func (h *Host) Log() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return ""
	}
	return h.earlierLogs.String() + h.process.Log()
}

// Process returns the current or last process of the host, or nil before the first start.
func (h *Host) Process() *process.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Kill kills the current process of the host.
func (h *Host) Kill() {
	if p := h.Process(); p != nil {
		p.Kill()
	}
}

// IsReady reports whether the readiness check of the host succeeds.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return standin.Ready(ctx, h.Ready)
}

// AwaitReady waits until the given number of hosts are ready and their directories list them.
func (s *Site) AwaitReady(hosts int) error {
	return process.Until(fmt.Sprintf("%d hosts ready and listed", hosts), func() bool {
		ready := 0
		for _, h := range s.Hosts {
			// A directory may omit the host with the arbiter: only some callers get its address.
			if h.IsReady() && len(h.Addresses()) >= hosts-1 {
				ready++
			}
		}
		return ready >= hosts
	})
}

// Addresses returns the addresses that the directory of the host lists, none if it is down.
func (h *Host) Addresses() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addresses, _, err := standin.Resolve(ctx, http.DefaultClient, h.Directory)
	if err != nil {
		return nil // The host is down.
	}
	return addresses
}

// Directories returns the addresses of all directories.
func (s *Site) Directories() []string {
	var addresses []string
	for _, h := range s.Hosts {
		addresses = append(addresses, h.Directory)
	}
	return addresses
}

// Dial returns the address of the proxy for a host's caller address, so that connections of
// callers go through the proxy. Other addresses are returned unchanged.
func (s *Site) Dial(address string) string {
	for _, h := range s.Hosts {
		if h.Callers == address {
			return h.FromCallers.Address()
		}
	}
	return address
}
