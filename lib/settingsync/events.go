package settingsync

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

var (
	swapsTotal   = metrics.NewCounter("anvilwick_settings_swaps_total")
	refusedTotal = metrics.NewCounter("anvilwick_settings_refused_total")
	staleTotal   = metrics.NewCounter("anvilwick_settings_stale_total") // ignored revisions lower than the highest seen
	splitTotal   = metrics.NewCounter("anvilwick_settings_split_total") // one revision seen with two texts: an invariant violation
	pollErrors   = metrics.NewCounter("anvilwick_settings_poll_errors_total")
	peerErrors   = metrics.NewCounter("anvilwick_settings_peer_errors_total")
)

func logInForce(c candidate) {
	log.Info().Str("event", "settings_in_force").Uint64("revision", c.revision).Str("source", c.source).Msg("")
}

func logRefused(c candidate, inForce uint64, err error) {
	log.Error().Str("event", "settings_refused").Uint64("revision", c.revision).Str("source", c.source).
		Uint64("in_force", inForce).Err(err).Msg("")
}

func logDigestMismatch(seen, other candidate) {
	log.Error().Str("event", "settings_split").Uint64("revision", seen.revision).Str("source", seen.source).
		Str("digest", seen.digest).Str("other_source", other.source).Str("other_digest", other.digest).Msg("")
}

func reportPollError(err error) {
	pollErrors.Inc()
	log.Debug().Str("event", "settings_poll_failed").Err(err).Msg("")
}

func reportFetchError(instance string, err error) {
	peerErrors.Inc()
	log.Debug().Str("event", "settings_fetch_failed").Str("peer", instance).Err(err).Msg("")
}
