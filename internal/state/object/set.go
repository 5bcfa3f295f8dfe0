package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Entry is an encoded object with the revision and the operator that last changed it.
type Entry struct {
	Kind     Kind            `json:"kind"`
	Revision Revision        `json:"revision"`
	Operator string          `json:"operator"`
	Spec     json.RawMessage `json:"spec"`
}

// Decode returns the object of the entry. A field that is unknown to this version of the
// program is an error, so that no setting is ignored silently.
func (e Entry) Decode() (Object, error) {
	o, err := New(e.Kind)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(e.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(o); err != nil {
		return nil, fmt.Errorf("decode %s: %w", e.Kind, err)
	}
	return o, nil
}

// header reads the kind of a YAML document.
type header struct {
	Kind Kind `yaml:"kind"`
}

// The document types add the kind key to an object, so that the decoder can reject unknown
// keys.
type (
	accountDocument struct {
		header  `yaml:",inline"`
		Account `yaml:",inline"`
	}
	tierDocument struct {
		header `yaml:",inline"`
		Tier   `yaml:",inline"`
	}
	poolDocument struct {
		header `yaml:",inline"`
		Pool   `yaml:",inline"`
	}
	targetDocument struct {
		header `yaml:",inline"`
		Target `yaml:",inline"`
	}
	modelDocument struct {
		header `yaml:",inline"`
		Model  `yaml:",inline"`
	}
	routeDocument struct {
		header `yaml:",inline"`
		Route  `yaml:",inline"`
	}
)

// ParseYAML parses the objects of one file. Each YAML document holds one object. The returned
// error lists every error with file and line, not only the first one.
func ParseYAML(file string, content []byte) ([]Object, error) {
	kinds, err := readKinds(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var objects []Object
	var errs []error
	for i, kind := range kinds {
		o, err := decodeDocument(decoder, kind)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: document %d: %w", file, i+1, err))
			continue
		}
		if o != nil {
			objects = append(objects, o)
		}
	}
	return objects, errors.Join(errs...)
}

func readKinds(content []byte) ([]Kind, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var kinds []Kind
	for {
		var h header
		err := decoder.Decode(&h)
		if errors.Is(err, io.EOF) {
			return kinds, nil
		}
		var typeError *yaml.TypeError
		if err != nil && !errors.As(err, &typeError) {
			return nil, fmt.Errorf("read yaml: %w", err)
		}
		kinds = append(kinds, h.Kind)
	}
}

func decodeDocument(decoder *yaml.Decoder, kind Kind) (Object, error) {
	switch kind {
	case KindAccount:
		var d accountDocument
		err := decoder.Decode(&d)
		return &d.Account, err
	case KindTier:
		var d tierDocument
		err := decoder.Decode(&d)
		return &d.Tier, err
	case KindPool:
		var d poolDocument
		err := decoder.Decode(&d)
		return &d.Pool, err
	case KindTarget:
		var d targetDocument
		err := decoder.Decode(&d)
		return &d.Target, err
	case KindModel:
		var d modelDocument
		err := decoder.Decode(&d)
		return &d.Model, err
	case KindRoute:
		var d routeDocument
		err := decoder.Decode(&d)
		return &d.Route, err
	}
	var node yaml.Node
	if err := decoder.Decode(&node); err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	if node.Kind == 0 || node.Tag == "!!null" {
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: kind: unknown kind %q", node.Line, kind)
}

// ReadDir reads the objects of all .yaml files in a directory, or of one file.
func ReadDir(path string) ([]Object, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("read objects: %w", err)
	}
	files := []string{path}
	if info.IsDir() {
		files, err = filepath.Glob(filepath.Join(path, "*.yaml"))
		if err != nil {
			return nil, fmt.Errorf("list objects: %w", err)
		}
		slices.Sort(files)
	}
	var objects []Object
	var errs []error
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read objects: %w", err)
		}
		parsed, err := ParseYAML(file, content)
		objects = append(objects, parsed...)
		errs = append(errs, err)
	}
	return objects, errors.Join(errs...)
}

// Encode returns the JSON encoding of an object, as stored in Entry.Spec.
func Encode(o Object) (json.RawMessage, error) {
	spec, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", KeyOf(o), err)
	}
	return spec, nil
}

// ParseKey parses a key written as "kind/name".
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || name == "" {
		return Key{}, fmt.Errorf("key: %q is not kind/name", text)
	}
	if _, err := New(Kind(kind)); err != nil {
		return Key{}, err
	}
	return Key{Kind(kind), name}, nil
}
