package lease

import "time"

const (
	// Duration is how long a lease lasts after a renewal.
	Duration = 4 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = time.Second
	// MaxSend is the longest time that one send under the lease may take.
	MaxSend = time.Second
	// ClockMargin allows for clocks of the holder and its successor whose rates differ by 5% over Duration.
	ClockMargin = 200 * time.Millisecond
	// StopMargin is how long before the lease expires the holder starts no more sends.
	StopMargin = MaxSend + ClockMargin
	// ReadInterval is the time between two reads of the lease row by a candidate that does not hold the lease.
	ReadInterval = 500 * time.Millisecond
)

// Timing holds the durations of a lease. All candidates for one lease use the same timing.
type Timing struct {
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals. ReadInterval is the time between two reads of the lease row by a
	// candidate that does not hold the lease.
	RenewInterval, ReadInterval time.Duration
	// MaxSend is the longest time that one send under the lease may take.
	MaxSend time.Duration
	// ClockMargin allows for clocks of the holder and its successor that run at different rates.
	ClockMargin time.Duration
}

// DefaultTiming is used if Options.Timing is zero.
var DefaultTiming = Timing{
	Duration: Duration, RenewInterval: RenewInterval, ReadInterval: ReadInterval, MaxSend: MaxSend, ClockMargin: ClockMargin,
}

// stopMargin is how long before the lease expires the holder starts no more sends.
func (t Timing) stopMargin() time.Duration { return t.MaxSend + t.ClockMargin }

// record is the value of a lease row.
type record struct {
	Holder string `json:"holder"`
	// Run is the start number of the holder, because a restarted instance does not hold the lease of its former run.
	Run  int64 `json:"run"`
	Term int64 `json:"term"`
	// DurationMs tells candidates how long to wait for a renewal, so that a later software version can use a longer
	// duration.
	DurationMs int64 `json:"duration_ms"`
	Released   bool  `json:"released,omitempty"`
	// Former holds other holders that may have acted within the lease duration. An older software version does not know it
	// and writes rows without it.
	Former []formerHolder `json:"former,omitempty"`
	// Token is the token of the commit that wrote the record. After a lost response the writer recognizes its own
	// record by it.
	Token string `json:"token"`
}

// formerHolder is a holder before the one that a record names.
type formerHolder struct {
	Holder string `json:"holder"`
	// AgeMs is the least time since it acted last, when the record was written.
	AgeMs int64 `json:"age_ms"`
}

// maxFormerHolders limits the former holders in a row. If there are more within the lease duration, new ones wait.
const maxFormerHolders = 16

// row is a lease row as read. The zero value means that the row does not exist.
type row struct {
	record
	revision int
}

// sentRecord is a record that was sent to the table. The response may be lost.
type sentRecord struct {
	record
	sentAt time.Time
}

// candidateState decides whether one candidate holds the lease and which record it writes next. It does no I/O. All
// times are on the candidate's own clock.
type candidateState struct {
	holder string
	run    int64
	timing Timing
	// singleProcess means that a row of another run of this holder belongs to a process that has ended.
	singleProcess bool

	hasReadRow  bool
	latest      row
	latestSince time.Time // when latest.revision was first read or committed
	lastSent    sentRecord

	held      bool
	term      int64
	expiresAt time.Time // lease duration after lastSent.sentAt of the last confirmed renewal
	stopped   bool      // the candidate gives the lease up and does not take it again
	// abstaining means that the candidate gives the lease up and does not take it until further notice.
	abstaining bool
}

func newCandidateState(holder string, run int64, timing Timing) *candidateState {
	return &candidateState{holder: holder, run: run, timing: timing}
}

func (c *candidateState) withSingleProcess(single bool) *candidateState {
	c.singleProcess = single
	return c
}

// isOwn reports whether the row names this run of this instance as the holder.
func (c *candidateState) isOwn(r row) bool { return r.Holder == c.holder && r.Run == c.run }

