package command

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/entry/operator"
	"redwinglock/internal/platform/store"
	standin "redwinglock/internal/standin/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/settings"
)

const validSet = `kind: account
name: a
tiers: [urgent]
key-hashes: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]
---
kind: tier
name: urgent
priority: 1
---
kind: pool
name: layout
type: engine
---
kind: target
name: engine-1
pool: layout
zone: z
address: http://127.0.0.1:1
`

// testHost is an operators' listener backed by a stand-in store.
type testHost struct {
	t     *testing.T
	url   string
	store *standin.Store
	board *board.Board
}

func newTestHost(t *testing.T) *testHost {
	gin.SetMode(gin.ReleaseMode)
	s := &testHost{t: t, store: standin.New(), board: board.New(board.Member{Name: "entry-1", Zone: "z"})}
	storeServer := httptest.NewServer(s.store)
	t.Cleanup(storeServer.Close)
	c := common.Discard()
	c.Settings.Operators.Keys = []settings.OperatorKey{
		{Name: "ann", Role: settings.RoleWrite, KeyHash: object.HashKey("write-key")},
		{Name: "ben", Role: settings.RoleRead, KeyHash: object.HashKey("read-key")},
	}
	objects := catalog.New(store.NewEtcd([]string{storeServer.URL}, 200*time.Millisecond), "/test/")
	follower := catalog.NewFollower(c, s.board, objects)
	t.Cleanup(func() { require.NoError(t, follower.Close()) })
	handler := operator.New(c, s.board, objects, follower, func() int64 { return 0 }, http.NotFoundHandler()).Handler()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// run runs a command with a key and returns its output and exit code.
func (s *testHost) run(key string, run func(*Commands) error) (string, int) {
	var out bytes.Buffer
	err := run(New(s.url, key, &out))
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), ExitCode(err)
}

func (s *testHost) write(text string) string {
	file := filepath.Join(s.t.TempDir(), "objects.yaml")
	require.NoError(s.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func apply(file string) func(*Commands) error {
	return func(c *Commands) error { return c.Apply(context.Background(), file) }
}

func TestApplyDiffGetAndDelete(t *testing.T) {
	s := newTestHost(t)
	ctx := context.Background()
	file := s.write(validSet)
	changed := s.write(strings.Replace(validSet, "priority: 1", "priority: 7", 1))
	without := func(c *Commands) error { return c.Delete(ctx, []string{"target/engine-1", "pool/layout"}) }
	steps := []struct {
		name   string
		run    func(*Commands) error
		exit   int
		prints string
	}{
		{"first apply", apply(file), ExitOK, "accepted as revision 1: 4 changed"},
		{"no changes", apply(file), ExitOK, "nothing to change"},
		{"no difference", func(c *Commands) error { return c.Diff(ctx, file) }, ExitOK, ""},
		{"difference", func(c *Commands) error { return c.Diff(ctx, changed) }, ExitDiffers, `+ tier/urgent {"name":"urgent","priority":7}`},
		{"change", apply(changed), ExitOK, "accepted as revision 2: 1 changed"},
		{"get", func(c *Commands) error { return c.Get(ctx, []string{"tier/urgent"}) }, ExitOK, "# revision 2 by ann\nkind: tier\nname: urgent\npriority: 7"},
		{"get of a missing object", func(c *Commands) error { return c.Get(ctx, []string{"tier/gone"}) }, ExitInvalid, "do not exist"},
		{"drain", func(c *Commands) error { return c.Drain(ctx, []string{"engine-1"}, true) }, ExitOK, "revision 3"},
		{"drain of a missing target", func(c *Commands) error { return c.Drain(ctx, []string{"gone"}, true) }, ExitInvalid, "target/gone does not exist"},
		{"delete in use", func(c *Commands) error { return c.Delete(ctx, []string{"pool/layout"}) }, ExitInvalid, `pool "layout" does not exist`},
		{"bad key", func(c *Commands) error { return c.Delete(ctx, []string{"layout"}) }, ExitInvalid, "is not kind/name"},
		{"delete", without, ExitOK, "revision 4: 0 changed, 2 deleted"},
		{"status", func(c *Commands) error { return c.Status(ctx) }, ExitOK, `"revision": 4`},
	}
	for _, step := range steps {
		output, exit := s.run("write-key", step.run)
		require.Equal(t, step.exit, exit, "%s: %s", step.name, output)
		require.Contains(t, output, step.prints, step.name)
	}
	require.Equal(t, object.Revision(4), s.board.Config().Revision, "active without delay")
}

func TestRejectedChanges(t *testing.T) {
	rows := []struct {
		name   string
		key    string
		text   string
		fault  standin.Fault
		exit   int
		prints string
	}{
		{"no key", "", validSet, standin.Fault{}, ExitFailed, "no operator has this key"},
		{"wrong key", "wrong", validSet, standin.Fault{}, ExitFailed, "no operator has this key"},
		{"may only read", "read-key", validSet, standin.Fault{}, ExitFailed, "may only read"},
		{"invalid set", "write-key", strings.Replace(validSet, "pool: layout", "pool: gone", 1), standin.Fault{}, ExitInvalid, `target/engine-1: pool: pool "gone" does not exist`},
		{"not YAML", "write-key", "kind: [", standin.Fault{}, ExitInvalid, "objects.yaml"},
		{"store down", "write-key", validSet, standin.Fault{Down: true}, ExitFailed, "store unavailable"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newTestHost(t)
			s.store.SetFault(row.fault)
			output, exit := s.run(row.key, apply(s.write(row.text)))
			require.Equal(t, row.exit, exit, output)
			require.Contains(t, output, row.prints)
			require.Nil(t, s.board.Config())
		})
	}
}

func TestExitCodes(t *testing.T) {
	rows := []struct {
		err  error
		want int
	}{
		{nil, ExitOK},
		{errors.New("anything"), ExitFailed},
		{&operator.StatusError{Status: 409, Problem: operator.Problem{Outcome: "refused"}}, ExitConflict},
		{&operator.StatusError{Status: 422, Problem: operator.Problem{Outcome: "refused"}}, ExitInvalid},
		{&operator.StatusError{Status: 503, Problem: operator.Problem{Outcome: "unknown"}}, ExitUnknown},
	}
	for _, row := range rows {
		require.Equal(t, row.want, ExitCode(row.err))
	}
}

func TestCheckWithoutHost(t *testing.T) {
	s := &testHost{t: t}
	var out bytes.Buffer
	require.NoError(t, Check(s.write(validSet), &out))
	require.Equal(t, "4 objects are valid\n", out.String())
	require.Equal(t, ExitInvalid, ExitCode(Check(s.write("kind: tier\nname: X\n"), &out)))
	require.Equal(t, ExitInvalid, ExitCode(Check("/gone", &out)))
}
