package step

import (
	"slices"
	"time"
)

// maxComparedGroups limits how many groups are compared when the next group is selected.
const maxComparedGroups = 4096

// issueOrder determines the order in which slots get their first attempt. It starts with one member of each
// group. The other members follow group by group, each time those of the group with the longest outputs so far:
// long outputs that start last would delay the whole step, and members that start together find their common
// prompt in an engine's prefix cache.
type issueOrder struct {
	// firstMembersIssued is the number of groups whose first member was issued.
	firstMembersIssued int
	// pendingGroups holds the groups of which at most the first member was issued.
	pendingGroups []int
	// group and member identify the next slot to issue of the group being issued; group is -1 if there is none.
	group, member int
}

func newIssueOrder(groups int) issueOrder {
	o := issueOrder{pendingGroups: make([]int, groups), group: -1}
	for g := range o.pendingGroups {
		o.pendingGroups[g] = g
	}
	return o
}

// peekSlot returns the slot that Next would start.
func (s *Step) peekSlot(now time.Time) (int, bool) {
	s.queueDueRetries(now)
	for len(s.retryQueue) > 0 {
		i := s.retryQueue[0]
		if s.slots[i].needsAttempt() {
			return i, true
		}
		s.popRetry()
	}
	for {
		i, ok := s.peekUnissued()
		if !ok || s.slots[i].needsAttempt() && !s.slots[i].issued {
			return i, ok
		}
		s.popUnissued(i)
	}
}

// popSlot removes slot i, which peekSlot returned, from the retry queue or the issue order.
func (s *Step) popSlot(i int) {
	if len(s.retryQueue) > 0 {
		s.popRetry()
		return
	}
	s.popUnissued(i)
}

func (s *Step) popRetry() {
	s.slots[s.retryQueue[0]].queued = false
	s.retryQueue = s.retryQueue[1:]
}

// peekUnissued returns the next slot in issue order, even if it needs no attempt any more.
func (s *Step) peekUnissued() (int, bool) {
	n := s.spec.SamplesPerGroup
	o := &s.order
	if o.firstMembersIssued < len(s.spec.Groups) {
		return o.firstMembersIssued * n, true
	}
	for o.group < 0 || o.member == n {
		if !s.selectNextGroup() {
			return 0, false
		}
	}
	return o.group*n + o.member, true
}

// popUnissued marks slot i, which peekUnissued returned, as issued.
func (s *Step) popUnissued(i int) {
	s.slots[i].issued = true
	if s.order.firstMembersIssued < len(s.spec.Groups) {
		s.order.firstMembersIssued++
		return
	}
	s.order.member++
}

// selectNextGroup makes the pending group with the longest outputs the one being issued.
func (s *Step) selectNextGroup() bool {
	o := &s.order
	if len(o.pendingGroups) == 0 {
		return false
	}
	longest := s.longestRunningByGroup()
	best, bestLength := 0, -1
	for index, g := range o.pendingGroups[:min(len(o.pendingGroups), maxComparedGroups)] {
		if n := max(longest[g], meanLength(s.finishedLengths[g])); n > bestLength {
			best, bestLength = index, n
		}
	}
	o.group = o.pendingGroups[best]
	o.member = 1
	o.pendingGroups = slices.Delete(o.pendingGroups, best, best+1)
	return true
}

// longestRunningByGroup returns the number of tokens of the longest running member of each group, which is a
// lower bound of its final length.
func (s *Step) longestRunningByGroup() map[int]int {
	longest := map[int]int{}
	for _, a := range s.attempts {
		g := a.slot / s.spec.SamplesPerGroup
		longest[g] = max(longest[g], a.rec.Tokens())
	}
	return longest
}

func meanLength(lengths []int) int {
	if len(lengths) == 0 {
		return 0
	}
	sum := 0
	for _, n := range lengths {
		sum += n
	}
	return sum / len(lengths)
}

// queueDueRetries moves slots whose backoff has ended to the retry queue.
func (s *Step) queueDueRetries(now time.Time) {
	kept := s.delayedRetries[:0]
	for _, i := range s.delayedRetries {
		if s.slots[i].retryAt.After(now) {
			kept = append(kept, i)
			continue
		}
		s.retryQueue = append(s.retryQueue, i)
	}
	s.delayedRetries = kept
}
