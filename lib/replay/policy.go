package replay

import "time"

// Way is how instances come to know of each other's streams.
type Way uint8

// Values of Way.
const (
	Owners  Way = iota // one decides for a shard of engines; the others ask it
	News               // each decides and is told by all others, at once and four times a second
	Sampled            // as News, but each tells 128 others, drawn anew each time
	Slices             // as News, among the instances and engines of one failure domain
	Reports            // each decides by what engines report of themselves, 0.3 s late
)

var wayNames = [...]string{"owners", "news", "sampled", "slices", "reports"}

// String returns the name used on command lines.
func (w Way) String() string { return wayNames[w] }

// Policy is what the instances do; the zero value is what the product does.
type Policy struct {
	Way       Way
	SlowNews  bool // with News: placements are told after 60 ms in place of 3
	NoReading bool // prompts that wait on an engine don't count
	Force     bool // what finds no room is sent to the best engine
	Forget    bool // with Owners: the second in rank is told nothing before it takes over
	Stay      bool // with Owners: streams stay with the shard that they came to
}

// Policies are the policies by name.
var Policies = map[string]Policy{
	"owners": {}, "news": {Way: News}, "sampled": {Way: Sampled}, "slices": {Way: Slices}, "reports": {Way: Reports},
	"force": {Force: true}, "no-reading": {NoReading: true}, "slow-news": {Way: News, SlowNews: true},
	"forget": {Forget: true}, "stay": {Stay: true},
}

// Times of messages.
const (
	tick        = time.Millisecond
	hop         = 3 * time.Millisecond // a datagram between instances, with its handling at both ends
	lateNews    = 60 * time.Millisecond
	newsEvery   = 250 * time.Millisecond
	reportsLate = 300 * time.Millisecond
	changeGap   = 15 * time.Millisecond // from a change until it is told
	fanout      = 128
)

// Tally is how the streams of a play fared.
type Tally struct {
	Streams, InTime, Late, Away, Lost int
	CameBack, ServedBack              int // callers that came back, and of these those whose stream began
	Longs, LongsInTime                int
	Large, LargeInTime                int // streams with the largest tenth of prompts
	Preempted                         int
	Work, WorkInTime                  int // tokens: of prompts, and ten times those of answers
	Messages                          int // between instances
}

// Add adds another play's tally.
func (t *Tally) Add(o Tally) {
	t.Streams += o.Streams
	t.InTime += o.InTime
	t.Late += o.Late
	t.Away += o.Away
	t.Lost += o.Lost
	t.CameBack += o.CameBack
	t.ServedBack += o.ServedBack
	t.Longs += o.Longs
	t.LongsInTime += o.LongsInTime
	t.Large += o.Large
	t.LargeInTime += o.LargeInTime
	t.Preempted += o.Preempted
	t.Work += o.Work
	t.WorkInTime += o.WorkInTime
	t.Messages += o.Messages
}

// Share is the part of the streams that began in time.
func (t Tally) Share() float64 { return part(t.InTime, t.Streams) }

// WorkShare is the part of the work that began in time.
func (t Tally) WorkShare() float64 { return part(t.WorkInTime, t.Work) }

// LargeShare is the part of the largest tenth of prompts that began in time.
func (t Tally) LargeShare() float64 { return part(t.LargeInTime, t.Large) }

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }
