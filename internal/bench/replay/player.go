package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"redwinglock/internal/standin/process"
	"redwinglock/internal/state/object"
)

const (
	accountKey = "trace-key"
	bookTier   = "book"
	// connectionCut is the failure reason of a request whose connection broke.
	connectionCut = "connection-cut"
)

// player runs one trace.
type player struct {
	*process.Installation
	trace   *Trace
	engines []string
	service string

	requests sync.WaitGroup
	mu       sync.Mutex
	excluded map[string]bool // Hosts that get no new requests: stopping, killed or frozen.
	killed   map[string]bool // Hosts that were killed or frozen.
	frozen   *process.Host
	answered map[string]int // By tier.
	failed   map[string]int // By reason.
	booked   map[string]int // Answers by booking.
}

// Play runs a trace with the programs in the directory bin. It returns a line for each outcome
// that differs from the expected ones.
func Play(bin string, t *Trace, out io.Writer) ([]string, error) {
	dir, err := os.MkdirTemp("", "redwinglock-replay")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	installation, err := process.New(bin, dir)
	if err != nil {
		return nil, err
	}
	defer installation.Close()
	p := &player{
		Installation: installation, trace: t, excluded: map[string]bool{}, killed: map[string]bool{},
		answered: map[string]int{}, failed: map[string]int{}, booked: map[string]int{},
	}
	if err := p.start(dir); err != nil {
		return nil, err
	}
	began := time.Now()
	for _, e := range t.Events {
		time.Sleep(time.Until(began.Add(time.Duration(e.AtMS) * time.Millisecond)))
		if err := p.runEvent(e, out); err != nil {
			return nil, err
		}
	}
	p.requests.Wait()
	fmt.Fprintf(out, "answered %v, failed %v\n", p.answered, p.failed)
	return p.compareOutcomes()
}

func (p *player) start(dir string) error {
	for i, decode := range p.trace.Site.Engines {
		url, err := p.Standin(fmt.Sprint("engine-", i+1), "engine", "--decode", decode)
		if err != nil {
			return err
		}
		p.engines = append(p.engines, url)
	}
	var err error
	if p.service, err = p.Standin("service", "service"); err != nil {
		return err
	}
	for i := range p.trace.Site.Hosts {
		if _, err := p.AddHost(fmt.Sprint("entry-", i+1), fmt.Sprint("zone-", i%3+1)); err != nil {
			return err
		}
	}
	for _, h := range p.Hosts {
		if err := process.Until(h.Name+" lists all members", func() bool {
			var answer struct{ Addresses []struct{} }
			return process.GetJSON(h.CallerURL+"/v1/addresses", &answer) == nil && len(answer.Addresses) == min(len(p.Hosts), 8)
		}); err != nil {
			return err
		}
	}
	file := filepath.Join(dir, "objects.yaml")
	if err := os.WriteFile(file, []byte(p.objects()), 0o600); err != nil {
		return fmt.Errorf("write objects: %w", err)
	}
	if _, err := p.Command(p.Hosts[0], "apply", file); err != nil {
		return err
	}
	for _, h := range p.Hosts {
		if err := process.Until(h.Name+" is ready", func() bool { return process.Status(h.CallerURL+"/readyz") == http.StatusOK }); err != nil {
			return err
		}
	}
	return nil
}

func (p *player) objects() string {
	var b strings.Builder
	fmt.Fprintf(&b, "kind: account\nname: trace\ntiers: [urgent, normal, night]\nkey-hashes: [%s]\n", object.HashKey(accountKey))
	for i, tier := range []string{"urgent", "normal", "night"} {
		fmt.Fprintf(&b, "---\nkind: tier\nname: %s\npriority: %d\nqueue-timeout: 60s\n", tier, 3-i)
	}
	b.WriteString("---\nkind: pool\nname: layout\ntype: engine\n---\nkind: pool\nname: orders\ntype: service\nnon-idempotent: true\n")
	b.WriteString("---\nkind: model\nname: layout\ndefault: v1\nversions: [{name: v1, pool: layout}]\n")
	fmt.Fprintf(&b, "---\nkind: target\nname: orders-1\npool: orders\nzone: zone-1\naddress: %s\n", p.service)
	for i, url := range p.engines {
		fmt.Fprintf(&b, "---\nkind: target\nname: engine-%d\npool: layout\nzone: zone-1\naddress: %s\nslots: %d\n", i+1, url, p.trace.Site.Slots)
	}
	return b.String()
}

func (p *player) runEvent(e Event, out io.Writer) error {
	switch {
	case e.Send != nil:
		for i := range e.Send.Count {
			h := p.usableHost(i)
			p.requests.Go(func() { p.sendCompletion(h, e.Send) })
		}
	case e.Book != nil:
		for i := range e.Book.Count {
			name := fmt.Sprint(e.Book.Prefix, "-", i)
			for j := range 2 {
				h := p.usableHost(i + j)
				p.requests.Go(func() { p.sendBooking(h, name) })
			}
		}
	case e.Fault != nil:
		fmt.Fprintf(out, "%6d ms: %s\n", e.AtMS, e.Fault.Kind)
		return p.injectFault(e.Fault.Kind)
	}
	return nil
}

