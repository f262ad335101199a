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

// tableShare is the part of the memory that the copy of one table may take, with recent removals: there are several, and one that is read whole may take a
// sixteenth.
const tableShare = 1.0 / 10

// replica returns the replica of a table, with logging and metrics of its outages and eras.
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
	}).WithLimit(int64(tableShare * float64(int64(p.cfg.MemoryMB)<<20)))
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_age_seconds{table=%q}`, table), func() float64 {
		return time.Since(r.LastContact()).Seconds()
	})
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_era{table=%q}`, table), func() float64 { return float64(r.Position().Era) })
	metrics.GetOrCreateGauge(fmt.Sprintf(`anvilwick_feed_version{table=%q}`, table), func() float64 { return float64(r.Position().Version) })
	return r
}

// logEra logs that the store was restored from a backup, and what is retained although the backup lacks it.
func logEra(table string, u feed.Update) {
	ev := log.Warn().Str("event", "feed_era").Str("feed", table).Str("before", u.Previous.String()).Str("now", u.Position().String())
	ev = ev.Int("rows", len(u.Rows)).Int("kept_writes", u.RetainedCounts.Writes).Int("kept_rows", u.RetainedCounts.Rows)
	ev = ev.Int("kept_removals", u.RetainedCounts.Removals).Str("peer", u.Peer)
	ev.Int64("restore_version", u.Restore.Version).Int64("restore_age_ms", u.Restore.Age.Milliseconds()).Msg("")
	for _, h := range u.Hidden[:min(hiddenLogged, len(u.Hidden))] {
		ev := log.Warn().Str("event", "row_hidden").Str("feed", table).Str("key", h.Removed.Key).Int64("stored", h.Stored)
		ev = ev.Int64("removed", h.Removed.Version).Int64("prior", h.Removed.PriorVersion)
		ev.Int64("left_ms", h.Remaining.Milliseconds()).Msg("")
	}
}

// hiddenLogged bounds the log lines about hidden rows per restore.
const hiddenLogged = 16

// logRegained logs that contact with a table is back after an outage.
func logRegained(name string, u feed.Update) {
	ev := log.Info().Str("event", "feed_regained").Str("feed", name).Int64("unconfirmed_ms", u.Outage.Milliseconds())
	ev = ev.Int64("confirmed_ago_ms", u.ConfirmedAgo.Milliseconds())
	ev.Str("before", u.Previous.String()).Str("now", u.Position().String()).Bool("read_whole", u.Snapshot).Int("rows", len(u.Rows)).Msg("")
}

// targetsLogged bounds the log lines about targets per change of their list; for the rest only the count is logged. The start of a site
// would otherwise fill the log with one line per target.
const targetsLogged = 16

// logTargets logs the targets named by a change of the list.
func logTargets(level log.Level, event string, targets []fleet.Info) {
	logTargetsWith(level, event, targets, func(_ fleet.Info, ev *log.Entry) *log.Entry { return ev })
}

// logLeaving logs targets that leave, and why they count as leaving.
func (p *Process) logLeaving(targets []fleet.Info) {
	logTargetsWith(log.InfoLevel, "target_leaving", targets, func(t fleet.Info, ev *log.Entry) *log.Entry {
		return ev.Str("cause", p.fleet.DepartureOf(t.ID).String())
	})
}

// logTargetsWith logs targets with the fields that addFields adds to each line.
func logTargetsWith(level log.Level, event string, targets []fleet.Info, addFields func(fleet.Info, *log.Entry) *log.Entry) {
	for _, t := range targets[:min(targetsLogged, len(targets))] {
		ev := log.DefaultLogger.WithLevel(level).Str("event", event).Str("target", t.ID).Str("service", t.Service).Str("addr", t.Addr)
		addFields(t, ev.Str("software", t.Software.Name).Int64("born", t.Born)).Msg("")
	}
	if more := len(targets) - targetsLogged; more > 0 {
		log.DefaultLogger.WithLevel(level).Str("event", event).Int("more", more).Msg("")
	}
}

// feedErrorHandler returns the handler of feed errors, which logs them per table; an empty table name stands for all tables.
func (p *Process) feedErrorHandler() func(table string, err error) {
	logs := make(map[string]func(error))
	for name, r := range p.replicas() {
		logs[name] = feedLossLogger(name, r)
	}
	return func(table string, err error) {
		for name, logError := range logs {
			if table == "" || table == name {
				logError(err)
			}
		}
		if table == "" || table == targetsTable {
			now := time.Now()
			p.listFailed.Store(&now)
		}
	}
}

// logFeedSource logs a change of the source of the tables: a peer or the store.
func (p *Process) logFeedSource(instance string) {
	if instance == "" {
		instance = "store"
	}
	assigned := p.assignment()
	log.Info().Str("event", "feed_source").Str("source", instance).Int("role", int(assigned.Role)).Int("rank", assigned.Rank).Msg("")
}

// feedLossLogger returns a function that logs the loss of a feed once per outage: the feed is retried several times a second.
func feedLossLogger(name string, r *feed.Replica) func(error) {
	var mu sync.Mutex
	var loggedContact time.Time // last contact before the failure logged last
	logged := false
	return func(err error) {
		contact := r.LastContact()
		mu.Lock()
		defer mu.Unlock()
		if logged && contact.Equal(loggedContact) {
			return
		}
		logged, loggedContact = true, contact
		logline.Send(log.Warn().Str("event", "feed_failed").Str("feed", name), err)
	}
}
