package gatewayproc

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/logline"
)

// replica returns the replica of a table, which logs and counts what happens to it.
func (p *Process) replica(table string, apply func(feed.Update)) *feed.Replica {
	eras := metrics.GetOrCreateCounter(fmt.Sprintf(`anvilwick_feed_eras_total{table=%q}`, table))
	r := feed.NewReplica(func(u feed.Update) {
		if u.Outage > 0 && table != instancesTable {
			logRegained(table, u)
		}
		if u.Restored {
			eras.Inc()
			logEra(table, u)
		}
		apply(u)
	})
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_age_seconds{table=%q}`, table), func() float64 {
		return time.Since(r.LastContact()).Seconds()
	})
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_era{table=%q}`, table), func() float64 { return float64(r.Position().Era) })
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_version{table=%q}`, table), func() float64 { return float64(r.Position().Version) })
	return r
}

// logEra tells that the store has come back from a copy, and what is held on to although the copy lacks it.
func logEra(table string, u feed.Update) {
	at := log.Warn().Str("event", "feed_era").Str("feed", table).Str("before", u.Previous.String()).Str("now", u.Position().String())
	at = at.Int("rows", len(u.Rows)).Int("kept_writes", u.RetainedCounts.Writes).Int("kept_rows", u.RetainedCounts.Rows)
	at.Int("kept_removals", u.RetainedCounts.Removals).Msg("")
}

// logRegained tells that a table is heard again after an outage.
func logRegained(name string, u feed.Update) {
	at := log.Info().Str("event", "feed_regained").Str("feed", name).Int64("silent_ms", u.Outage.Milliseconds())
	at.Str("before", u.Previous.String()).Str("now", u.Position().String()).Bool("read_whole", u.Snapshot).Int("rows", len(u.Rows)).Msg("")
}

// targetsLogged bounds the lines about targets of one change of their list. Of more only the number is told: a site's start would
// fill the log with a line a target.
const targetsLogged = 16

// logTargets tells of targets that a change of the list names.
func logTargets(level log.Level, event string, targets []fleet.Info) {
	for _, t := range targets[:min(targetsLogged, len(targets))] {
		at := log.DefaultLogger.WithLevel(level).Str("event", event).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr)
		at.Int64("born", t.Born).Msg("")
	}
	if more := len(targets) - targetsLogged; more > 0 {
		log.DefaultLogger.WithLevel(level).Str("event", event).Int("more", more).Msg("")
	}
}

// feedFailed returns what is told of each table that is lost; an empty name stands for all.
func (p *Process) feedFailed() func(table string, err error) {
	logs := make(map[string]func(error))
	for name, r := range p.replicas() {
		logs[name] = lost(name, r)
	}
	return func(table string, err error) {
		for name, tell := range logs {
			if table == "" || table == name {
				tell(err)
			}
		}
		if table == "" || table == targetsTable {
			now := time.Now()
			p.listFailed.Store(&now)
		}
	}
}

// feedFrom logs from where the tables come.
func (p *Process) feedFrom(instance string) {
	if instance == "" {
		instance = "store"
	}
	at := p.place()
	log.Info().Str("event", "feed_source").Str("source", instance).Int("role", int(at.Role)).Int("rank", at.Rank).Msg("")
}

// lost logs that a feed was lost, once until it has been heard again: it is tried several times a second.
func lost(name string, r *feed.Replica) func(error) {
	var mu sync.Mutex
	var told time.Time // the contact before the failure that was last logged
	logged := false
	return func(err error) {
		contact := r.LastContact()
		mu.Lock()
		defer mu.Unlock()
		if logged && contact.Equal(told) {
			return
		}
		logged, told = true, contact
		logline.Cause(log.Warn().Str("event", "feed_failed").Str("feed", name), err)
	}
}
