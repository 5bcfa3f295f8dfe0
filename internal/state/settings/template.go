package settings

import (
	"fmt"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// OptionalNumber is a number that a template fills in where the platform tells it. A placeholder in double braces that
// was not filled in counts as 0, not known.
type OptionalNumber float64

// placeholderStart begins a placeholder of a template.
const placeholderStart = "{{"

// UnmarshalYAML implements yaml.Unmarshaler.
func (n *OptionalNumber) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind == yaml.ScalarNode && strings.HasPrefix(node.Value, placeholderStart) {
		*n = 0
		return nil
	}
	number, err := strconv.ParseFloat(node.Value, 64)
	if err != nil || node.Kind != yaml.ScalarNode {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: cannot read %q as a number", node.Line, node.Value)}}
	}
	*n = OptionalNumber(number)
	return nil
}
