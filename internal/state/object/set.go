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

// Entry is an object together with the revision that last changed it.
type Entry struct {
	Kind     Kind            `json:"kind"`
	Revision Revision        `json:"revision"`
	Operator string          `json:"operator"`
	Spec     json.RawMessage `json:"spec"`
}

// Decode returns the object of the entry. A field that this version of the
// program does not know is an error, so that no setting is dropped silently.
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

// document types add the kind key to an object, so that unknown keys can be refused.
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

// ParseYAML reads the objects of one file, one YAML document each. It reports every
// fault with file and line, not the first alone.
func ParseYAML(file string, content []byte) ([]Object, error) {
	kinds, err := readKinds(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var objects []Object
	var faults []error
	for i, kind := range kinds {
		o, err := decodeDocument(decoder, kind)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: document %d: %w", file, i+1, err))
			continue
		}
		if o != nil {
			objects = append(objects, o)
		}
	}
	return objects, errors.Join(faults...)
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
	var rest yaml.Node
	if err := decoder.Decode(&rest); err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	if rest.Kind == 0 || rest.Tag == "!!null" {
		return nil, nil
	}
	return nil, fmt.Errorf("line %d: kind: unknown kind %q", rest.Line, kind)
}

// ReadDir reads every .yaml file of a directory, or one file.
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
	var faults []error
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read objects: %w", err)
		}
		parsed, err := ParseYAML(file, content)
		objects = append(objects, parsed...)
		faults = append(faults, err)
	}
	return objects, errors.Join(faults...)
}

// Encode returns the object as the specification of an entry.
func Encode(o Object) (json.RawMessage, error) {
	spec, err := json.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", KeyOf(o), err)
	}
	return spec, nil
}

// ParseKey reads a key written as "kind/name".
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
