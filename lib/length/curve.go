package length

// Curve is a survival function of total output length: the chance that an output reaches at least a given length.
// It is read-only for callers and is updated in place by its Estimator.
type Curve struct {
	reach [numBuckets + 1]float32 // chance to reach the lower edge of each bucket; the last is 0
	known int                     // >0: the length is known
}

// Fixed returns the curve of a length that is known in advance.
func Fixed(n int) Curve { return Curve{known: max(n, 1)} }

// Reach returns the chance that an output has more than n tokens.
func (c *Curve) Reach(n int) float64 {
	if c.known > 0 {
		if n < c.known {
			return 1
		}
		return 0
	}
	return float64(c.at(n + 1))
}

// at interpolates within the bucket of n.
func (c *Curve) at(n int) float32 {
	if n <= 0 {
		return 1
	}
	b := bucketOf(n)
	lo, hi := edges[b], edges[b+1]
	if n > MaxLength {
		return c.reach[numBuckets-1]
	}
	frac := (float32(n) - lo) / (hi - lo)
	return c.reach[b] + frac*(c.reach[b+1]-c.reach[b])
}

// floorReach keeps conditional chances defined beyond the longest output ever seen.
const floorReach = 1e-12

// Survival returns the chance that an output which has had tokens so far gives more than ahead further tokens.
func (c *Curve) Survival(had, ahead int) float64 {
	given := c.Reach(had - 1)
	if c.known > 0 && had >= c.known {
		// It ran past what was told: it may end with any token.
		return 0
	}
	if given < floorReach {
		return 0.5
	}
	return min(c.Reach(had+ahead)/given, 1)
}

// Quantile returns the number of further tokens that an output with had tokens stays within with chance q.
func (c *Curve) Quantile(had int, q float64) int {
	lo, hi := 0, MaxLength
	for lo < hi {
		mid := (lo + hi) / 2
		if c.Survival(had, mid) <= 1-q {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// Mean returns the expected number of further tokens, none beyond limit in total (0: no limit).
func (c *Curve) Mean(had, limit int) float64 {
	if c.known > 0 {
		return float64(max(c.known-had, 0))
	}
	given := c.at(had)
	if given < floorReach {
		return 1
	}
	end := MaxLength
	if limit > 0 {
		end = min(limit, end)
	}
	if end <= had {
		return 0
	}
	var sum float32
	at := had
	last := given
	for b := bucketOf(had); b < numBuckets && at < end; b++ {
		next := min(int(edges[b+1]), end)
		reach := c.at(next)
		sum += (last + reach) / 2 * float32(next-at)
		at, last = next, reach
	}
	return float64(sum / given)
}
