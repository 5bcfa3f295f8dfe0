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

// binDir is the directory of the programs that the tests run.
var binDir string

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
	binDir = dir
	return m.Run()
}

// cluster is an installation of several host processes and one engine.
type cluster struct {
	*process.Installation
	t      *testing.T
	engine string
}

func newCluster(t *testing.T, hosts, slots int) *cluster {
	installation, err := process.New(binDir, t.TempDir())
	require.NoError(t, err)
	s := &cluster{Installation: installation, t: t}
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

func (s *cluster) apply(slots int) {
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

func (s *cluster) awaitReady(h *process.Host) {
	require.NoError(s.t, process.Until(h.Name+" is ready", func() bool {
		return process.Status(h.CallerURL+"/readyz") == http.StatusOK
	}))
}

func (s *cluster) awaitMembers(hosts []*process.Host, want int) {
	for _, h := range hosts {
		require.NoError(s.t, process.Until(fmt.Sprintf("%s lists %d members", h.Name, want), func() bool {
			var answer struct{ Addresses []struct{} }
			return process.GetJSON(h.CallerURL+"/v1/addresses", &answer) == nil && len(answer.Addresses) == want
		}))
	}
}

func (s *cluster) status(h *process.Host) operator.Status {
	status, err := operator.NewClient(h.OperatorURL, process.OperatorKey).Status(context.Background())
	require.NoError(s.t, err)
	return status
}

// arbiter returns the host that is the arbiter of the pool, and the other hosts.
func (s *cluster) arbiter() (*process.Host, []*process.Host) {
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

// requestBatch is a set of concurrent requests and their results.
type requestBatch struct {
	pending sync.WaitGroup
	mu      sync.Mutex
	failed  []error
	results int
}

func (b *requestBatch) addResult(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results++
	if err != nil {
		b.failed = append(b.failed, err)
	}
}

// send starts perHost requests through each of the hosts.
func (s *cluster) send(hosts []*process.Host, perHost int) *requestBatch {
	batch := &requestBatch{}
	for _, h := range hosts {
		for range perHost {
			batch.pending.Go(func() { batch.addResult(checkRequest(h)) })
		}
	}
	return batch
}

// checkRequest sends one request and checks that its answer is complete.
func checkRequest(h *process.Host) error {
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
		return errors.New("answer is incomplete: " + answer.Choices[0].Message.Content)
	}
	return nil
}

func (s *cluster) awaitInFlight(hosts []*process.Host, perHost int64) {
	for _, h := range hosts {
		require.NoError(s.t, process.Until("requests at "+h.Name, func() bool { return s.status(h).InFlight == perHost }))
	}
}

// holdEngine makes the engine hold its answers until releaseEngine, so that requests stay in their
// current state while a test injects a fault.
func (s *cluster) holdEngine() {
	require.Equal(s.t, http.StatusOK, process.Status(s.engine+"/standin/hold"))
}
func (s *cluster) releaseEngine() {
	require.Equal(s.t, http.StatusOK, process.Status(s.engine+"/standin/release"))
}

// requireEachRunOnce checks that the engine ran the wanted number of requests, each exactly once.
func (s *cluster) requireEachRunOnce(want int) {
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
			s := newCluster(t, 3, 2)
			arbiter, others := s.arbiter()
			const perHost = 10
			s.holdEngine()
			batch := s.send(others, perHost)
			s.awaitInFlight(others, perHost)
			require.NoError(t, arbiter.Signal(row.fault))
			s.awaitMembers(others, len(others))
			if row.resumed {
				require.NoError(t, arbiter.Signal(syscall.SIGCONT))
			}
			s.releaseEngine()
			batch.pending.Wait()
			require.Empty(t, batch.failed)
			s.requireEachRunOnce(len(others) * perHost)
			if row.resumed {
				s.awaitMembers(s.Hosts, len(s.Hosts))
				require.NoError(t, checkRequest(arbiter), "the resumed host serves again")
			}
		})
	}
}

