package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLinkMayBeUnknown(t *testing.T) {
	tests := []struct {
		line  string
		want  OptionalNumber
		error string
	}{
		{"", 0, ""},
		{`link-mbps: "200.0"`, 200, ""},
		{"link-mbps: 10", 10, ""},
		{`link-mbps: "{{limits.link_mbps}}"`, 0, ""},
		{"link-mbps: wide", 0, `settings.yaml: line 1: cannot read "wide" as a number`},
		{"link-mbps: [1]", 0, "as a number"},
		{"link-mbps: -1", 0, "link-mbps"},
		{"link-mbps: .nan", 0, "as a number"},
		{"link-mbps: NaN", 0, "link-mbps"},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			s, err := Parse("settings.yaml", []byte(test.line+"\n"+validSettings))
			if test.error != "" {
				require.ErrorContains(t, err, test.error)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, s.LinkMbps)
		})
	}
}
