package settings

import (
	"fmt"
	"math"
	"net/netip"
)

// maxQuota is the maximum of a team's guarantee or limit.
const maxQuota = 1e9

// fieldError returns an error about a field, given by its path in the file.
func fieldError(field, format string, args ...any) error {
	return fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
}

// check returns an error for the first invalid field, or nil. It converts team limits of 0, which mean none, to
// infinity.
func (s *Settings) check() error {
	for _, check := range []func() error{
		s.checkAddresses,
		s.checkZones,
		s.checkTeams,
		s.checkObjectives,
		s.checkAmounts,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// address is a field whose value must be an IPv4 address with a port.
type address struct{ field, value string }

func (s *Settings) checkAddresses() error {
	if s.Name == "" {
		return fieldError("host_name", "missing")
	}
	addresses := []address{
		{"serve_on", s.Listen},
		{"peer_listen", s.PeerListen},
		{"outside.cloud", s.Services.Cloud},
		{"outside.state", s.Services.KVStore},
	}
	seen := map[string]bool{s.Name: true}
	for i, p := range s.Peers {
		field := fmt.Sprintf("seeds[%d]", i)
		if p.Name == "" || seen[p.Name] {
			return fieldError(field+".host_name", "missing or not unique")
		}
		seen[p.Name] = true
		addresses = append(addresses, address{field + ".endpoint", p.Endpoint})
	}
	for _, a := range addresses {
		if ap, err := netip.ParseAddrPort(a.value); err != nil || !ap.Addr().Is4() || ap.Port() == 0 {
			return fieldError(a.field, "%q is not an IPv4 address with a port", a.value)
		}
	}
	return nil
}

func (s *Settings) checkZones() error {
	d := &s.Deployment
	if d.Size != 0 && d.Size != len(s.Peers)+1 {
		return fieldError("deployment.initial_size", "is %d, but there are %d controllers including the seeds", d.Size, len(s.Peers)+1)
	}
	if len(d.Zones) == 0 {
		return fieldError("deployment.zones", "missing")
	}
	if i := duplicate(d.Zones); i >= 0 {
		return fieldError(fmt.Sprintf("deployment.zones[%d]", i), "%q is empty or a duplicate", d.Zones[i])
	}
	return nil
}

// checkTeams also converts a limit of 0, which means none, to infinity.
func (s *Settings) checkTeams() error {
	teams := s.Deployment.Teams
	if len(teams) == 0 {
		return fieldError("deployment.teams", "missing")
	}
	names := make([]string, len(teams))
	for i := range teams {
		names[i] = teams[i].Name
		if err := teams[i].checkQuota(fmt.Sprintf("deployment.teams[%d]", i)); err != nil {
			return err
		}
		for _, limit := range []*float64{&teams[i].CPUsMax, &teams[i].GPUsMax} {
			if *limit == 0 {
				*limit = math.Inf(1)
			}
		}
	}
	if i := duplicate(names); i >= 0 {
		return fieldError(fmt.Sprintf("deployment.teams[%d].name", i), "%q is empty or a duplicate", names[i])
	}
	return nil
}

// checkQuota checks a team's guarantees and limits. path is the path of the team in the file.
func (t *Team) checkQuota(path string) error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"cpus", t.CPUs},
		{"cpus_max", t.CPUsMax},
		{"gpus", t.GPUs},
		{"gpus_max", t.GPUsMax},
	} {
		if amount.value < 0 || amount.value > maxQuota || math.IsNaN(amount.value) {
			return fieldError(path+"."+amount.field, "%g is out of range", amount.value)
		}
	}
	return nil
}

func (s *Settings) checkObjectives() error {
	for i, o := range s.Deployment.Objectives {
		if o.WithinSeconds < 0 || o.Share < 0 || o.Share > 1 || o.DeadlineFactor < 0 {
			return fieldError(fmt.Sprintf("deployment.objectives[%d]", i), "has a negative number or a share above 1")
		}
	}
	return nil
}

// bounds is a numeric field with the least and the largest value that it may have.
type bounds struct {
	field           string
	value, min, max float64
}

// checkAmounts checks the numeric fields that have bounds. NaN is always out of bounds.
func (s *Settings) checkAmounts() error {
	d := &s.Deployment
	fields := []bounds{
		{"workers.report_s", d.Agents.HeartbeatSeconds, 0.1, 600},
		{"workers.lease_s", d.Agents.LeaseSeconds, 0.5, 3600},
		{"workers.gang_wait_s", d.Agents.GangWaitSeconds, 0, 3600},
		{"workers.gang_peer_s", d.Agents.GangPeerSeconds, 0, 3600},
		{"workers.cancel_s", d.Agents.CancelSeconds, 1, 3600},
		{"cloud.rps", d.Cloud.RequestsPerSecond, 0.1, 1e6},
		{"cloud.list_lag_s", d.Cloud.ListLagSeconds, 0, 600},
		{"limits.cores", d.Limits.Cores, 0.01, 1024},
		{"limits.memory_mb", d.Limits.MemoryMB, 32, 1 << 20},
		{"limits.max_sockets", float64(d.Limits.MaxSockets), 64, 1 << 20},
		{"clock_off_ms", d.ClockErrorMillis, 0, 60000},
	}
	fields = append(fields, storeBounds("state.", d.KVStore.limits())...)
	if d.KVStore.Announced != nil {
		for _, b := range storeBounds("state.next.", *d.KVStore.Announced) {
			if b.value != 0 {
				fields = append(fields, b)
			}
		}
	}
	for _, b := range fields {
		if !(b.value >= b.min && b.value <= b.max) {
			return fieldError("deployment."+b.field, "%g is not between %g and %g", b.value, b.min, b.max)
		}
	}
	return nil
}

// limits returns the limits without the announced ones.
func (l *KVStore) limits() AnnouncedLimits {
	return AnnouncedLimits{l.RequestsPerSecond, l.ChangesPerSecond, l.ValueKB, l.ChangesPerTransaction}
}

// storeBounds returns the bounds of limits of the state service; path is the path of their fields in the file.
func storeBounds(path string, l AnnouncedLimits) []bounds {
	return []bounds{
		{path + "rps", l.RequestsPerSecond, 1, 1e6},
		{path + "write_rps", l.ChangesPerSecond, 1, 1e6},
		{path + "value_kb", l.ValueKB, 1, 1 << 16},
		{path + "txn_ops", float64(l.ChangesPerTransaction), 4, 1e4},
	}
}

// duplicate returns the index of the first empty or repeated name, or -1 if there is none.
func duplicate(names []string) int {
	seen := map[string]bool{}
	for i, n := range names {
		if n == "" || seen[n] {
			return i
		}
		seen[n] = true
	}
	return -1
}
