package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"redwinglock/internal/entry/gateway"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// prefixCallTimeout is the timeout of one call.
const prefixCallTimeout = 10 * time.Second

// Prefixes prints the prompt prefixes that crash targets, as the host with the given metrics URL knows
// them.
func Prefixes(ctx context.Context, url string, out io.Writer) error {
	var states []gateway.PrefixState
	if err := callPrefixes(ctx, http.MethodGet, url+gateway.PrefixesPath, "", nil, &states); err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POOL\tPREFIX\tSTATE\tCRASHES\tNEXT CHECK\t")
	for _, s := range states {
		next := "none"
		if s.NextCheckMS > 0 {
			next = "in " + (time.Duration(s.NextCheckMS) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t\n", s.Pool, s.Prefix, s.State, s.Crashes, next)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write prefixes: %w", err)
	}
	return nil
}

// Release lets requests with a held prompt prefix be sent to targets again, on all hosts.
func Release(ctx context.Context, url, key, pool, prefix string, out io.Writer) error {
	release := gateway.ReleasePrefix{Pool: object.PoolName(pool), Prefix: prefix}
	var state gateway.PrefixState
	if err := callPrefixes(ctx, http.MethodPost, url+gateway.ReleasePrefixPath, key, release, &state); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s is released\n", state.Pool, state.Prefix)
	return nil
}

func callPrefixes(ctx context.Context, method, url, key string, requestBody, responseBody any) error {
	ctx, cancel := context.WithTimeout(ctx, prefixCallTimeout)
	defer cancel()
	var body io.Reader
	if requestBody != nil {
		content, err := json.Marshal(requestBody)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Invalid(fmt.Errorf("metrics-url: %w", err))
	}
	request.Header.Set(wire.KeyHeader, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call host: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return Invalid(fmt.Errorf("the host answered with status %d: %s", response.StatusCode, content))
	}
	if err := json.Unmarshal(content, responseBody); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}
