package targetlimit

import "time"

const (
	// Sent requests are counted in intervals of sentInterval, and kept for sentIntervals of them.
	sentInterval  = 500 * time.Millisecond
	sentIntervals = 8
)

// sentHistory counts the requests that one instance sent to a target lately.
type sentHistory struct {
	intervals []sentCount
}

// sentCount is the number of requests that were sent within sentInterval from a time on.
type sentCount struct {
	from  time.Time
	count int
}

// add counts a request.
func (h *sentHistory) add(now time.Time) {
	if last := len(h.intervals) - 1; last >= 0 && now.Sub(h.intervals[last].from) < sentInterval {
		h.intervals[last].count++
		return
	}
	if len(h.intervals) > sentIntervals {
		h.intervals = append(h.intervals[:0], h.intervals[1:]...)
	}
	h.intervals = append(h.intervals, sentCount{now, 1})
}

// since returns the number of requests from a time on. An interval that began before it counts whole.
func (h *sentHistory) since(start time.Time) int {
	count := 0
	for _, i := range h.intervals {
		if i.from.Add(sentInterval).After(start) {
			count += i.count
		}
	}
	return count
}

// counts returns the numbers by age, newest first, without the zeros at the end; nil if there are none.
func (h *sentHistory) counts(now time.Time) []int {
	var counts []int
	for _, i := range h.intervals {
		age := int(now.Sub(i.from) / sentInterval)
		if age < 0 || age >= sentIntervals {
			continue
		}
		for len(counts) <= age {
			counts = append(counts, 0)
		}
		counts[age] += i.count
	}
	return counts
}

// historyOf returns the history that counts describes.
func historyOf(counts []int, now time.Time) sentHistory {
	var h sentHistory
	for age := min(len(counts), sentIntervals) - 1; age >= 0; age-- {
		if counts[age] > 0 {
			h.intervals = append(h.intervals, sentCount{now.Add(-time.Duration(age+1) * sentInterval), counts[age]})
		}
	}
	return h
}
