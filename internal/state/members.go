package state

import (
	"hash/fnv"
	"log/slog"
	"slices"
	"strings"
	"time"

	"havenproxy/logic"
)

// List is a member list, or a change of it, from the discovery service.
type List struct {
	Kind    logic.ListKind
	Entries []ListEntry
}

// ListEntry describes one database of a List.
type ListEntry struct {
	Name        string // the same for every proxy
	Address     string
	Zone        string
	Group       int
	State       logic.MemberState
	Weight      float64
	StartedUnix time.Duration // Unix time of the process start; 0 = long ago
}

// member is a database with the connections to it.
type member struct {
	id      logic.MemberID
	name    string
	address string
	state   logic.MemberState
	listed  bool // contained in the last complete list or in a later change

	role         logic.Role // as last reported by the database
	unresponsive bool       // its last probe got no reply

	idleConnections []*connection // ordered by last use, most recent last
	opening         []*connection // connections that were opened for an attempt and are not established
	settling        []*connection // connections on which a reply has just come
	connections     map[*connection]struct{}
	probe           *connection // the connection that a probe uses or waits for; nil = none
}

// maxChangeLines is the maximum number of log lines about single databases that one list causes.
const maxChangeLines = 20

// listChanges describes what a list changed.
type listChanges struct {
	joined, changed int
	notReady        []*member // members that are no longer ready
}

// log logs a list that changed something, and how long it took to apply.
func (c *listChanges) log(l List, took time.Duration) {
	if c.joined+c.changed == 0 {
		return
	}
	slog.Info("list applied", "kind", listKindNames[l.Kind], "entries", len(l.Entries), "joined", c.joined,
		"changed", c.changed, "took", took)
}

// listKindNames holds the names of list kinds in the log, indexed by logic.ListKind.
var listKindNames = [...]string{logic.ListDelta: "changes", logic.ListFull: "whole", logic.ListCached: "cached",
	logic.ListFailed: "failed"}

// ApplyList applies a list from the discovery service and passes it to the router.
func (d *Dispatcher) ApplyList(l List) {
	begin := d.clock.Now()
	d.changes = listChanges{}
	defer func() { d.changes.log(l, d.clock.Now()-begin) }()
	out := logic.List{Kind: l.Kind}
	complete := l.Kind != logic.ListDelta
	if complete {
		for _, m := range d.membersByName {
			m.listed = false
		}
	}
	for _, e := range l.Entries {
		m := d.applyEntry(e)
		m.listed = true
		out.Entries = append(out.Entries, logic.Member{ID: m.id, Zone: d.zoneIndex(e.Zone), Group: logic.GroupID(e.Group),
			State: e.State, Weight: e.Weight, StartedAt: fromUnix(d.clock, e.StartedUnix)})
	}
	if complete {
		for _, m := range d.membersByName {
			if !m.listed {
				d.setState(m, logic.Gone)
			}
		}
	}
	if d.discoveryFailing && l.Kind != logic.ListCached {
		d.discoveryFailing = false
		slog.Info("discovery available again")
	}
	d.notifyRouter(func() { d.router.MemberList(d.clock.Now(), out) })
	d.cancelUnsentAttempts(d.changes.notReady)
}

// ListFailed reports that a call to the discovery service failed or that a watch broke. The current list stays valid.
func (d *Dispatcher) ListFailed(err error) {
	d.Counters.ListFailures++
	if !d.discoveryFailing {
		d.discoveryFailing = true
		slog.Warn("discovery unavailable", "error", err)
	}
	d.notifyRouter(func() { d.router.MemberList(d.clock.Now(), logic.List{Kind: logic.ListFailed}) })
}

// applyEntry updates the address and state of the member that an entry describes, and returns the member. It creates
// the member if it doesn't exist.
func (d *Dispatcher) applyEntry(e ListEntry) *member {
	m := d.membersByName[e.Name]
	if m == nil {
		m = &member{id: d.newMemberID(e.Name), name: e.Name, state: e.State, connections: map[*connection]struct{}{}}
		d.membersByName[e.Name], d.membersByID[m.id] = m, m
		d.changes.joined++
	}
	if m.address != e.Address && e.Address != "" {
		m.address = e.Address
		d.closeIdleConnections(m) // they lead to the old address
	}
	d.setState(m, e.State)
	return m
}

// newMemberID derives an id from a name, so that a member that was removed gets the same id when it is listed again.
func (d *Dispatcher) newMemberID(name string) logic.MemberID {
	h := fnv.New64a()
	h.Write([]byte(name))
	id := logic.MemberID(h.Sum64())
	for d.membersByID[id] != nil {
		id++
	}
	return id
}

