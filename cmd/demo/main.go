// Command demo demonstrates redwinglock with separate processes on this machine: two entry
// hosts, three engines (one of them slow), a plain service, and stand-ins for the platform. It
// checks the results and exits with status 0 only if all checks pass.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"redwinglock/internal/standin/process"
	"redwinglock/internal/state/object"
)

const (
	accountKey  = "installer-key"
	shortAnswer = 20
	longAnswer  = 100 * shortAnswer
)

// demo is a running demonstration with the counts of its checks.
type demo struct {
	*process.Installation
	engines  map[string]string // URL by name.
	service  string
	answered int
	checks   int
	failures int
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: demo DIRECTORY-OF-PROGRAMS")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	dir, err := os.MkdirTemp("", "redwinglock-demo")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	defer os.RemoveAll(dir)
	installation, err := process.New(bin, dir)
	if err != nil {
		return err
	}
	d := &demo{Installation: installation, engines: map[string]string{}}
	defer d.Close()
	if err := d.start(dir); err != nil {
		return err
	}
	steps := []struct {
		title string
		run   func() error
	}{
		{"Addresses of the hosts", d.checkAddresses},
		{"Streamed, whole and long completions through both hosts", d.checkCompletions},
		{"A non-idempotent call and its retry through the other host", d.checkOrder},
		{"Planned stop of both hosts with requests in flight", d.checkStop},
		{"Runs counted by the targets", d.checkRuns},
	}
	for _, step := range steps {
		fmt.Printf("\n== %s\n", step.title)
		if err := step.run(); err != nil {
			d.printLogs()
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	fmt.Printf("\ndemo: %d checks, %d failed, %d requests answered, %d hosts, %d engines, 1 service\n",
		d.checks, d.failures, d.answered, len(d.Hosts), len(d.engines))
	if d.failures > 0 {
		d.printLogs()
		return errors.New("a check failed")
	}
	return nil
}

func (d *demo) printLogs() {
	for _, h := range d.Hosts {
		fmt.Fprintf(os.Stderr, "--- log of %s\n%s", h.Name, h.Log())
	}
}

// check prints a statement and whether it is true, and counts it.
func (d *demo) check(ok bool, format string, args ...any) {
	d.checks++
	mark := "ok  "
	if !ok {
		mark = "FAIL"
		d.failures++
	}
	fmt.Printf("%s  %s\n", mark, fmt.Sprintf(format, args...))
}

func (d *demo) start(dir string) error {
	engines := []struct{ name, decode string }{{"engine-1", "1ms"}, {"engine-2", "1ms"}, {"engine-slow", "5ms"}}
	for _, e := range engines {
		url, err := d.Standin(e.name, "engine", "--decode", e.decode)
		if err != nil {
			return err
		}
		d.engines[e.name] = url
	}
	var err error
	if d.service, err = d.Standin("orders", "service"); err != nil {
		return err
	}
	for _, h := range []struct{ name, zone string }{{"entry-1", "zone-a"}, {"entry-2", "zone-b"}} {
		if _, err := d.AddHost(h.name, h.zone); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := process.Until(h.Name+" starts", func() bool { return process.Status(h.CallerURL+"/healthz") == http.StatusOK }); err != nil {
			return err
		}
	}
	objects := filepath.Join(dir, "objects")
	if err := d.writeObjects(objects); err != nil {
		return err
	}
	output, err := d.Command(d.Hosts[0], "apply", objects)
	if err != nil {
		return err
	}
	fmt.Print("apply: ", output)
	for _, h := range d.Hosts {
		if err := process.Until("configuration at "+h.Name, func() bool { return process.Status(h.CallerURL+"/readyz") == http.StatusOK }); err != nil {
			return err
		}
	}
	return process.Until("hosts list each other", func() bool {
		var answer struct{ Addresses []struct{} }
		err := process.GetJSON(d.Hosts[0].CallerURL+"/v1/addresses", &answer)
		return err == nil && len(answer.Addresses) == len(d.Hosts)
	})
}

func (d *demo) writeObjects(dir string) error {
	var text strings.Builder
	fmt.Fprintf(&text, `kind: account
name: varna-installers
group: installers
tiers: [urgent, night]
key-hashes: [%s]
---
kind: tier
name: urgent
priority: 10
---
kind: tier
name: night
priority: 1
queue-timeout: 30s
---
kind: pool
name: layout
type: engine
---
kind: pool
name: orders
type: service
non-idempotent: true
---
kind: model
name: layout
default: v1
versions:
  - {name: v1, pool: layout}
---
kind: target
name: orders-1
pool: orders
zone: zone-a
address: %s
`, object.HashKey(accountKey), d.service)
	for name, url := range d.engines {
		fmt.Fprintf(&text, "---\nkind: target\nname: %s\npool: layout\nzone: zone-a\naddress: %s\ngeneration: g1\nslots: 4\n", name, url)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		return fmt.Errorf("write objects: %w", err)
	}
	return os.WriteFile(filepath.Join(dir, "all.yaml"), []byte(text.String()), 0o600)
}

func (d *demo) checkAddresses() error {
	var answer struct {
		Addresses []struct{ URL, Zone string }
		TTLMS     int64 `json:"ttl-ms"`
	}
	if err := process.GetJSON(d.Hosts[0].CallerURL+"/v1/addresses?zone=zone-b", &answer); err != nil {
		return err
	}
	for _, a := range answer.Addresses {
		fmt.Printf("      %s in %s\n", a.URL, a.Zone)
	}
	d.check(len(answer.Addresses) == 2 && answer.Addresses[0].Zone == "zone-b", "both hosts are listed, the caller's zone first (keep for %d ms)", answer.TTLMS)
	return nil
}

func (d *demo) client(h *process.Host) openai.Client {
	return openai.NewClient(option.WithBaseURL(h.CallerURL+"/v1"), option.WithAPIKey(accountKey), option.WithMaxRetries(0))
}

func params(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "layout",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Lay out four circuits for a flat of 60 square metres.")},
	}
}

// expectedText returns the text that an engine stand-in generates.
func expectedText(tokens int) string {
	var text strings.Builder
	for i := range tokens {
		fmt.Fprintf(&text, "t%d ", i)
	}
	return text.String()
}

func (d *demo) completeUnstreamed(h *process.Host, tokens int) (string, string, error) {
	var response *http.Response
	client := d.client(h)
	answer, err := client.Chat.Completions.New(context.Background(), params(int64(tokens)), option.WithResponseInto(&response))
	if err != nil {
		return "", "", err
	}
	return answer.Choices[0].Message.Content, response.Header.Get("X-Redwinglock-Target"), nil
}

func (d *demo) completeStreamed(h *process.Host, tokens int) (string, string, error) {
	var response *http.Response
	client := d.client(h)
	stream := client.Chat.Completions.NewStreaming(context.Background(), params(int64(tokens)), option.WithResponseInto(&response))
	defer stream.Close()
	var text strings.Builder
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return "", "", err
	}
	return text.String(), response.Header.Get("X-Redwinglock-Target"), nil
}

