// Package command holds the commands with which operators read and change objects.
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
	ExitInvalid  = 2 // The input is wrong, nothing was changed.
	ExitConflict = 3 // Somebody else changed the same object, nothing was changed.
	ExitUnknown  = 4 // It is not known whether the change was accepted.
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

// Invalid marks an error as one of the input, for the exit code.
func Invalid(err error) error { return fmt.Errorf("%w:\n%w", errInvalid, err) }

// Commands runs commands against one host.
type Commands struct {
	client *operator.Client
	out    io.Writer
}

// New creates commands that print to out.
func New(url, key string, out io.Writer) *Commands {
	return &Commands{client: operator.NewClient(url, key), out: out}
}

// Check reads objects and checks them as a whole, without any host.
func Check(path string, out io.Writer) error {
	objects, err := read(path)
	if err != nil {
		return err
	}
	if err := object.Check(objects); err != nil {
		return Invalid(err)
	}
	fmt.Fprintf(out, "%d objects are valid\n", len(objects))
	return nil
}

func read(path string) ([]object.Object, error) {
	objects, err := object.ReadDir(path)
	if err != nil {
		return nil, Invalid(err)
	}
	return objects, nil
}

// current is what a host holds.
type current struct {
	entries map[object.Key]object.Entry
}

func (c *Commands) fetch(ctx context.Context) (current, error) {
	objects, err := c.client.Objects(ctx)
	if err != nil {
		return current{}, err
	}
	held := current{entries: map[object.Key]object.Entry{}}
	for _, entry := range objects.Objects {
		o, err := entry.Decode()
		if err != nil {
			return current{}, fmt.Errorf("decode objects: %w", err)
		}
		held.entries[object.KeyOf(o)] = entry
	}
	return held, nil
}

// Apply publishes all objects of a directory or file as one change set. Objects that are
// not in it stay as they are.
func (c *Commands) Apply(ctx context.Context, path string) error {
	change, _, err := c.plan(ctx, path)
	if err != nil {
		return err
	}
	return c.publish(ctx, change)
}

// plan returns what must change at the host to get the objects of a directory or file,
// and what the host holds.
func (c *Commands) plan(ctx context.Context, path string) (catalog.Change, current, error) {
	objects, err := read(path)
	if err != nil {
		return catalog.Change{}, current{}, err
	}
	held, err := c.fetch(ctx)
	if err != nil {
		return catalog.Change{}, current{}, err
	}
	change, err := held.change(objects)
	return change, held, err
}

// change returns the change set that brings the held objects to the wanted ones.
func (h current) change(objects []object.Object) (catalog.Change, error) {
	change := newChange()
	for _, o := range objects {
		spec, err := object.Encode(o)
		if err != nil {
			return change, err
		}
		key := object.KeyOf(o)
		entry, exists := h.entries[key]
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

// Diff prints what Apply would change. It returns an error if there is a difference.
func (c *Commands) Diff(ctx context.Context, path string) error {
	change, held, err := c.plan(ctx, path)
	if err != nil {
		return err
	}
	for _, put := range change.Puts {
		o, err := put.Decode()
		if err != nil {
			return fmt.Errorf("decode object: %w", err)
		}
		key := object.KeyOf(o)
		if entry, exists := held.entries[key]; exists {
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
	held, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	keys := make([]object.Key, 0, len(held.entries))
	for key := range held.entries {
		if len(names) == 0 || slices.Contains(names, key.String()) {
			keys = append(keys, key)
		}
	}
	if len(names) > 0 && len(keys) < len(names) {
		return fmt.Errorf("%w: some of %s do not exist", errInvalid, strings.Join(names, ", "))
	}
	slices.SortFunc(keys, func(a, b object.Key) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		if err := c.print(key, held.entries[key]); err != nil {
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
	held, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	change := newChange()
	for _, name := range names {
		key, err := object.ParseKey(name)
		if err != nil {
			return fmt.Errorf("%w: %w", errInvalid, err)
		}
		entry, exists := held.entries[key]
		if !exists {
			return fmt.Errorf("%w: %s does not exist", errInvalid, key)
		}
		change.Deletes = append(change.Deletes, catalog.DeleteEntry{Kind: key.Kind, Name: key.Name})
		change.Base[key.String()] = entry.Revision
	}
	return c.publish(ctx, change)
}

// Drain sets or clears the drain mark of targets.
func (c *Commands) Drain(ctx context.Context, targets []string, drain bool) error {
	held, err := c.fetch(ctx)
	if err != nil {
		return err
	}
	var wanted []object.Object
	for _, name := range targets {
		entry, exists := held.entries[object.Key{Kind: object.KindTarget, Name: name}]
		if !exists {
			return fmt.Errorf("%w: target/%s does not exist", errInvalid, name)
		}
		o, err := entry.Decode()
		if err != nil {
			return fmt.Errorf("decode target/%s: %w", name, err)
		}
		if target, ok := o.(*object.Target); ok {
			target.Drain = drain
			wanted = append(wanted, target)
		}
	}
	change, err := held.change(wanted)
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