// setState sets the state of a member and logs a change, at most maxChangeLines per list. It closes the idle
// connections of a member that is not ready, and removes a member that is gone if removeIfGone allows it.
func (d *Dispatcher) setState(m *member, to logic.MemberState) {
	if m.state != to {
		if d.changes.changed++; d.changes.changed <= maxChangeLines {
			slog.Info("database state changed", "name", m.name, "address", m.address, "from", stateName(m.state), "to", stateName(to))
		}
	}
	if to != logic.Ready {
		if m.state != to {
			d.changes.notReady = append(d.changes.notReady, m)
		}
		d.closeIdleConnections(m)
	}
	m.state = to
	d.removeIfGone(m)
}

// cancelUnsentAttempts ends the attempts that wait for a connection to members that are no longer ready: a connection
// that is established later would send them to a draining member after its grace period. With IgnoreListedGone,
// attempts on members that are gone continue. It must be called after the router has received the list, so that the
// router sends the requests to other members.
func (d *Dispatcher) cancelUnsentAttempts(members []*member) {
	slices.SortFunc(members, func(a, b *member) int { return strings.Compare(a.name, b.name) })
	for _, m := range members {
		if m.state == logic.Ready || m.state == logic.Gone && d.cfg.Logic.IgnoreListedGone {
			continue
		}
		for _, c := range slices.Concat(m.opening, m.settling) {
			if c.attempt != nil {
				d.cancelUnsentAttempt(c.attempt)
			}
		}
	}
}

// removeIfGone removes a member that is gone and has no connections: databases come and go under new names all day,
// and would fill the memory. If the deployment sets IgnoreListedGone, "gone" doesn't bind the router, which may still
// send to the member until a complete list omits it.
func (d *Dispatcher) removeIfGone(m *member) {
	if m.state == logic.Gone && (!m.listed || !d.cfg.Logic.IgnoreListedGone) && len(m.connections) == 0 &&
		d.membersByName[m.name] == m {
		delete(d.membersByName, m.name)
		delete(d.membersByID, m.id)
	}
}

// recordReply logs changes of the role that a member reports and of whether it answers probes. The router evaluates
// the replies independently of this.
func (m *member) recordReply(r Reply, probe bool) {
	role := r.Role
	if role == logic.RoleUnknown {
		role = r.LoadReport.Role
	}
	if role != logic.RoleUnknown && role != m.role {
		if m.role != logic.RoleUnknown {
			slog.Info("database role changed", "name", m.name, "address", m.address, "from", roleNames[m.role], "to", roleNames[role])
		}
		m.role = role
	}
	if !probe {
		return
	}
	switch unresponsive := r.Result == logic.TimedOut || r.Result == logic.ConnectFailed || r.Result == logic.Reset; {
	case unresponsive && !m.unresponsive:
		slog.Warn("database did not answer a probe", "name", m.name, "address", m.address, "probe", probeFailureNames[r.Result])
		m.unresponsive = true
	case !unresponsive && m.unresponsive:
		slog.Info("database answers probes again", "name", m.name, "address", m.address)
		m.unresponsive = false
	}
}

// probeFailureNames holds the names in the log of the results of a probe that got no reply.
var probeFailureNames = map[logic.Result]string{logic.TimedOut: "timed out", logic.ConnectFailed: "could not connect",
	logic.Reset: "connection lost"}

// roleNames holds the names of roles in the log, indexed by logic.Role.
var roleNames = [...]string{logic.RoleUnknown: "unknown", logic.RolePrimary: "primary", logic.RoleReplica: "replica"}

// stateName returns the name of a state in the log.
func stateName(s logic.MemberState) string {
	return [...]string{logic.Gone: "gone", logic.Ready: "ready", logic.Draining: "draining"}[s]
}

// zoneIndex returns the number of a zone, or -1 for an unknown zone, which equals no proxy's own zone.
func (d *Dispatcher) zoneIndex(name string) int {
	for i, z := range d.cfg.Zones {
		if z == name {
			return i
		}
	}
	return -1
}

// closeIdleConnections closes all connections to a member that nothing uses or waits for.
func (d *Dispatcher) closeIdleConnections(m *member) {
	for _, c := range slices.Clone(m.settling) {
		if c.attempt == nil {
			d.closeConnection(c)
		}
	}
	for len(m.idleConnections) > 0 {
		d.closeConnection(m.idleConnections[len(m.idleConnections)-1])
	}
}
