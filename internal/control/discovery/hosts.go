package discovery

import (
	"context"
	"encoding/json"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
)

func (d *Controller) takeHost(i store.Item) {
	if i.Deleted {
		d.known.remove(i.Key, i.Revision)
		delete(d.hosts, i.Key)
		return
	}
	var m board.Member
	if err := json.Unmarshal(i.Data, &m); err != nil {
		d.log.WithError(err).WithField("key", i.Key).Warn("Entry of a host skipped.")
		return
	}
	d.known.put(i)
	d.hosts[i.Key] = m
}

// List implements member.Lister with the hosts that are registered in the store.
func (d *Controller) List(context.Context) ([]hosts.Group, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	groups := make([]hosts.Group, 0, len(d.hosts))
	for _, m := range d.hosts {
		state := hosts.StateLive
		if m.Leaving {
			state = hosts.StateLeaving
		}
		groups = append(groups, hosts.Group{Labels: map[string]string{
			hosts.LabelRole:      hosts.RoleEntry,
			hosts.LabelName:      m.Name,
			hosts.LabelZone:      string(m.Zone),
			hosts.LabelState:     state,
			hosts.LabelPeerURL:   m.PeerURL,
			hosts.LabelCallerURL: m.CallerURL,
		}})
	}
	return groups, nil
}
