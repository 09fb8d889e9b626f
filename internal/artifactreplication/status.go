package artifactreplication

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"topazhollow/internal/artifactstore"
)

// Status is the status that a replica reports.
type Status struct {
	Name                string            `json:"name"`
	Zone                string            `json:"zone"`
	State               string            `json:"state"` // serving, joining or draining
	Epoch               uint64            `json:"epoch"`
	Disk                string            `json:"disk"`
	Incarnation         uint64            `json:"incarnation"`
	Open                int               `json:"open_attempts"`
	Bytes               int64             `json:"bytes"`
	Blobs               int               `json:"blobs"`
	PendingRepairs      int               `json:"repair_left"`       // tasks of which this replica lacks something
	OldestRepairSeconds float64           `json:"repair_oldest"`     // seconds since the oldest of them was noticed
	RepairedTasks       int               `json:"repaired"`          // tasks repaired since the start
	RepairedBytes       int64             `json:"repaired_bytes"`    // bytes transferred by repair since the start
	UnderReplicated     int               `json:"replicas_short"`    // attempts and results that another replica lacks
	Misplaced           int               `json:"to_hand_over"`      // tasks of which this is no longer a replica
	Unreachable         map[string]string `json:"away,omitempty"`    // errors of the replicas that could not be compared with, by name
	Refused             map[string]int64  `json:"refused,omitempty"` // requests refused since the start, by reason
}

// Joining is the state of a serving replica that does not have all its data yet.
const Joining State = "joining"

// Status returns the status of this replica.
func (n *Node) Status() *Status {
	st := n.blobs.Stats()
	s := &Status{Name: n.opt.Name, Epoch: n.opt.Members.Epoch, Open: n.store.OpenCount(), Bytes: st.Bytes, Blobs: st.Blobs, Refused: n.metrics.refusalsByReason()}
	for _, m := range n.opt.Members.List {
		if m.Name == n.opt.Name {
			s.Zone, s.State = m.Zone, string(m.State)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := &n.opt.Members; s.State == string(Serving) && !n.id.isSynced(m) {
		s.State = string(Joining)
	}
	s.Disk, s.Incarnation = n.id.Disk, n.id.Incarnation
	r := &n.repair
	s.PendingRepairs, s.RepairedTasks, s.RepairedBytes, s.UnderReplicated, s.Misplaced, s.Unreachable = r.pending, r.repairedTasks, r.repairedBytes, r.underReplicated, r.misplaced, r.unreachable
	for _, since := range r.firstMissing {
		s.OldestRepairSeconds = max(s.OldestRepairSeconds, n.opt.Now().Sub(since).Seconds())
	}
	return s
}

// AskStatus requests the status of a replica.
func AskStatus(ctx context.Context, client *http.Client, url string, key []byte) (*Status, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", strings.TrimSuffix(url, "/")+"/status", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+artifactstore.Grant{Right: artifactstore.Operate, Until: time.Now().Add(time.Minute)}.Token(key))
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.New(resp.Status)
	}
	st := &Status{}
	return st, json.NewDecoder(resp.Body).Decode(st)
}

// metrics are a replica's Prometheus metrics.
type metrics struct {
	handler       http.Handler
	records       prometheus.Counter
	bytes         prometheus.Counter
	uploads       prometheus.Counter
	seals         prometheus.Counter
	appends       prometheus.Histogram
	refusals      *prometheus.CounterVec
	mu            sync.Mutex
	refusalCounts map[string]int64 // refusals by reason, for Status
}

func newMetrics(n *Node) *metrics {
	reg := prometheus.NewRegistry()
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "topaz_keep", Name: name, Help: help})
		reg.MustRegister(c)
		return c
	}
	m := &metrics{
		records: counter("records_total", "Records acknowledged by this front."),
		bytes:   counter("record_bytes_total", "Bytes of output acknowledged by this front."),
		uploads: counter("upload_bytes_total", "Bytes of files taken in here."),
		seals:   counter("seals_total", "Seals answered."),
		appends: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "topaz_keep", Name: "append_seconds", Help: "Time until enough keepers had an append.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16)}),
		refusals:      prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "topaz_keep", Name: "refusals_total", Help: "Requests refused, by reason."}, []string{"reason"}),
		refusalCounts: map[string]int64{},
	}
	reg.MustRegister(m.appends, m.refusals)
	gauge := func(name, help string, f func(*Status) float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "topaz_keep", Name: name, Help: help}, func() float64 { return f(n.Status()) }))
	}
	gauge("open_attempts", "Attempts that have not ended.", func(s *Status) float64 { return float64(s.Open) })
	gauge("bytes", "Disk in use, by the quotas' count.", func(s *Status) float64 { return float64(s.Bytes) })
	gauge("repair_left", "Tasks of which something is missing here.", func(s *Status) float64 { return float64(s.PendingRepairs) })
	gauge("repair_oldest_seconds", "Since the first of them was noticed.", func(s *Status) float64 { return s.OldestRepairSeconds })
	gauge("repaired_bytes", "Brought by repair since the start.", func(s *Status) float64 { return float64(s.RepairedBytes) })
	gauge("replicas_short", "Attempts and results that another keeper lacks.", func(s *Status) float64 { return float64(s.UnderReplicated) })
	gauge("to_hand_over", "Tasks that do not belong here.", func(s *Status) float64 { return float64(s.Misplaced) })
	gauge("keepers_away", "Keepers that could not be asked.", func(s *Status) float64 { return float64(len(s.Unreachable)) })
	m.handler = promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	return m
}

func (m *metrics) appended(records []artifactstore.Record, took time.Duration) {
	m.records.Add(float64(len(records)))
	for _, r := range records {
		m.bytes.Add(float64(len(r.Data)))
	}
	m.appends.Observe(took.Seconds())
}

func (m *metrics) uploaded(bytes int64) { m.uploads.Add(float64(bytes)) }

// refused counts a refused request by its error code. Errors without a code are counted as "request" or "internal",
// by their HTTP status.
func (m *metrics) refused(code string, status int) {
	if code == "" {
		code = "internal"
		if status < 500 {
			code = "request"
		}
	}
	m.refusals.WithLabelValues(code).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusalCounts[code]++
}

func (m *metrics) refusalsByReason() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.refusalCounts)
}
