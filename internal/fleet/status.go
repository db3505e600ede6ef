package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/membership"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// Status is the state of the fleet as one member sees it.
type Status struct {
	Up         bool                `json:"up"`
	DownReason string              `json:"why,omitempty"`
	Quota      []quota.ScopeStatus `json:"rights,omitempty"` // only if limits are shared
	*membership.Status
}

// Status returns the member's current state.
func (m *Member) Status() Status {
	m.mu.Lock()
	node := m.node
	downReason := m.downReason
	m.mu.Unlock()
	status := Status{Up: node != nil}
	if quotaStatus := m.quotaStatus.Load(); quotaStatus != nil {
		status.Quota = *quotaStatus
	}
	if node != nil {
		nodeStatus := node.Status()
		status.Status = &nodeStatus
	} else if downReason != nil {
		status.DownReason = downReason.Error()
	}
	return status
}

// WriteJSON writes the current Status as JSON.
func (m *Member) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(m.Status()); err != nil {
		return fmt.Errorf("fleet: write status: %w", err)
	}
	return nil
}

// Print writes the status as a table for people.
func (s Status) Print(w io.Writer) error {
	if !s.Up || s.Status == nil {
		_, err := fmt.Fprintf(w, "not connected: %s\n", s.DownReason)
		return err
	}
	p := &statusPrinter{table: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	p.printNode(s.Status)
	p.printMembers(s.Members)
	for _, reason := range slices.Sorted(maps.Keys(s.Rejected)) {
		p.printf("rejected: %s\t%d\n", reason, s.Rejected[reason])
	}
	p.printQuota(s.Quota)
	p.printCounters(s.Counters)
	if p.err == nil {
		p.err = p.table.Flush()
	}
	if p.err != nil {
		return fmt.Errorf("fleet: print status: %w", p.err)
	}
	return nil
}

// statusPrinter writes a table and keeps the first error.
type statusPrinter struct {
	table *tabwriter.Writer
	err   error
}

func (p *statusPrinter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.table, format, args...)
	}
}

func (p *statusPrinter) printNode(s *membership.Status) {
	p.printf("%s of fleet %q, listens on %s, incarnation %d/%08x, ", s.Name, s.Fleet, s.Listen,
		s.Incarnation.Generation, s.Incarnation.Boot)
	p.printf("health %d (0 is best), %d reports queued, %d bytes sent\n", s.Health, s.Queued, s.SentBytes)
	if s.NameConflict {
		p.printf("ANOTHER PROCESS USES THIS MEMBER'S NAME: publishing suspended\n")
	}
}

func (p *statusPrinter) printMembers(members []membership.MemberStatus) {
	p.printf("member\tstate\tgeneration\tlast report\treports\tscopes\taddress\n")
	for _, m := range members {
		age := "never"
		generation := "-"
		if m.Age >= 0 {
			age = m.Age.Round(10*time.Millisecond).String() + " ago"
			generation = strconv.FormatUint(m.Incarnation.Generation, 10)
		}
		p.printf("%s\t%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.State, generation, age, m.Reports, m.Scopes, m.Addr)
	}
}

func (p *statusPrinter) printQuota(scopes []quota.ScopeStatus) {
	if len(scopes) == 0 {
		return
	}
	p.printf("destination\tlimit\town\tlent\tlease holder\tgrant rate\tcapacity fraction\twaiting\n")
	for _, s := range scopes {
		scope := strconv.Itoa(int(s.Destination))
		if s.Endpoint != "" {
			scope += " " + s.Endpoint
		}
		p.printf("%s\t%.3g\t%.3g\t%.3g\t%s\t%.3g\t%.2f\t%d\n", scope, s.Limit, s.OwnRate, s.Lent, s.LeaseHolder,
			s.GrantRate, s.CapacityFraction, s.PendingRequests)
	}
}

func (p *statusPrinter) printCounters(c membership.Counters) {
	p.printf("messages received %d, unreadable %d, of unsupported versions %d; ", c.Received, c.Unreadable,
		c.UnsupportedVersion)
	p.printf("rival reports %d, address conflicts %d, unknown members %d\n", c.RivalReports, c.AddressConflicts,
		c.UnknownMembers)
}
