// Package command implements the operators' commands: they read and change the objects of a
// host, and search the logs of hosts.
package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"redwinglock/internal/control/catalog"
	"redwinglock/internal/entry/operator"
	"redwinglock/internal/state/object"
)

// Exit codes of the program.
const (
	ExitOK       = 0
	ExitFailed   = 1 // The command failed.
	ExitInvalid  = 2 // The input is invalid; nothing was changed.
	ExitConflict = 3 // Another change modified the same object; nothing was changed.
	ExitUnknown  = 4 // It is unknown whether the change was accepted.
	ExitDiffers  = 5 // The objects differ (command diff).
)

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	var status *operator.StatusError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errDiffers):
		return ExitDiffers
	case errors.Is(err, errInvalid):
		return ExitInvalid
	case !errors.As(err, &status):
		return ExitFailed
	case status.Problem.Outcome == "unknown":
		return ExitUnknown
	case status.Status == http.StatusConflict:
		return ExitConflict
	case status.Status == http.StatusUnprocessableEntity || status.Status == http.StatusBadRequest:
		return ExitInvalid
	}
	return ExitFailed
}

var (
	errInvalid = errors.New("invalid input")
	errDiffers = errors.New("objects differ")
)

// Invalid marks an error as caused by invalid input, so that ExitCode returns ExitInvalid.
func Invalid(err error) error { return fmt.Errorf("%w:\n%w", errInvalid, err) }

// Commands runs commands that call one host.
type Commands struct {
	client *operator.Client
	out    io.Writer
}

// New creates commands that print to out.
func New(url, key string, out io.Writer) *Commands {
	return &Commands{client: operator.NewClient(url, key), out: out}
}

// Check validates all objects of a directory or file together, without calling a host.
func Check(path string, out io.Writer) error {
	objects, err := readObjects(path)
	if err != nil {
		return err
	}
	if err := object.Check(objects); err != nil {
		return Invalid(err)
	}
	fmt.Fprintf(out, "%d objects are valid\n", len(objects))
	return nil
}

func readObjects(path string) ([]object.Object, error) {
	objects, err := object.ReadDir(path)
	if err != nil {
		return nil, Invalid(err)
	}
	return objects, nil
}

// currentObjects are the objects that a host has.
type currentObjects struct {
	entries map[object.Key]object.Entry
}

func (c *Commands) fetch(ctx context.Context) (currentObjects, error) {
	objects, err := c.client.Objects(ctx)
	if err != nil {
		return currentObjects{}, err
	}
	current := currentObjects{entries: map[object.Key]object.Entry{}}
	for _, entry := range objects.Objects {
		o, err := entry.Decode()
		if err != nil {
			return currentObjects{}, fmt.Errorf("decode objects: %w", err)
		}
		current.entries[object.KeyOf(o)] = entry
	}
	return current, nil
}

// Apply publishes all objects of a directory or file as one change set. It does not delete or
// change other objects.
func (c *Commands) Apply(ctx context.Context, path string) error {
	change, _, err := c.plan(ctx, path)
	if err != nil {
		return err
	}
	return c.publish(ctx, change)
}

// plan returns the change set that publishes the objects of a directory or file, and the
// current objects of the host.
func (c *Commands) plan(ctx context.Context, path string) (catalog.Change, currentObjects, error) {
	objects, err := readObjects(path)
	if err != nil {
		return catalog.Change{}, currentObjects{}, err
	}
	current, err := c.fetch(ctx)
	if err != nil {
		return catalog.Change{}, currentObjects{}, err
	}
	change, err := current.changeTo(objects)
	return change, current, err
}

// changeTo returns the change set that writes those of the given objects that are new or
// differ from the current ones.
func (c currentObjects) changeTo(objects []object.Object) (catalog.Change, error) {
	change := newChange()
	for _, o := range objects {
		spec, err := object.Encode(o)
		if err != nil {
			return change, err
		}
		key := object.KeyOf(o)
		entry, exists := c.entries[key]
		if exists && bytes.Equal(entry.Spec, spec) {
			continue
		}
		change.Puts = append(change.Puts, object.Entry{Kind: key.Kind, Spec: spec})
		change.Base[key.String()] = entry.Revision
	}
	return change, nil
}