// recordSend records that next is about to be sent.
func (c *candidateState) recordSend(now time.Time, next record) {
	c.lastSent = sentRecord{record: next, sentAt: now}
}

// observe records the row as read, or as written by an acknowledged commit. now is a time after the response arrived:
// the row may have been written at any time before the response, so a successor must not start to wait for the expiry
// any earlier. A row with an older revision than the latest one is ignored, because reads may be stale.
func (c *candidateState) observe(now time.Time, r row) {
	if c.hasReadRow && r.revision < c.latest.revision {
		return
	}
	if !c.hasReadRow || r.revision != c.latest.revision {
		c.latest = r
		c.latestSince = now
		c.hasReadRow = true
	}
	if !c.isOwn(r) || r.Released {
		c.held = false
		return
	}
	if r.Token == c.lastSent.Token && !c.stopped {
		c.held = true
		c.term = r.Term
		c.expiresAt = c.lastSent.sentAt.Add(c.timing.Duration)
	}
}

// sendDeadline returns the time at which every send under the lease must have ended.
func (c *candidateState) sendDeadline() time.Time { return c.expiresAt.Add(-c.timing.ClockMargin) }

// heldTerm returns the term, and whether the candidate holds the lease at now for long enough to start a send.
func (c *candidateState) heldTerm(now time.Time) (int64, bool) {
	if !c.held || c.stopped || c.abstaining || !now.Before(c.expiresAt.Add(-c.timing.stopMargin())) {
		return 0, false
	}
	return c.term, true
}

// nextRecord returns the record to write at now, if any. It is a renewal, or a takeover if the row does not exist, is
// released or has not changed for its whole duration since its revision was first seen. A holder whose lease has
// expired may still renew it, because nobody has taken over while the row is unchanged.
func (c *candidateState) nextRecord(now time.Time, token string) (record, bool) {
	if !c.hasReadRow || c.stopped || c.abstaining {
		return record{}, false
	}
	next := record{
		Holder:     c.holder,
		Run:        c.run,
		Term:       c.latest.Term,
		DurationMs: c.timing.Duration.Milliseconds(),
		Former:     c.formerHolders(now),
		Token:      token,
	}
	if c.isOwn(c.latest) && !c.latest.Released {
		return next, true
	}
	if now.Before(c.takeoverTime()) {
		return record{}, false
	}
	next.Term++
	return next, true
}

// takeoverTime returns the earliest time at which this candidate may take over the lease from another holder or from a
// former run.
func (c *candidateState) takeoverTime() time.Time {
	if c.latest.revision == 0 {
		return c.latestSince
	}
	if c.latest.Released {
		return c.latestSince.Add(c.turnDelay())
	}
	if c.singleProcess && c.latest.Holder == c.holder {
		// The former run renews no more, but its last sends may still be under way.
		return c.latestSince.Add(c.timing.stopMargin())
	}
	return c.latestSince.Add(c.duration())
}

// duration returns the lease duration that the latest row or this candidate's timing states, the longer one.
func (c *candidateState) duration() time.Duration {
	return max(time.Duration(c.latest.DurationMs)*time.Millisecond, c.timing.Duration)
}

// turnDuration is the time after its last act in which a holder does not act again if another one acted in between.
func (c *candidateState) turnDuration() time.Duration { return c.duration() + c.timing.ClockMargin }

// stop makes the candidate neither hold nor take the lease from now on.
func (c *candidateState) stop() { c.stopped = true }

// releaseRecord returns the record that releases the lease, if the row names this candidate as the holder.
func (c *candidateState) releaseRecord(now time.Time, token string) (record, bool) {
	if !c.hasReadRow || !c.isOwn(c.latest) || c.latest.Released {
		return record{}, false
	}
	r := c.latest.record
	r.Released = true
	r.Former = c.formerHolders(now)
	r.Token = token
	return r, true
}
