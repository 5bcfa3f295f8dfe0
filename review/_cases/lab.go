package main

import (
	"encoding/json"
	"errors"
	"fmt"
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

	"redwinglock/platform/standin"
)

const (
	// program and programArgument are the command of the deploy file, template that of its settings.
	program         = "target/redwinglock"
	programArgument = "serve"
	template        = "deploy/settings.yaml"
	// settingsVariable names the settings file for the program.
	settingsVariable = "REDWINGLOCK_CONFIG"

	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// memoryMB is the memory of a machine, as on the smallest sheet.
	memoryMB = 134
	// processorShare is the share of a core that a machine has, as on the small sheets.
	processorShare = "0.4"
	// callerHost and callerKey select the routes and the tenant of all clients.
	callerHost = "review.example"
	callerKey  = "review-key"
)

// lab is a small deployment on loopback addresses.
type lab struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	dir     string
	store   *standin.Store
	server  *http.Server
	address string
	subnet  string
	hosts   []*host
	closers []func() error

	mu      sync.Mutex
	file    *os.File
	started time.Time
	nextIP  int
}

// host is one machine that runs the program.
type host struct {
	name, ip, callers, ready, settings string
	command                            *exec.Cmd
	ended                              chan struct{}
}

func newLab(record string, trouble bool) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(fmt.Errorf("create folder: %w", err), file.Close())
	}
	l := &lab{
		trouble: trouble, dir: dir, file: file, started: time.Now(), store: standin.NewStore(),
		subnet: fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(250)),
	}
	listener, err := net.Listen("tcp", l.newIP()+":0")
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for the store: %w", err), file.Close())
	}
	l.address = listener.Addr().String()
	l.server = &http.Server{Handler: l.store}
	go func() { _ = l.server.Serve(listener) }() // Ends with Close.
	l.record("trouble: %v", trouble)
	return l, nil
}

// newIP returns a loopback address that the lab has not used.
func (l *lab) newIP() string {
	l.nextIP++
	return fmt.Sprintf("%s.%d", l.subnet, l.nextIP)
}

// record adds a line to the record of the run.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and stand-ins.
func (l *lab) Close() error {
	for _, h := range l.hosts {
		h.kill()
	}
	var errs []error
	for _, closeOne := range l.closers {
		errs = append(errs, closeOne())
	}
	return errors.Join(append(errs, l.server.Close(), os.RemoveAll(l.dir), l.file.Close())...)
}

// register writes the entry of a worker, as the worker does.
func (l *lab) register(id, service, address string, slots int) error {
	content, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return fmt.Errorf("encode entry: %w", err)
	}
	l.store.Put(names.Entries+id, content)
	return nil
}

// startHosts starts machines and waits until they are ready.
func (l *lab) startHosts(count int) error {
	content, err := os.ReadFile(template)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	for n := range count {
		h, err := l.newHost(fmt.Sprintf("front-%d", n+1), string(content))
		if err != nil {
			return err
		}
		l.hosts = append(l.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, h := range l.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(pollInterval)
		}
	}
	time.Sleep(time.Second) // The machines find each other.
	return nil
}

func (l *lab) newHost(name, settings string) (*host, error) {
	ip := l.newIP()
	var ports [5]string
	for n := range ports {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		_, ports[n], err = net.SplitHostPort(listener.Addr().String())
		if err = errors.Join(err, listener.Close()); err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
	}
	h := &host{name: name, ip: ip, callers: ip + ":" + ports[0], ready: ip + ":" + ports[1], settings: filepath.Join(l.dir, name+".yaml")}
	values := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", "a", "{{ip}}:9400", ip+":"+ports[4], "{{ip}}", ip, "{{limits.cpu_share}}", processorShare,
		"{{limits.memory_mb}}", fmt.Sprint(memoryMB), "{{internal_ports.0}}", ports[3], "{{platform.address}}", l.address,
		"{{listen.front}}", h.callers, "{{listen.ready}}", h.ready, "{{listen.directory}}", ip+":"+ports[2],
		"{{bounds.retry_budget_slack}}", "52", "{{bounds.expose_share}}", "", "{{bounds.expose_slack}}", "",
		"{{bounds.quota_window_s}}", "8", "{{bounds.quota_overage}}", "0.1", "{{bounds.quota_slack}}", "110000",
	)
	if err := os.WriteFile(h.settings, []byte(values.Replace(settings)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return h, nil
}

// start starts the program.
func (h *host) start() error {
	log, err := os.Create(h.settings + ".log")
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer log.Close()
	h.command = exec.Command(program, programArgument)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.name, err)
	}
	h.ended = make(chan struct{})
	go func() {
		defer close(h.ended)
		_ = h.command.Wait() // A process that was killed ends with an error.
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) error {
	if err := h.command.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", h.name, err)
	}
	return nil
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// kill kills the process, if it runs, and waits for its end.
func (h *host) kill() {
	if h.ended == nil {
		return
	}
	_ = h.command.Process.Kill() // It may have ended.
	<-h.ended
}

// isReady asks the machine as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + names.Readiness)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
