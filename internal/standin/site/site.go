// Package site runs a whole deployment on loopback: hosts as separate processes, the
// platform's store, targets, and a proxy on each way between them.
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

// Bounds are the bounds that hosts are told.
type Bounds struct {
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// RepeatSlack is what may be sent once more beside the share of the requests.
	RepeatSlack float64
	// ExposeShare and ExposeSlack bound what a bad version may get of a rollout.
	ExposeShare, ExposeSlack float64
}

// Spec says what a site consists of.
type Spec struct {
	// Program is the built redwinglock, Settings the template of its settings file.
	Program  string
	Settings string
	// Older is another build of redwinglock and OlderSettings its template. Hosts with an odd
	// number begin with it and run Program from their second start on. Empty: all run Program.
	Older, OlderSettings string
	// Dir is a directory for files of the site.
	Dir     string
	Hosts   int
	Targets []standin.TargetSpec
	Config  standin.Config
	Bounds  Bounds
}

// Site is a running deployment.
type Site struct {
	spec     Spec
	template string
	storeAt  string
	server   *http.Server
	serving  sync.WaitGroup

	Store  *standin.Store
	Ledger *standin.Ledger
	Hosts  []*Host

	mu      sync.Mutex
	targets []*Target
}

// Target is a target and the way to it.
type Target struct {
	*standin.Target
	Way *proxy.Proxy
}

// Host is one host and the ways to and from it.
type Host struct {
	Name string
	Zone string
	// Callers, Ready and Directory are the addresses of its listeners.
	Callers   string
	Ready     string
	Directory string
	// ToStore, Peers and FromCallers are the ways from the host to the store, and to the
	// host from its peers and from callers.
	ToStore     *proxy.Proxy
	Peers       *proxy.Proxy
	FromCallers *proxy.Proxy

	program string
	// older is the program of the first process, empty if it is the same.
	older, olderSettings string
	settings             string

	mu      sync.Mutex
	process *process.Process
	earlier strings.Builder // What processes before this one have logged.
}

// Build builds the program into a directory and returns its path.
func Build(dir string) (string, error) {
	program := filepath.Join(dir, "redwinglock")
	output, err := exec.Command("go", "build", "-o", program, "redwinglock").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the program: %w: %s", err, output)
	}
	return program, nil
}

// zones are the availability zones, to which hosts and targets belong in turn.
var zones = []string{"a", "b", "c"}

// Zone returns the zone of the host or target with a number.
func Zone(number int) string { return zones[number%len(zones)] }

// New starts a site and waits until all hosts are ready.
func New(spec Spec) (*Site, error) {
	content, err := os.ReadFile(spec.Settings)
	if err != nil {
		return nil, fmt.Errorf("read template of the settings: %w", err)
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
	s.storeAt = listener.Addr().String()
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

// Close ends all processes and stand-ins.
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

// Targets returns all targets that were ever started.
func (s *Site) Targets() []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Target(nil), s.targets...)
}

// AddTarget starts a target and registers it with the address of its proxy.
func (s *Site) AddTarget(spec standin.TargetSpec) (*Target, error) {
	ip := newIP()
	target, err := standin.NewTarget(spec, ip+":0", s.Store, s.Ledger)
	if err != nil {
		return nil, err
	}
	way, err := proxy.New(ip+":0", target.Address())
	if err != nil {
		return nil, errors.Join(err, target.Close())
	}
	t := &Target{Target: target, Way: way}
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	target.Register(way.Address())
	return t, nil
}

// nextIP counts the loopback addresses that this process has handed out.
var nextIP atomic.Int32

// newIP returns a loopback address that no other process of the tests uses: the loopback
// network is large enough for addresses of each process.
func newIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+(pid>>8)&0x3f, pid&0xff, 1+nextIP.Add(1)%250)
}

// Ports of a host; each host has an IP address of its own.
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
	h.ToStore, errStore = proxy.New(ip+":0", s.storeAt)
	h.Peers, errPeers = proxy.New(ip+":0", listen(portPeers))
	h.FromCallers, errCallers = proxy.New(ip+":0", h.Callers)
	if err := errors.Join(errStore, errPeers, errCallers); err != nil {
		return nil, err
	}
	values := strings.NewReplacer(
		"http://{{ip}}:{{internal_ports.0}}", "http://"+h.Peers.Address(),
		"{{ip}}:{{internal_ports.0}}", listen(portPeers),
		"{{node}}", h.Name, "{{zone}}", h.Zone, "{{ip}}", ip, "{{limits.cpu_share}}", "1", "{{limits.memory_mb}}", "512",
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
		return h, h.beginOlder(s.spec, values)
	}
	return h, nil
}

// beginOlder makes the first process of a host one of the older build.
func (h *Host) beginOlder(spec Spec, values *strings.Replacer) error {
	template, err := os.ReadFile(spec.OlderSettings)
	if err != nil {
		return fmt.Errorf("read template of the older build: %w", err)
	}
	h.older = spec.Older
	h.olderSettings = h.settings + ".older"
	if err := os.WriteFile(h.olderSettings, []byte(values.Replace(string(template))), 0o600); err != nil {
		return fmt.Errorf("write settings of the older build: %w", err)
	}
	return nil
}

// Start starts the process of a host.
func (h *Host) Start() error {
	program, settings := h.program, h.settings
	if h.older != "" {
		program, settings = h.older, h.olderSettings
		h.older = ""
	}
	p, err := process.Start(h.Name, program, "serve", "--settings", settings)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		h.earlier.WriteString(h.process.Log())
	}
	h.process = p
	return nil
}

// Log returns what all processes of a host have logged.
func (h *Host) Log() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return ""
	}
	return h.earlier.String() + h.process.Log()
}

// Process returns the process that runs now or ran last, nil before the first.
func (h *Host) Process() *process.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// Kill ends the process of a host at once.
func (h *Host) Kill() {
	if p := h.Process(); p != nil {
		p.Kill()
	}
}

// IsReady reports whether a host says that it is ready.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return standin.Ready(ctx, h.Ready)
}

// AwaitReady waits until a number of hosts are ready and every directory lists them.
func (s *Site) AwaitReady(hosts int) error {
	return process.Until(fmt.Sprintf("%d hosts ready and listed", hosts), func() bool {
		ready := 0
		for _, h := range s.Hosts {
			// The host with the arbiter is named to part of the callers only.
			if h.IsReady() && len(h.Addresses()) >= hosts-1 {
				ready++
			}
		}
		return ready >= hosts
	})
}

// Addresses returns the addresses that the directory of a host lists.
func (h *Host) Addresses() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	addresses, _, err := standin.Resolve(ctx, http.DefaultClient, h.Directory)
	if err != nil {
		return nil // The host is not up.
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

// Dial maps the address of a host for callers to that of its proxy.
func (s *Site) Dial(address string) string {
	for _, h := range s.Hosts {
		if h.Callers == address {
			return h.FromCallers.Address()
		}
	}
	return address
}