func TestPlannedStopOfTheArbiterCutsNoRequest(t *testing.T) {
	s := newCluster(t, 3, 2)
	arbiter, _ := s.arbiter()
	const perHost = 6
	s.holdEngine()
	batch := s.send(s.Hosts, perHost)
	s.awaitInFlight(s.Hosts, perHost)
	require.NoError(t, arbiter.Signal(syscall.SIGTERM))
	require.NoError(t, process.Until("another host is the arbiter", func() bool { return s.status(s.Hosts[0]).Arbiters["layout"] != arbiter.Name }))
	s.releaseEngine()
	require.NoError(t, arbiter.Wait())
	batch.pending.Wait()
	require.Empty(t, batch.failed)
	s.requireEachRunOnce(len(s.Hosts) * perHost)
}

// TestAllHostsAreReplacedOneAfterAnother stops and restarts each host in turn while requests arrive
// through the other hosts. No request may fail, and the engine must run each exactly once.
func TestAllHostsAreReplacedOneAfterAnother(t *testing.T) {
	s := newCluster(t, 3, 4)
	sent := 0
	for i, stopped := range s.Hosts {
		var others []*process.Host
		for j, h := range s.Hosts {
			if j != i {
				others = append(others, h)
			}
		}
		const perHost = 4
		s.holdEngine()
		batch := s.send(s.Hosts, perHost)
		s.awaitInFlight(s.Hosts, perHost)
		require.NoError(t, stopped.Signal(syscall.SIGTERM))
		s.awaitMembers(others, len(others))
		secondBatch := s.send(others, perHost)
		s.awaitInFlight(others, 2*perHost)
		s.releaseEngine()
		require.NoError(t, stopped.Wait())
		batch.pending.Wait()
		secondBatch.pending.Wait()
		require.Empty(t, batch.failed)
		require.Empty(t, secondBatch.failed)
		sent += perHost*len(s.Hosts) + perHost*len(others)
		require.NoError(t, s.Restart(stopped))
		s.awaitMembers(s.Hosts, len(s.Hosts))
		s.awaitReady(stopped)
	}
	s.requireEachRunOnce(sent)
}

func TestHostStartedDuringAStoreOutageGetsTheConfiguration(t *testing.T) {
	s := newCluster(t, 2, 2)
	first := s.Hosts[0]
	require.NoError(t, first.Signal(syscall.SIGKILL))
	_ = first.Wait()
	require.NoError(t, s.Freeze("store"))
	require.NoError(t, s.Restart(first))
	s.awaitReady(first)
	require.Equal(t, object.Revision(1), s.status(first).Revision)
	require.NoError(t, checkRequest(first))
	output, err := s.Command(first, "get")
	require.Error(t, err, "operators get an error while the store is down")
	require.Contains(t, output, "store")
	require.NoError(t, s.Thaw("store"))
	_, err = s.Command(first, "get")
	require.NoError(t, err)
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.holdEngine()
	batch := s.send(s.Hosts, 1)
	s.awaitInFlight(s.Hosts, 1)
	_, err := s.Command(s.Hosts[0], "drain", "engine-1")
	require.NoError(t, err)
	for _, h := range s.Hosts {
		require.NoError(t, process.Until("drain is active", func() bool { return s.status(h).Revision == 2 }))
	}
	err = checkRequest(s.Hosts[1])
	var typed *openai.Error
	require.ErrorAs(t, err, &typed)
	var detail struct{ Outcome, Reason string }
	require.NoError(t, json.Unmarshal([]byte(typed.RawJSON()), &detail))
	require.Equal(t, "no-target", detail.Reason)
	s.releaseEngine()
	batch.pending.Wait()
	require.Empty(t, batch.failed, "work in flight ends as usual")
	_, err = s.Command(s.Hosts[1], "undrain", "engine-1")
	require.NoError(t, err)
	require.NoError(t, process.Until("undrain is active", func() bool { return s.status(s.Hosts[0]).Revision == 3 }))
	require.NoError(t, checkRequest(s.Hosts[0]))
}
