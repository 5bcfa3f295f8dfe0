// Package process runs the programs of this repository as separate processes for the demo,
// the replay of traces and tests.
package process

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"redwinglock/internal/standin/hosts"
	"redwinglock/internal/state/object"
)

const (
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Keys of an Installation.
const (
	OperatorKey = "operator-key"
	PeerKey     = "peer-key"
)

// Process is a program that was started.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
	output *lockedBuffer
}

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// Start starts a program and collects its output, except the first line of the standard output.
func Start(name, program string, args ...string) (*Process, error) {
	return start(name, nil, program, args...)
}

// start starts a program. If firstLine is not nil, it receives the first line of the standard
// output.
func start(name string, firstLine chan<- string, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(program, args...), ended: make(chan struct{}), output: &lockedBuffer{}}
	p.cmd.Stderr = p.output
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		defer close(p.ended)
		reader := bufio.NewReader(stdout)
		line, _ := reader.ReadString('\n')
		if firstLine != nil {
			firstLine <- line
		}
		_, _ = io.Copy(p.output, reader)
		p.err = p.cmd.Wait()
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.ended }

// Wait waits until the process has ended and returns its error.
func (p *Process) Wait() error {
	<-p.ended
	return p.err
}

// Kill kills the process, also a frozen one, and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	<-p.ended
}

// Log returns the output of the process.
func (p *Process) Log() string { return p.output.String() }

// Installation is a set of processes: entry hosts and stand-ins for the platform.
type Installation struct {
	bin string
	dir string

	StoreURL string
	HostsURL string
	Hosts    []*Host

	processes []*Process
}

// Host is an entry host.
type Host struct {
	*Process
	Name        string
	Zone        string
	CallerURL   string
	PeerURL     string
	OperatorURL string
	settings    string
}

// New starts the stand-ins for the store and the list of hosts. bin is the directory of the
// programs and dir that for settings files.
func New(bin, dir string) (*Installation, error) {
	n := &Installation{bin: bin, dir: dir}
	var err error
	if n.StoreURL, err = n.Standin("store", "store"); err != nil {
		return nil, err
	}
	if n.HostsURL, err = n.Standin("hosts", "hosts"); err != nil {
		return nil, err
	}
	return n, nil
}

// Freeze suspends a stand-in. Its connections stay open.
func (n *Installation) Freeze(name string) error { return n.signal(name, syscall.SIGSTOP) }

// Thaw resumes a frozen stand-in.
func (n *Installation) Thaw(name string) error { return n.signal(name, syscall.SIGCONT) }

func (n *Installation) signal(name string, s syscall.Signal) error {
	for _, p := range n.processes {
		if p.Name == name {
			return p.Signal(s)
		}
	}
	return fmt.Errorf("no process is named %s", name)
}

// Close kills all processes.
func (n *Installation) Close() error {
	for _, p := range n.processes {
		p.Kill()
	}
	return nil
}

// Standin starts a stand-in and returns its base URL.
func (n *Installation) Standin(name string, args ...string) (string, error) {
	firstLine := make(chan string, 1)
	p, err := start(name, firstLine, filepath.Join(n.bin, "standin"), args...)
	if err != nil {
		return "", err
	}
	n.processes = append(n.processes, p)
	line := <-firstLine
	if line == "" {
		return "", fmt.Errorf("start %s: %s", name, p.Log())
	}
	return line[:len(line)-1], nil
}

var settingsTemplate = template.Must(template.New("settings").Parse(`host: {{.Name}}
zone: {{.Zone}}
callers:
  listen: {{.Caller}}
  advertise: http://{{.Caller}}
  address-ttl: 1s
peers:
  listen: {{.Peer}}
  advertise: http://{{.Peer}}
  key: {{.PeerKey}}
operators:
  listen: {{.Operator}}
  keys:
    - name: demo
      role: write
      key-hash: {{.OperatorHash}}
store:
  endpoints: [{{.Store}}]
hosts:
  url: {{.Hosts}}
stop:
  limit: 60s
`))

// AddHost writes the settings of an entry host and starts it.
func (n *Installation) AddHost(name, zone string) (*Host, error) {
	var ports [3]string
	for i := range ports {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		ports[i] = address
	}
	var text bytes.Buffer
	err := settingsTemplate.Execute(&text, map[string]string{
		"Name": name, "Zone": zone, "Caller": ports[0], "Peer": ports[1], "Operator": ports[2],
		"PeerKey": PeerKey, "OperatorHash": object.HashKey(OperatorKey), "Store": n.StoreURL, "Hosts": n.HostsURL,
	})
	if err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	h := &Host{
		Name: name, Zone: zone,
		CallerURL: "http://" + ports[0], PeerURL: "http://" + ports[1], OperatorURL: "http://" + ports[2],
		settings: filepath.Join(n.dir, name+".yaml"),
	}
	if err := os.WriteFile(h.settings, text.Bytes(), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	n.Hosts = append(n.Hosts, h)
	if err := n.publishHosts(); err != nil {
		return nil, err
	}
	return h, n.Restart(h)
}

// Restart starts a new process for a host.
func (n *Installation) Restart(h *Host) error {
	p, err := start(h.Name, nil, filepath.Join(n.bin, "redwinglock"), "serve", "--settings", h.settings)
	if err != nil {
		return err
	}
	h.Process = p
	n.processes = append(n.processes, p)
	return nil
}

func (n *Installation) publishHosts() error {
	var groups []hosts.Group
	for _, h := range n.Hosts {
		groups = append(groups, hosts.Group{Targets: []string{h.CallerURL}, Labels: map[string]string{
			"role": "entry", "name": h.Name, "zone": h.Zone, "state": "live", "peer-url": h.PeerURL, "caller-url": h.CallerURL,
		}})
	}
	content, err := json.Marshal(groups)
	if err != nil {
		return fmt.Errorf("encode list of hosts: %w", err)
	}
	request, err := http.NewRequest(http.MethodPut, n.HostsURL, bytes.NewReader(content))
	if err != nil {
		return fmt.Errorf("publish list of hosts: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("publish list of hosts: %w", err)
	}
	return response.Body.Close()
}

// Ports of hosts are below the range of ephemeral ports. Otherwise an outgoing connection
// could take a port before its host listens on it.
const (
	firstPort = 10000
	portCount = 6000
)

// nextPort counts the ports that this process has assigned, so that none is assigned twice
// before its host listens on it. Its initial value depends on the process ID, as several
// test processes run at the same time.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 97) }

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free port for a host")
}

// Command runs an operator command of redwinglock against a host and returns its output.
func (n *Installation) Command(h *Host, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(n.bin, "redwinglock"), args...)
	cmd.Env = append(os.Environ(), "REDWINGLOCK_URL="+h.OperatorURL, "REDWINGLOCK_KEY="+OperatorKey)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("%v: %w: %s", args, err, output)
	}
	return string(output), nil
}

// ErrTimeout is returned by Until when the condition was not met in time.
var ErrTimeout = errors.New("condition was not met in time")

// Until polls a condition until it is met or startTimeout has passed. Errors name the
// condition with what.
func Until(what string, condition func() bool) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s: %w", what, ErrTimeout)
}

// Status returns the HTTP status of a GET request, or 0 if there is no response.
func Status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// GetJSON sends a GET request and decodes the JSON response into answer.
func GetJSON(url string, answer any) error {
	response, err := http.Get(url)
	if err != nil {
		return fmt.Errorf("read %s: %w", url, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}
	return nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }
