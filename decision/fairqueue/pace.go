package fairqueue

import "time"

const (
	// paceSmoothing is the least weight of the newest interval in the moving average. With 0.1, its variation times 200
	// queued requests shed a tenth of a hot account's requests after a wait, now 0.1%.
	paceSmoothing = 0.02
	// paceSamples is the number of intervals from which on the average is used. Statements that started together end
	// together, so that one interval is long and the next ones are short.
	paceSamples = 8
	// paceLifetime is how long the average holds without a queued request of the account.
	paceLifetime = time.Second
)

// pace measures the time between an account's grants while it has queued requests. It shows the share of the slots that
// the account gets, which depends on requests of other accounts that arrive later.
type pace struct {
	interval time.Duration // moving average
	samples  int           // since the average was unknown
	since    time.Duration // of the last grant, or of the first request queued after it
	waiting  bool          // requests are queued
}

// queued records a queued request.
func (p *pace) queued(now time.Duration) {
	if p.waiting {
		return
	}
	if now-p.since > paceLifetime {
		p.samples = 0
	}
	p.since, p.waiting = now, true
}

// granted records the grant of a queued request.
func (p *pace) granted(now time.Duration, more bool) {
	sample := now - p.since
	p.samples++
	weight := max(paceSmoothing, 1/float64(p.samples))
	p.interval += time.Duration(weight * float64(sample-p.interval))
	p.since, p.waiting = now, more
}

// wait returns the time until a request is granted that has the given number of queued requests of its account before it.
func (p *pace) wait(now time.Duration, ahead int) time.Duration {
	if !p.waiting || p.samples < paceSamples {
		return 0
	}
	return time.Duration(ahead)*p.interval + max(p.interval-(now-p.since), 0)
}
