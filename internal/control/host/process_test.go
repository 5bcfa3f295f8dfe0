package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/entry/operator"
	"redwinglock/internal/standin/process"
	"redwinglock/internal/state/object"
)

const (
	accountKey = "key"
	tokens     = 40
)

// bin holds the programs that the tests run.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "redwinglock-test")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "redwinglock", "redwinglock/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, output))
	}
	bin = dir
	return m.Run()
}

// site is an installation of separate processes with one engine.
type site struct {
	*process.Installation
	t      *testing.T
	engine string
}

func newSite(t *testing.T, hosts, slots int) *site {
	installation, err := process.New(bin, t.TempDir())
	require.NoError(t, err)
	s := &site{Installation: installation, t: t}
	t.Cleanup(func() {
		if t.Failed() {
			for _, h := range s.Hosts {
				t.Logf("log of %s:\n%s", h.Name, h.Log())
			}
		}
		_ = s.Close()
	})
	s.engine, err = s.Standin("engine", "engine", "--decode", "5ms")
	require.NoError(t, err)
	for i := range hosts {
		_, err := s.AddHost(fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("zone-%d", i+1))
		require.NoError(t, err)
	}
	s.awaitMembers(s.Hosts, hosts)
	s.apply(slots)
	return s
}

func (s *site) apply(slots int) {
	file := filepath.Join(s.t.TempDir(), "objects.yaml")
	text := fmt.Sprintf(`kind: account
name: a
tiers: [urgent]
key-hashes: [%s]
---
kind: tier
name: urgent
priority: 1
queue-timeout: 60s
---
kind: pool
name: layout
type: engine
---
kind: model
name: layout
default: v1
versions: [{name: v1, pool: layout}]
---
kind: target
name: engine-1
pool: layout
zone: zone-1
address: %s
slots: %d
`, object.HashKey(accountKey), s.engine, slots)
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	_, err := s.Command(s.Hosts[0], "apply", file)
	require.NoError(s.t, err)
	for _, h := range s.Hosts {
		s.awaitReady(h)
	}
}

func (s *site) awaitReady(h *process.Host) {
	require.NoError(s.t, process.Until(h.Name+" is ready", func() bool {
		return process.Status(h.CallerURL+"/readyz") == http.StatusOK
	}))
}

func (s *site) awaitMembers(hosts []*process.Host, want int) {
	for _, h := range hosts {
		require.NoError(s.t, process.Until(fmt.Sprintf("%s knows %d members", h.Name, want), func() bool {
			var answer struct{ Addresses []struct{} }
			return process.GetJSON(h.CallerURL+"/v1/addresses", &answer) == nil && len(answer.Addresses) == want
		}))
	}
}

func (s *site) status(h *process.Host) operator.Status {
	status, err := operator.NewClient(h.OperatorURL, process.OperatorKey).Status(context.Background())
	require.NoError(s.t, err)
	return status
}

// arbiter splits the hosts into the arbiter of the pool and the others.
func (s *site) arbiter() (*process.Host, []*process.Host) {
	name := s.status(s.Hosts[0]).Arbiters["layout"]
	var arbiter *process.Host
	var others []*process.Host
	for _, h := range s.Hosts {
		if h.Name == name {
			arbiter = h
		} else {
			others = append(others, h)
		}
	}
	require.NotNil(s.t, arbiter)
	return arbiter, others
}

// load is a number of requests on their way.
type load struct {
	wait    sync.WaitGroup
	mu      sync.Mutex
	failed  []error
	results int
}

func (l *load) note(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results++
	if err != nil {
		l.failed = append(l.failed, err)
	}
}

// send sends requests through each of the hosts.
func (s *site) send(hosts []*process.Host, each int) *load {
	l := &load{}
	for _, h := range hosts {
		for range each {
			l.wait.Go(func() { l.note(whole(h)) })
		}
	}
	return l
}

