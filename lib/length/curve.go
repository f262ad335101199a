package length

// Curve is a survival function of total output length: the probability that an output reaches at least a given length. It is read-only for
// callers and is updated in place by its Estimator.
type Curve struct {
	reach [numBuckets + 1]float32 // probability to reach the lower edge of each bucket; the last is 0
	known int                     // >0: the length is known in advance
}

// Fixed returns the curve of a length that is known in advance.
func Fixed(n int) Curve { return Curve{known: max(n, 1)} }

// Reach returns the probability that an output has more than n tokens.
func (c *Curve) Reach(n int) float64 {
	if c.known > 0 {
		if n < c.known {
			return 1
		}
		return 0
	}
	return float64(c.interpolate(n + 1))
}

// interpolate returns the probability to reach n tokens, interpolated within the bucket of n.
func (c *Curve) interpolate(n int) float32 {
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

// minReach keeps conditional probabilities defined beyond the longest observed output.
const minReach = 1e-12

// Survival returns the probability that an output of generated tokens so far gets more than ahead further tokens.
func (c *Curve) Survival(generated, ahead int) float64 {
	reached := c.Reach(generated - 1)
	if c.known > 0 && generated >= c.known {
		// It ran past its announced length: it may end with any token.
		return 0
	}
	if reached < minReach {
		return 0.5
	}
	return min(c.Reach(generated+ahead)/reached, 1)
}

// Quantile returns the number of further tokens that an output of generated tokens stays within with probability q.
func (c *Curve) Quantile(generated int, q float64) int {
	lo, hi := 0, MaxLength
	for lo < hi {
		mid := (lo + hi) / 2
		if c.Survival(generated, mid) <= 1-q {
			hi = mid
		} else {
			lo = mid + 1
		}
	}
	return lo
}

// Mean returns the expected number of further tokens, with the total capped at limit (0: no limit).
func (c *Curve) Mean(generated, limit int) float64 {
	if c.known > 0 {
		return float64(max(c.known-generated, 0))
	}
	reached := c.interpolate(generated)
	if reached < minReach {
		return 1
	}
	end := MaxLength
	if limit > 0 {
		end = min(limit, end)
	}
	if end <= generated {
		return 0
	}
	var sum float32
	pos := generated
	prevReach := reached
	for b := bucketOf(generated); b < numBuckets && pos < end; b++ {
		nextPos := min(int(edges[b+1]), end)
		reach := c.interpolate(nextPos)
		sum += (prevReach + reach) / 2 * float32(nextPos-pos)
		pos, prevReach = nextPos, reach
	}
	return float64(sum / reached)
}
