package owner

import (
	"time"

	"anvilwick.example/anvilwick/lib/roomforecast"
)

const (
	// inflowMemory is the time over which the rate of arriving streams is averaged.
	inflowMemory = 10 * time.Second
	// shortRun separates streams that hold memory for less from others: a mean over both would stand for neither.
	shortRun = time.Second
)

// inflow estimates how much memory arriving streams take, short ones and others.
type inflow struct{ short, long flow }

// flow is a decayed sum over recent arrivals. It is too low at first: a few arrivals show no rate.
type flow struct {
	tokens       float64
	unread       float64
	tokenSeconds float64
	at           time.Time
}

func (f *flow) add(now time.Time, s *roomforecast.Stream) {
	left := decay(f.at, now, inflowMemory)
	f.tokens = f.tokens*left + float64(s.Tokens)
	f.unread = f.unread*left + float64(s.Unread)
	f.tokenSeconds = f.tokenSeconds*left + float64(s.Tokens)*s.Lasts.Seconds()
	f.at = now
}

// addTo adds the streams that will arrive at the observed rate.
func (f *flow) addTo(now time.Time, d *roomforecast.Demand) {
	if f.tokens <= 0 {
		return
	}
	perSecond := decay(f.at, now, inflowMemory) / inflowMemory.Seconds()
	d.AddInflow(perSecond*f.tokens, time.Duration(f.tokenSeconds/f.tokens*float64(time.Second)), perSecond*f.unread)
}

func (i *inflow) add(now time.Time, s *roomforecast.Stream) {
	if s.Lasts < shortRun {
		i.short.add(now, s)
		return
	}
	i.long.add(now, s)
}

func (i *inflow) addTo(now time.Time, d *roomforecast.Demand) {
	i.short.addTo(now, d)
	i.long.addTo(now, d)
}