// whole sends one request and checks that its answer is whole.
func whole(h *process.Host) error {
	client := openai.NewClient(option.WithBaseURL(h.CallerURL+"/v1"), option.WithAPIKey(accountKey), option.WithMaxRetries(0))
	answer, err := client.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{
		Model: "layout", MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	if err != nil {
		return err
	}
	var want strings.Builder
	for i := range tokens {
		fmt.Fprintf(&want, "t%d ", i)
	}
	if answer.Choices[0].Message.Content != want.String() {
		return errors.New("answer is not whole: " + answer.Choices[0].Message.Content)
	}
	return nil
}

func (s *site) awaitInFlight(hosts []*process.Host, each int64) {
	for _, h := range hosts {
		require.NoError(s.t, process.Until("requests at "+h.Name, func() bool { return s.status(h).InFlight == each }))
	}
}

// hold keeps the engine from answering until release, so that requests stay where they
// are while a fault is brought about.
func (s *site) hold() { require.Equal(s.t, http.StatusOK, process.Status(s.engine+"/standin/hold")) }
func (s *site) release() {
	require.Equal(s.t, http.StatusOK, process.Status(s.engine+"/standin/release"))
}

// requireRunOnce checks that the engine ran each request once, and how many.
func (s *site) requireRunOnce(want int) {
	var runs map[string]int
	require.NoError(s.t, process.GetJSON(s.engine+"/standin/runs", &runs))
	for id, n := range runs {
		require.Equal(s.t, 1, n, id)
	}
	require.Len(s.t, runs, want)
}

func TestArbiterFaultsLoseNoWaitingRequest(t *testing.T) {
	rows := []struct {
		name    string
		fault   syscall.Signal
		resumed bool
	}{
		{"killed", syscall.SIGKILL, false},
		{"frozen and resumed", syscall.SIGSTOP, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, 3, 2)
			arbiter, others := s.arbiter()
			const each = 10
			s.hold()
			l := s.send(others, each)
			s.awaitInFlight(others, each)
			require.NoError(t, arbiter.Signal(row.fault))
			s.awaitMembers(others, len(others))
			if row.resumed {
				require.NoError(t, arbiter.Signal(syscall.SIGCONT))
			}
			s.release()
			l.wait.Wait()
			require.Empty(t, l.failed)
			s.requireRunOnce(len(others) * each)
			if row.resumed {
				s.awaitMembers(s.Hosts, len(s.Hosts))
				require.NoError(t, whole(arbiter), "the resumed host serves again")
			}
		})
	}
}

func TestPlannedStopOfTheArbiterCutsNoRequest(t *testing.T) {
	s := newSite(t, 3, 2)
	arbiter, _ := s.arbiter()
	const each = 6
	s.hold()
	l := s.send(s.Hosts, each)
	s.awaitInFlight(s.Hosts, each)
	require.NoError(t, arbiter.Signal(syscall.SIGTERM))
	require.NoError(t, process.Until("stop is known", func() bool { return s.status(s.Hosts[0]).Arbiters["layout"] != arbiter.Name }))
	s.release()
	require.NoError(t, arbiter.Wait())
	l.wait.Wait()
	require.Empty(t, l.failed)
	s.requireRunOnce(len(s.Hosts) * each)
}

// TestAllHostsAreReplacedOneAfterAnother stops and restarts each host in turn while
// requests come through the hosts that take new ones.
func TestAllHostsAreReplacedOneAfterAnother(t *testing.T) {
	s := newSite(t, 3, 4)
	sent := 0
	for i, stopped := range s.Hosts {
		var others []*process.Host
		for j, h := range s.Hosts {
			if j != i {
				others = append(others, h)
			}
		}
		const each = 4
		s.hold()
		l := s.send(s.Hosts, each)
		s.awaitInFlight(s.Hosts, each)
		require.NoError(t, stopped.Signal(syscall.SIGTERM))
		s.awaitMembers(others, len(others))
		more := s.send(others, each)
		s.awaitInFlight(others, 2*each)
		s.release()
		require.NoError(t, stopped.Wait())
		l.wait.Wait()
		more.wait.Wait()
		require.Empty(t, l.failed)
		require.Empty(t, more.failed)
		sent += each*len(s.Hosts) + each*len(others)
		require.NoError(t, s.Restart(stopped))
		s.awaitMembers(s.Hosts, len(s.Hosts))
		s.awaitReady(stopped)
	}
	s.requireRunOnce(sent)
}

func TestHostStartedDuringAStoreOutageGetsTheConfiguration(t *testing.T) {
	s := newSite(t, 2, 2)
	first := s.Hosts[0]
	require.NoError(t, first.Signal(syscall.SIGKILL))
	_ = first.Wait()
	require.NoError(t, s.Freeze("store"))
	require.NoError(t, s.Restart(first))
	s.awaitReady(first)
	require.Equal(t, object.Revision(1), s.status(first).Revision)
	require.NoError(t, whole(first))
	output, err := s.Command(first, "get")
	require.Error(t, err, "operators are told that the store is down")
	require.Contains(t, output, "store")
	require.NoError(t, s.Thaw("store"))
	_, err = s.Command(first, "get")
	require.NoError(t, err)
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	s := newSite(t, 2, 2)
	s.hold()
	l := s.send(s.Hosts, 1)
	s.awaitInFlight(s.Hosts, 1)
	_, err := s.Command(s.Hosts[0], "drain", "engine-1")
	require.NoError(t, err)
	for _, h := range s.Hosts {
		require.NoError(t, process.Until("drain in force", func() bool { return s.status(h).Revision == 2 }))
	}
	err = whole(s.Hosts[1])
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	var detail struct{ Outcome, Reason string }
	require.NoError(t, json.Unmarshal([]byte(typed.RawJSON()), &detail))
	require.Equal(t, "no-target", detail.Reason)
	s.release()
	l.wait.Wait()
	require.Empty(t, l.failed, "work in flight ends as usual")
	_, err = s.Command(s.Hosts[1], "undrain", "engine-1")
	require.NoError(t, err)
	require.NoError(t, process.Until("undrain in force", func() bool { return s.status(s.Hosts[0]).Revision == 3 }))
	require.NoError(t, whole(s.Hosts[0]))
}
