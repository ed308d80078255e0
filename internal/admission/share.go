package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// peerReportTTL is the age from which a peer's last report is ignored; the peer's share is then divided
	// between the other instances.
	peerReportTTL = 2 * time.Second
	// peerReportRetention is the age at which a peer's last report is deleted. Until then it is kept, so that
	// the cost served since that report can be computed if the peer reports again.
	peerReportRetention = time.Minute
	// evenShareFraction is the fraction of a team's limit that is divided evenly, so that an instance without
	// reported demand can start requests immediately.
	evenShareFraction = 0.1
	// nominalCost is the cost per request for converting waiting cost to requests. The measured mean cost differs
	// between instances, but all instances must compute the same limit shares.
	nominalCost = 1000
)

// demand is the demand of one team on one instance or on several: the number of running requests and the
// total cost of the waiting ones.
type demand struct {
	running     int
	waitingCost int64
}

func (d demand) isEmpty() bool { return d.running <= 0 && d.waitingCost <= 0 }

// requests converts the demand to a number of requests, given the mean cost of a request.
func (d demand) requests(meanCost float64) float64 {
	return float64(max(0, d.running)) + float64(max(0, d.waitingCost))/max(1, meanCost)
}

func (d *demand) add(other demand) {
	d.running += other.running
	d.waitingCost += other.waitingCost
}

// peerReport is the last report of a peer.
type peerReport struct {
	receivedAt time.Time
	start      int
	sequence   int
	entries    []peerDemand
	// servedCosts is the cost that the peer has served since its start, by team and service.
	servedCosts map[*teamQueue]int64
}

// peerDemand is the demand of one team in one service on a peer.
type peerDemand struct {
	team   *teamQueue
	demand demand
}

// slotShare returns the number of a service's slots that this instance may use. The slots are divided between
// the teams by weight, up to their demand, and each team's slots are divided between the instances by its demand
// on each of them; spare slots are divided evenly. Dividing by the total demand of each instance instead would
// give an overloading team slots in proportion to its overload.
func slotShare(s *scheduler, instances int) int {
	if s.capacity <= 0 {
		return 0
	}
	demands := make([]slotDemand, 0, len(s.teamsByArrival))
	for _, t := range s.teamsByArrival {
		own := t.demand().requests(s.meanCost)
		if total := own + t.remote.requests(s.meanCost); total > 0 {
			demands = append(demands, slotDemand{team: t.name, weight: t.weight, requests: total, ownFraction: own / total})
		}
	}
	share, spare := divideMaxMin(float64(s.capacity), demands)
	share += spare / float64(instances)
	return max(1, int(math.Round(share)))
}

// slotDemand is the demand of one team on the slots of a service, over all instances.
type slotDemand struct {
	team     string
	weight   float64
	requests float64
	// ownFraction is the fraction of the requests that is on this instance.
	ownFraction float64
}

// divideMaxMin divides the slots between the teams by weighted max-min fairness. It returns the slots for this
// instance's part of the demands, and the slots that no team needs.
func divideMaxMin(slots float64, demands []slotDemand) (own, spare float64) {
	var weights float64
	for _, d := range demands {
		weights += d.weight
	}
	slices.SortFunc(demands, func(a, b slotDemand) int {
		return cmp.Or(cmp.Compare(a.requests/a.weight, b.requests/b.weight), cmp.Compare(a.team, b.team))
	})
	for _, d := range demands {
		share := min(d.requests, slots*d.weight/weights)
		own += share * d.ownFraction
		slots -= share
		weights -= d.weight
	}
	return own, max(0, slots)
}

// teamDemand is the demand of one team on one instance over all services.
type teamDemand struct {
	instance string
	requests float64
	running  int
}

// divideLimit divides a team's limit between the instances. It returns their shares in the order of demands,
// which must be the same on all instances. Fractions are rounded by the largest remainder method, so the shares
// add up to the limit. If the limit is at least the number of instances, each gets at least the returned base,
// which is then at least 1.
func divideLimit(limit int, demands []teamDemand) (shares []int, base int) {
	instances := len(demands)
	if limit >= instances {
		base = max(1, int(evenShareFraction*float64(limit))/instances)
	}
	var total float64
	for _, d := range demands {
		total += d.requests
	}
	divisible := limit - base*instances
	unassigned := divisible
	shares = make([]int, instances)
	remainders := make([]float64, instances)
	order := make([]int, instances)
	for i, d := range demands {
		exact := float64(divisible) / float64(instances)
		if total > 0 {
			exact = float64(divisible) * d.requests / total
		}
		whole := int(exact)
		unassigned -= whole
		shares[i], remainders[i], order[i] = base+whole, exact-float64(whole), i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range order[:max(0, unassigned)] {
		shares[i]++
	}
	return shares, base
}

// usableLimitShare returns the part of a team's limit that the instance self may use now. While other instances
// still run more requests than their shares, its share is reduced by a part of the excess, in proportion to what
// it has above the base and at most down to the base.
func usableLimitShare(limit int, self string, demands []teamDemand) int {
	shares, base := divideLimit(limit, demands)
	share, excess := base, 0
	for i, d := range demands {
		if d.instance == self {
			share = shares[i]
		} else {
			excess += max(0, d.running-shares[i])
		}
	}
	divisible := limit - base*len(demands)
	if excess == 0 || divisible <= 0 {
		return share
	}
	reduction := math.Ceil(float64(excess*(share-base)) / float64(divisible))
	return max(base, share-int(reduction))
}

// shareGrowthDelay is the time after which an instance uses a larger share of a limit. By then every other
// instance has received the demand that makes its share smaller: the delay covers an exchange interval of
// 500 ms, maxShareInterval and the transmission time.
const shareGrowthDelay = time.Second

// delayedGrowth delays the growth of a share by shareGrowthDelay.
type delayedGrowth struct {
	pendingShare int
	pendingSince time.Time
}

// nextShare returns the share to use from now on, given the current share and the one that the demand allows. A
// smaller share applies immediately. After the delay, the smallest larger share that was allowed during it applies.
func (g *delayedGrowth) nextShare(current, allowed int, now time.Time) int {
	switch {
	case allowed <= current:
		*g = delayedGrowth{}
		return allowed
	case g.pendingSince.IsZero():
		*g = delayedGrowth{pendingShare: allowed, pendingSince: now}
	default:
		g.pendingShare = min(g.pendingShare, allowed)
	}
	if now.Sub(g.pendingSince) < shareGrowthDelay {
		return current
	}
	share := g.pendingShare
	*g = delayedGrowth{}
	return share
}