// usableHost returns the i-th host that takes new requests. i wraps around.
func (p *player) usableHost(i int) *process.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []*process.Host
	for _, h := range p.Hosts {
		if !p.excluded[h.Name] {
			usable = append(usable, h)
		}
	}
	return usable[i%len(usable)]
}

func (p *player) injectFault(kind FaultKind) error {
	switch kind {
	case KillArbiter, FreezeArbiter:
		h, err := p.arbiter()
		if err != nil {
			return err
		}
		p.excludeHost(h, true)
		if kind == KillArbiter {
			return h.Signal(syscall.SIGKILL)
		}
		p.frozen = h
		return h.Signal(syscall.SIGSTOP)
	case ThawArbiter:
		return p.frozen.Signal(syscall.SIGCONT)
	case StopHost:
		h := p.usableHost(0)
		p.excludeHost(h, false)
		return h.Signal(syscall.SIGTERM)
	case FreezeStore:
		return p.Freeze("store")
	case ThawStore:
		return p.Thaw("store")
	}
	return fmt.Errorf("unknown fault %q", kind)
}

// excludeHost keeps new requests away from a host. killed says that its open requests may fail.
func (p *player) excludeHost(h *process.Host, killed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded[h.Name] = true
	p.killed[h.Name] = killed
}

// arbiter returns the host with the arbiter of the engine pool.
func (p *player) arbiter() (*process.Host, error) {
	output, err := p.Command(p.usableHost(0), "status")
	if err != nil {
		return nil, err
	}
	var status struct {
		Arbiters map[string]string `json:"arbiters"`
	}
	if err := json.Unmarshal([]byte(output), &status); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	for _, h := range p.Hosts {
		if h.Name == status.Arbiters["layout"] {
			return h, nil
		}
	}
	return nil, errors.New("no host is the arbiter of pool layout")
}

func (p *player) sendCompletion(h *process.Host, s *Send) {
	body := fmt.Sprintf(`{"model":"layout","max_tokens":%d,"messages":[{"role":"user","content":"trace"}]}`, s.Tokens)
	headers := map[string]string{"X-Redwinglock-Tier": s.Tier}
	if s.DeadlineMS > 0 {
		headers["X-Redwinglock-Deadline"] = fmt.Sprint(s.DeadlineMS, "ms")
	}
	content, reason := post(h.CallerURL+"/v1/chat/completions", body, headers)
	if reason == "" && bytes.Count(content, []byte("t"+fmt.Sprint(s.Tokens-1)+" ")) != 1 {
		reason = "short-answer"
	}
	p.recordOutcome(h, s.Tier, reason)
}

// sendBooking sends a booking and retries it while the store is unavailable or the idempotency
// key is in use.
func (p *player) sendBooking(h *process.Host, name string) {
	const maxAttempts = 40
	var reason string
	for range maxAttempts {
		_, reason = post(h.CallerURL+"/v1/services/orders/book", fmt.Sprintf("%q", name), map[string]string{"Idempotency-Key": name})
		if reason != "store-unavailable" && reason != "idempotency-key-in-use" {
			break
		}
		time.Sleep(time.Second / 2)
	}
	p.recordOutcome(h, bookTier, reason)
}

func (p *player) recordOutcome(h *process.Host, tier, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case reason == "":
		p.answered[tier]++
	case p.killed[h.Name]:
		// The host was killed or frozen, which may break its connections.
	default:
		p.failed[reason]++
	}
}

// post returns the body of a successful response or the reason of the failure.
func post(url, body string, headers map[string]string) ([]byte, string) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, connectionCut
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, connectionCut
	}
	if response.StatusCode == http.StatusOK {
		return content, ""
	}
	var failure struct{ Error struct{ Reason string } }
	if err := json.Unmarshal(content, &failure); err != nil || failure.Error.Reason == "" {
		return nil, fmt.Sprint("status-", response.StatusCode)
	}
	return nil, failure.Error.Reason
}

// compareOutcomes returns a line for each outcome that differs from the expected ones.
func (p *player) compareOutcomes() ([]string, error) {
	var differences []string
	for tier, minimum := range p.trace.Expect.MinAnswered {
		if p.answered[tier] < minimum {
			differences = append(differences, fmt.Sprintf("%s: %d answered, at least %d expected", tier, p.answered[tier], minimum))
		}
	}
	for reason, n := range p.failed {
		if maximum := p.trace.Expect.MaxFailed[reason]; n > maximum {
			differences = append(differences, fmt.Sprintf("%s: %d failed, at most %d expected", reason, n, maximum))
		}
	}
	for _, url := range append([]string{p.service}, p.engines...) {
		var runs map[string]int
		if err := process.GetJSON(url+"/standin/runs", &runs); err != nil {
			return nil, err
		}
		for id, n := range runs {
			if n > 1 {
				differences = append(differences, fmt.Sprintf("%s ran %d times", id, n))
			}
		}
	}
	return differences, nil
}
