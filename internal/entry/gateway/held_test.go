package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/entry/upload"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// TestHeldPrefixIsNotSent records that a prompt prefix is held after the arbiter of the pool has started.
// The arbiter, which may be of an older build, does not know it and grants the request.
func TestHeldPrefixIsNotSent(t *testing.T) {
	rows := []struct {
		name, prefixes string
		status, runs   int
	}{
		{"the held prefix", "1,7,100", http.StatusServiceUnavailable, 0},
		{"the same first prefix", "1,8,100", http.StatusOK, 1},
		{"the number of the held prefix as the last one", "1,7", http.StatusOK, 1},
		{"no prefix", "", http.StatusOK, 1},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, events(1, 3, false))
			require.Equal(t, http.StatusOK, s.send("POST", "/resumed/x", "prompt").status)
			s.board.RecordPrefix(time.Now(), wire.PrefixNotice{Pool: "p", Prefix: 7, Version: 1, State: wire.PrefixHeld})
			got := s.send("POST", "/resumed/x", "prompt", "Prefixes", row.prefixes)
			require.Equal(t, row.status, got.status)
			require.Equal(t, 1+row.runs, s.runs()[0])
			if row.runs == 0 {
				require.Equal(t, "30.000", got.header.Get("Retry-After"))
				require.Contains(t, got.body, "prompt-held")
			}
		})
	}
}

// TestHeldRequestIsNotSent records that one request is held, in another pool than the one that it comes to. Other
// requests of the same account and route are sent.
func TestHeldRequestIsNotSent(t *testing.T) {
	rows := []struct {
		name, path, body, prefixes string
		held                       bool
	}{
		{"the held request", "/resumed/x", "prompt", "", true},
		{"the held request with other parts", "/resumed/x", "prompt", "1,9,100", true},
		{"another body", "/resumed/x", "another", "", false},
		{"another path", "/resumed/y", "prompt", "", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newSite(t, events(1, 3, false))
			require.Equal(t, http.StatusOK, s.send("POST", "/resumed/x", "prompt").status)
			held := request{account: &object.Account{Name: "a"}, hostName: "127.0.0.1", requestLine: "POST /resumed/x", body: &upload.Body{Bytes: []byte("prompt")}}
			s.board.RecordPrefix(time.Now(), wire.PrefixNotice{
				Pool: "another", Kind: wire.RequestCause, Prefix: wire.PrefixHash(held.fingerprint()), Version: 1, State: wire.PrefixHeld,
			})
			got := s.send("POST", row.path, row.body, "Prefixes", row.prefixes)
			if !row.held {
				require.Equal(t, http.StatusOK, got.status)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, 1, s.runs()[0])
			require.Equal(t, "30.000", got.header.Get("Retry-After"))
			require.Contains(t, got.body, "request-held")
		})
	}
}
