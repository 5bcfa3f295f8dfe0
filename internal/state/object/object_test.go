package object

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const validSet = `
kind: account
name: installers
tiers: [urgent]
key-hashes: [` + hashOfKey + `]
---
kind: tier
name: urgent
priority: 2
---
kind: pool
name: layout
type: engine
---
kind: target
name: engine-1
pool: layout
zone: a
address: http://127.0.0.1:1
---
kind: model
name: plans
default: v2
versions:
  - {name: v1, pool: layout}
  - {name: v2, pool: layout, served-name: plans-2}
`

const hashOfKey = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683" // "key"

func TestCompile(t *testing.T) {
	objects, err := ParseYAML("set.yaml", []byte(validSet))
	require.NoError(t, err)
	s, err := Compile(7, "digest", objects)
	require.NoError(t, err)

	require.Equal(t, AccountName("installers"), s.AccountByKey("key").Name)
	require.Nil(t, s.AccountByKey("other"))
	require.Equal(t, DefaultQueueTimeout, s.Tier("urgent").QueueTimeout)

	rows := []struct {
		model  string
		served string
		found  bool
	}{
		{"plans", "plans-2", true},
		{"plans@v1", "plans", true},
		{"plans@v3", "", false},
		{"other", "", false},
	}
	for _, row := range rows {
		route, found := s.ModelRoute(row.model)
		require.Equal(t, row.found, found, row.model)
		require.Equal(t, row.served, route.ServedName, row.model)
	}
}

func TestCheckReportsEveryError(t *testing.T) {
	rows := []struct {
		name       string
		yaml       string
		wantErrors []string
	}{
		{
			"dangling references",
			"kind: account\nname: a\ntiers: [gone]\nkey-hashes: [" + hashOfKey + "]\n---\nkind: target\nname: t\npool: gone\nzone: z\naddress: http://h:1\n",
			[]string{`account/a: tiers: tier "gone" does not exist`, `target/t: pool: pool "gone" does not exist`},
		},
		{
			"unused tier and pool without targets",
			"kind: tier\nname: idle\npriority: 1\n---\nkind: pool\nname: p\ntype: engine\n",
			[]string{"tier/idle: name: no account may use this tier", "pool/p: name: no target belongs to this pool"},
		},
		{
			"bad values",
			"kind: target\nname: T!\npool: p\nzone: ''\naddress: nowhere\nslots: 9999\n",
			[]string{"name:", "zone: is missing", "address:", "slots: 9999"},
		},
		{
			"duplicates",
			"kind: tier\nname: x\npriority: 1\n---\nkind: tier\nname: x\npriority: 1\n",
			[]string{"tier/x: name: defined more than once"},
		},
		{
			"preemption after the wait has ended",
			"kind: tier\nname: x\npriority: 1\nqueue-timeout: 1s\npreempt-after: 900ms\n",
			[]string{"tier/x: preempt-after:"},
		},
		{
			"model without its default",
			"kind: model\nname: m\ndefault: v9\nversions: [{name: v1, pool: gone}]\n",
			[]string{`default: version "v9" does not exist`, `pool "gone" does not exist`},
		},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			objects, err := ParseYAML("set.yaml", []byte(row.yaml))
			require.NoError(t, err)
			err = Check(objects)
			for _, want := range row.wantErrors {
				require.ErrorContains(t, err, want)
			}
		})
	}
}

func TestParseYAMLNamesFileLineAndField(t *testing.T) {
	_, err := ParseYAML("set.yaml", []byte("kind: tier\nname: x\npriorty: 1\n---\nkind: planet\nname: y\n---\nkind: pool\nname: p\nqueue-limit: many\n"))
	require.ErrorContains(t, err, "set.yaml: document 1")
	require.ErrorContains(t, err, "line 3: field priorty not found")
	require.ErrorContains(t, err, `kind: unknown kind "planet"`)
	require.ErrorContains(t, err, "line 10")
}

func FuzzParseYAML(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte("kind: tier\n---\n---\n"))
	f.Add([]byte("- 1\n- 2\n"))
	f.Add([]byte("kind: [tier]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		objects, err := ParseYAML("fuzz.yaml", content)
		if err == nil {
			_ = Check(objects)
		}
	})
}
