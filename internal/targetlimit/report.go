package targetlimit

import "time"

// Report is the row in which an instance tells the others about targets with limits.
type Report struct {
	Targets map[string]TargetReport `json:"targets"`
}

// TargetReport is what an instance saw of one target, and whether it has requests for it.
type TargetReport struct {
	Service string  `json:"service"`
	Rate    float64 `json:"rate,omitempty"`
	// NamedAgeMs is the time since the instance saw the limit, EndedAgeMs since it saw that the limit had ended; nil means
	// that it did not.
	NamedAgeMs *int `json:"named_ms,omitempty"`
	EndedAgeMs *int `json:"ended_ms,omitempty"`
	Wanted     bool `json:"wanted,omitempty"`
	// ColdLeftMs is how long the target remains cold, if a response told this instance so.
	ColdLeftMs int `json:"cold_ms,omitempty"`
	// Sent is the number of requests that the instance sent in each of the last intervals of sentInterval, newest first.
	Sent []int `json:"sent,omitempty"`
}

// transitTime is the longest time that a report is expected to take. An observation whose age differs by less from that of
// another one need not be newer.
const transitTime = time.Second

func ageMs(at, now time.Time) *int {
	age := int(now.Sub(at).Milliseconds())
	return &age
}

// Report returns this instance's report; without targets there is nothing to tell.
func (t *Table) Report(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	r := Report{Targets: map[string]TargetReport{}}
	for _, id := range t.reportedTargets() {
		e := t.targets[id]
		report := TargetReport{Service: e.service, Wanted: e.limits(now) && e.wants(now), Sent: e.sent.counts(now)}
		switch {
		case e.ownEndedAt.After(e.ownNamedAt):
			if now.Sub(e.ownEndedAt) < reportedFor {
				report.EndedAgeMs = ageMs(e.ownEndedAt, now)
			}
		case !e.ownNamedAt.IsZero() && e.endedAt.IsZero():
			report.Rate, report.NamedAgeMs = e.ownRate, ageMs(e.ownNamedAt, now)
		}
		report.ColdLeftMs = int(max(0, e.coldSaidUntil.Sub(now).Milliseconds()))
		if report.Wanted || report.Sent != nil || report.ColdLeftMs > 0 || report.NamedAgeMs != nil || report.EndedAgeMs != nil {
			r.Targets[id] = report
		}
	}
	return r
}

// Confirm records that the table service accepted a report of this instance.
func (t *Table) Confirm(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt = now
	for id, e := range t.targets {
		if r.Targets[id].Wanted && e.reportedAt.IsZero() && e.wants(now) {
			e.reportedAt = now
		}
	}
}

// RecordRead records that the reports of the other instances were read. Reports that were not repeated for peerTTL stop
// counting only then: while the table service does not respond, the last ones count.
func (t *Table) RecordRead(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readAt = now
	t.peersVersion++
	for name, p := range t.peers {
		p.isLost = now.Sub(p.receivedAt) > peerTTL
		t.peers[name] = p
	}
}

// ExpiredReporters returns the instances whose rows can be removed: they have stopped, because an instance repeats its
// report or removes its row.
func (t *Table) ExpiredReporters(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for name, p := range t.peers {
		if now.Sub(p.receivedAt) > rowTTL {
			expired = append(expired, name)
		}
	}
	return expired
}

// ApplyReport records the report of another instance.
func (t *Table) ApplyReport(instance string, r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted, sent := map[string]bool{}, map[string]sentHistory{}
	for id, reported := range r.Targets {
		if reported.Wanted {
			wanted[id] = true
		}
		if len(reported.Sent) > 0 {
			sent[id] = historyOf(reported.Sent, now)
		}
		t.applyTarget(id, reported, now)
	}
	t.peersVersion++
	if len(r.Targets) == 0 {
		delete(t.peers, instance)
		return
	}
	t.peers[instance] = peer{wanted: wanted, sent: sent, receivedAt: now}
}

// ApplyFormer records what a former process of this instance saw, and what it sent.
func (t *Table) ApplyFormer(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, reported := range r.Targets {
		t.applyTarget(id, reported, now)
		if e := t.targets[id]; e != nil && len(reported.Sent) > 0 {
			e.sent = historyOf(reported.Sent, now)
		}
	}
	t.signalChange()
}

// RemoveReport forgets another instance.
func (t *Table) RemoveReport(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peersVersion++
	delete(t.peers, instance)
}

// applyTarget records what another instance saw of a target. The caller holds the lock.
func (t *Table) applyTarget(id string, r TargetReport, now time.Time) {
	if r.ColdLeftMs > 0 {
		t.setCold(id, r.Service, now.Add(min(time.Duration(r.ColdLeftMs)*time.Millisecond, maxColdTime)), now)
	}
	e := t.targets[id]
	switch {
	case r.NamedAgeMs != nil:
		namedAt := now.Add(-time.Duration(max(0, *r.NamedAgeMs)) * time.Millisecond)
		if now.Sub(namedAt) > observationTTL || r.Rate < 0 {
			return
		}
		if e == nil {
			if e = t.add(id, r.Service, now); e == nil {
				return
			}
		}
		if !e.endedAt.IsZero() && namedAt.Before(e.endedAt.Add(transitTime)) || namedAt.Before(e.namedAt) {
			return
		}
		e.rate, e.namedAt, e.endedAt = r.Rate, namedAt, time.Time{}
	case r.EndedAgeMs != nil && e != nil && !e.namedAt.IsZero() && e.endedAt.IsZero():
		endedAt := now.Add(-time.Duration(max(0, *r.EndedAgeMs)) * time.Millisecond)
		// What another instance saw may be older than its report suggests.
		if endedAt.After(e.ownNamedAt) && endedAt.After(e.namedAt.Add(-transitTime)) {
			e.endedAt = endedAt
		}
	}
}