func (d *demo) checkCompletions() error {
	for _, h := range d.Hosts {
		kinds := []struct {
			name   string
			tokens int
			send   func(*process.Host, int) (string, string, error)
		}{
			{"streamed", shortAnswer, d.completeStreamed},
			{"whole", shortAnswer, d.completeUnstreamed},
			{"long streamed", longAnswer, d.completeStreamed},
		}
		for _, kind := range kinds {
			text, target, err := kind.send(h, kind.tokens)
			if err != nil {
				return err
			}
			d.answered++
			d.check(text == expectedText(kind.tokens), "%s through %s: complete answer of %d bytes from %s", kind.name, h.Name, len(text), target)
		}
	}
	return nil
}

func (d *demo) checkOrder() error {
	var answers [2]string
	for i, h := range d.Hosts {
		request, err := http.NewRequest(http.MethodPost, h.CallerURL+"/v1/services/orders/confirm", strings.NewReader(`{"pallets":2}`))
		if err != nil {
			return err
		}
		request.Header.Set("Authorization", "Bearer "+accountKey)
		request.Header.Set("Idempotency-Key", "order-4711")
		// The result of the first call is stored right after its answer.
		err = process.Until("order is answered", func() bool {
			request.Body = io.NopCloser(strings.NewReader(`{"pallets":2}`))
			response, callErr := http.DefaultClient.Do(request)
			if callErr != nil {
				return false
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			answers[i] = strings.TrimSpace(string(body))
			fmt.Printf("      %s: %d %s replayed=%q\n", h.Name, response.StatusCode, answers[i], response.Header.Get("X-Redwinglock-Replayed"))
			return response.StatusCode == http.StatusOK
		})
		if err != nil {
			return err
		}
		d.answered++
	}
	d.check(answers[0] == answers[1] && strings.Contains(answers[0], `"run":1`), "the retry got the answer of the first call")
	return nil
}

// checkStop stops both hosts while they serve long requests and checks that all requests get
// complete answers.
func (d *demo) checkStop() error {
	var mu sync.Mutex
	var requests sync.WaitGroup
	complete := 0
	for _, h := range d.Hosts {
		for range 3 {
			requests.Go(func() {
				text, _, err := d.completeStreamed(h, longAnswer)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && text == expectedText(longAnswer) {
					complete++
				} else {
					fmt.Printf("      %s: %d bytes, %v\n", h.Name, len(text), err)
				}
			})
		}
	}
	for _, h := range d.Hosts {
		if err := process.Until("requests in flight at "+h.Name, func() bool {
			output, err := d.Command(h, "status")
			return err == nil && strings.Contains(output, `"in-flight": 3`)
		}); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		if err := h.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	for _, h := range d.Hosts {
		err := h.Wait()
		d.check(err == nil, "%s stopped by itself (%v)", h.Name, err)
	}
	requests.Wait()
	d.answered += complete
	d.check(complete == 6, "%d of 6 requests in flight got complete answers", complete)
	return nil
}

func (d *demo) checkRuns() error {
	total := 0
	for name, url := range d.engines {
		var runs map[string]int
		if err := process.GetJSON(url+"/standin/runs", &runs); err != nil {
			return err
		}
		maxRuns := 0
		for _, n := range runs {
			total += n
			maxRuns = max(maxRuns, n)
		}
		d.check(maxRuns <= 1, "%s ran %d requests, each once", name, len(runs))
	}
	d.check(total == 12, "the engines ran 12 requests in all (%d)", total)
	var runs map[string]int
	if err := process.GetJSON(d.service+"/standin/runs", &runs); err != nil {
		return err
	}
	d.check(len(runs) == 1 && runs[`{"pallets":2}`] == 1, "the order ran once")
	return nil
}