func newChange() catalog.Change {
	return catalog.Change{ID: catalog.ChangeID(rand.Text()), Base: map[string]object.Revision{}}
}

func (c *Commands) publish(ctx context.Context, change catalog.Change) error {
	if len(change.Puts)+len(change.Deletes) == 0 {
		fmt.Fprintln(c.out, "nothing to change")
		return nil
	}
	accepted, err := c.client.Change(ctx, change)
	if err != nil {
		return fmt.Errorf("change %s: %w", change.ID, err)
	}
	fmt.Fprintf(c.out, "accepted as revision %d: %d changed, %d deleted\n", accepted.Revision, len(change.Puts), len(change.Deletes))
	return nil
}

// Diff prints what Apply would change. It returns an error if Apply would change anything.
func (c *Commands) Diff(ctx context.Context, path string) error {
	change, current, err := c.plan(ctx, path)
	if err != nil {
		return err
	}
	for _, put := range change.Puts {
		o, err := put.Decode()
		if err != nil {
			return fmt.Errorf("decode object: %w", err)
		}
		key := object.KeyOf(o)
		if entry, exists := current.entries[key]; exists {
			fmt.Fprintf(c.out, "- %s %s\n", key, entry.Spec)
		}
		fmt.Fprintf(c.out, "+ %s %s\n", key, put.Spec)
	}
	if len(change.Puts) > 0 {
		return errDiffers
	}
	return nil
}

// Get prints all objects, or those with the given keys, as YAML.
func (c *Commands) Get(ctx context.Context, names []string) error {
	current, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	keys := make([]object.Key, 0, len(current.entries))
	for key := range current.entries {
		if len(names) == 0 || slices.Contains(names, key.String()) {
			keys = append(keys, key)
		}
	}
	if len(names) > 0 && len(keys) < len(names) {
		return fmt.Errorf("%w: some of %s do not exist", errInvalid, strings.Join(names, ", "))
	}
	slices.SortFunc(keys, func(a, b object.Key) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		if err := c.print(key, current.entries[key]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Commands) print(key object.Key, entry object.Entry) error {
	o, err := entry.Decode()
	if err != nil {
		return fmt.Errorf("decode %s: %w", key, err)
	}
	text, err := yaml.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	fmt.Fprintf(c.out, "---\n# revision %d by %s\nkind: %s\n%s", entry.Revision, entry.Operator, key.Kind, text)
	return nil
}

// Delete deletes objects by key as one change set.
func (c *Commands) Delete(ctx context.Context, names []string) error {
	current, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	change := newChange()
	for _, name := range names {
		key, err := object.ParseKey(name)
		if err != nil {
			return fmt.Errorf("%w: %w", errInvalid, err)
		}
		entry, exists := current.entries[key]
		if !exists {
			return fmt.Errorf("%w: %s does not exist", errInvalid, key)
		}
		change.Deletes = append(change.Deletes, catalog.DeleteEntry{Kind: key.Kind, Name: key.Name})
		change.Base[key.String()] = entry.Revision
	}
	return c.publish(ctx, change)
}

// Drain sets or clears the drain flag of targets.
func (c *Commands) Drain(ctx context.Context, targets []string, drain bool) error {
	current, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	var changed []object.Object
	for _, name := range targets {
		entry, exists := current.entries[object.Key{Kind: object.KindTarget, Name: name}]
		if !exists {
			return fmt.Errorf("%w: target/%s does not exist", errInvalid, name)
		}
		o, err := entry.Decode()
		if err != nil {
			return fmt.Errorf("decode target/%s: %w", name, err)
		}
		if target, ok := o.(*object.Target); ok {
			target.Drain = drain
			changed = append(changed, target)
		}
	}
	change, err := current.changeTo(changed)
	if err != nil {
		return err
	}
	return c.publish(ctx, change)
}

// Status prints the state of the host as JSON.
func (c *Commands) Status(ctx context.Context) error {
	status, err := c.client.Status(ctx)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(status)
}
