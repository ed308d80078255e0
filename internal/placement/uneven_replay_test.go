package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of uneven engines: 45 engines of 8 slots and a queue of 24, a quarter of them slow; noise makes a part of them slower
// for 0.6 s at a time. Each owner gets a job of 130 to 190 items every 4 s and reads the others' heartbeats after a delay.
const (
	unevenTick          = 10 * time.Millisecond
	unevenSlots         = 8
	unevenQueue         = 24
	unevenJobInterval   = 4 * time.Second
	unevenNoiseTime     = 600 * time.Millisecond
	unevenNoise         = 2.5
	unevenEventTime     = 45 * time.Millisecond
	unevenLoadFactor    = 0.3
	unevenPrefill       = 100 * time.Millisecond
	unevenPrefillEvent  = time.Millisecond
	unevenIdleTime      = 8 * time.Second
	unevenHeartbeat     = 300 * time.Millisecond
	unevenFeedDelay     = 200 * time.Millisecond
	unevenMeanEvents    = 20
	unevenMedianEvents  = 11
	unevenOpenJobs      = 2
	unevenMeasureEvents = 6
)

type unevenLoad struct {
	engines, owners, steps int
	noisy                  float64
	even                   bool
	// together is set if all owners get their jobs at the same time.
	together bool
	// sameItems is set if all owners get the same items, so that only placement makes their step times differ.
	sameItems bool
	// oldReports is set if the heartbeats hold no demand, as those of earlier builds.
	oldReports bool
	// silentFrom and silentTo bound a time in which no heartbeat arrives.
	silentFrom, silentTo time.Duration
}

type unevenEngine struct {
	speed, noise  float64
	active, queue []*unevenItem
}

type unevenItem struct {
	replayItem
	owner               *unevenOwner
	prefill             time.Duration
	progress, lastEvent time.Duration
	running             bool
	measuredAt          time.Time
	notBefore           time.Time
	avoid               string
	moveTo              string
	left                []string
}

type unevenOwner struct {
	id            int
	pool          *Pool
	pending       []*unevenItem
	idle          map[string][]time.Time
	nextRound     time.Time
	nextHeartbeat time.Time
	nextJob       int
	nextSubmit    time.Time
	submitted     []time.Time
	jobs          [][]*unevenItem
	// random generates the items, so that they do not depend on the decisions.
	random *rand.Rand
}

type unevenReplay struct {
	unevenLoad
	random                                *rand.Rand
	fleet                                 []Engine
	engines                               map[string]*unevenEngine
	owners                                []*unevenOwner
	items, cuts, opened, arrivals, refuse int
	delayed                               []unevenDelivery
	now                                   time.Time
}

type unevenDelivery struct {
	at    time.Time
	apply func()
}

func newUnevenReplay(load unevenLoad) *unevenReplay {
	r := &unevenReplay{unevenLoad: load, random: rand.New(rand.NewPCG(3, 5)), fleet: newEngines(load.engines, unevenSlots), engines: map[string]*unevenEngine{}, now: start}
	for i, e := range r.fleet {
		speed := 1.2
		if i%4 == 0 {
			speed = 0.55
		}
		if load.even {
			speed = 1
		}
		r.engines[e.ID] = &unevenEngine{speed: speed, noise: 1}
	}
	for i := range load.owners {
		o := &unevenOwner{id: i, random: rand.New(rand.NewPCG(7, uint64(i))), pool: NewPool(nil), idle: map[string][]time.Time{}, nextRound: start, nextSubmit: start.Add(unevenJobInterval * time.Duration(i) / time.Duration(load.owners)), nextHeartbeat: start.Add(time.Duration(i) * 40 * time.Millisecond)}
		if load.sameItems {
			o.random = rand.New(rand.NewPCG(7, 0))
		}
		if load.together {
			o.nextSubmit = start
		}
		o.pool.SetEngines(r.fleet)
		r.owners = append(r.owners, o)
	}
	return r
}

func (r *unevenReplay) run() {
	for ; !r.done(); r.now = r.now.Add(unevenTick) {
		elapsed := r.now.Sub(start)
		if elapsed%unevenNoiseTime == 0 {
			for _, e := range r.fleet {
				r.engines[e.ID].noise = 1
				if r.random.Float64() < r.noisy {
					r.engines[e.ID].noise = unevenNoise
				}
			}
		}
		r.deliver()
		for _, o := range r.owners {
			r.submit(o)
			r.heartbeat(o)
			if !r.now.Before(o.nextRound) {
				r.round(o)
			}
		}
		for _, e := range r.fleet {
			r.advance(e.ID, r.engines[e.ID])
		}
	}
}

func (r *unevenReplay) done() bool {
	return !slices.ContainsFunc(r.owners, func(o *unevenOwner) bool { return o.nextJob < r.steps || !r.isComplete(slices.Concat(o.jobs...)) })
}

func (r *unevenReplay) deliver() {
	r.delayed = slices.DeleteFunc(r.delayed, func(d unevenDelivery) bool {
		due := !d.at.After(r.now)
		if due {
			d.apply()
		}
		return due
	})
}

func (r *unevenReplay) heartbeat(o *unevenOwner) {
	if r.now.Before(o.nextHeartbeat) {
		return
	}
	o.nextHeartbeat = r.now.Add(unevenHeartbeat)
	if elapsed := r.now.Sub(start); elapsed >= r.silentFrom && elapsed < r.silentTo {
		return
	}
	running, load := o.pool.Running(), o.load()
	demand := map[string]int{fmt.Sprint(o.id): load.Demand}
	if r.oldReports {
		demand = nil
	}
	o.pool.SetAnnounced(running)
	r.delayed = append(r.delayed, unevenDelivery{r.now.Add(unevenFeedDelay), func() {
		for _, peer := range r.owners {
			if peer != o {
				peer.pool.SetPeerReport(fmt.Sprint(o.id), running, demand, r.now)
			}
			o.pool.RecordReportArrival(r.now)
		}
	}})
}

func (r *unevenReplay) submit(o *unevenOwner) {
	if o.nextJob >= r.steps || r.now.Before(o.nextSubmit) || o.nextJob >= unevenOpenJobs && !r.isComplete(o.jobs[o.nextJob-unevenOpenJobs]) {
		return
	}
	o.submitted, o.nextSubmit = append(o.submitted, r.now), r.now.Add(unevenJobInterval)
	var job []*unevenItem
	for i := range 130 + o.random.IntN(61) {
		events := unevenMedianEvents * math.Exp(0.84*o.random.NormFloat64())
		if o.random.Float64() < 0.08 {
			events *= 5
		}
		item := &unevenItem{owner: o}
		item.length = int(min(400, max(1, events)))
		item.estimate = max(1, int(float64(item.length)*math.Exp(0.5*o.random.NormFloat64())))
		item.key, item.group, item.step = fmt.Sprint(o.id, "-", o.nextJob, "-", i), fmt.Sprint(o.id, "-", o.nextJob, "-", i/8), o.nextJob
		job = append(job, item)
	}
	slices.SortStableFunc(job, func(a, b *unevenItem) int { return b.estimate - a.estimate })
	o.pending, o.jobs = append(o.pending, job...), append(o.jobs, job)
	r.items += len(job)
	o.nextJob++
	o.nextRound = r.now
}

func (r *unevenReplay) isComplete(job []*unevenItem) bool {
	return !slices.ContainsFunc(job, func(i *unevenItem) bool { return i.finished.IsZero() })
}

func (i *unevenItem) remaining() int { return max(i.estimate-i.eventsDone, i.eventsDone/2, 1) }

func (o *unevenOwner) load() RouteLoad {
	running := 0
	for _, n := range o.pool.Running() {
		running += n
	}
	return RouteLoad{Demand: running + len(o.pending), Running: running}
}

// round places pending items and then moves running ones of jobs without pending items.
func (r *unevenReplay) round(o *unevenOwner) {
	var waiting []*unevenItem
	blocked := false
	load, route := o.load(), fmt.Sprint(o.id)
	allowance := o.pool.Allowance(route, map[string]RouteLoad{route: load}, r.now)
	for _, item := range o.pending {
		blocked = blocked || load.Running >= allowance && item.moveTo == ""
		if blocked || item.notBefore.After(r.now) {
			waiting = append(waiting, item)
			continue
		}
		id, ok := o.pool.Place(Request{Group: item.group, Length: float64(item.remaining()) / unevenMeanEvents, Avoid: item.avoid, Prefer: item.moveTo}, r.now)
		if !ok {
			blocked = true
			waiting = append(waiting, item)
			continue
		}
		if !r.send(o, item, id) {
			waiting = append(waiting, item)
			continue
		}
		load.Running++
	}
	o.pending = waiting
	o.nextRound = r.now.Add(150 * time.Millisecond)
	if len(o.pending) > 0 {
		o.nextRound = r.now.Add(50 * time.Millisecond)
	}
	for _, job := range o.jobs[max(0, len(o.jobs)-2):] {
		r.moveItems(o, job)
	}
}

func (r *unevenReplay) moveItems(o *unevenOwner, job []*unevenItem) {
	byKey := map[string]*unevenItem{}
	var running []Running
	for _, item := range job {
		if !item.running && item.finished.IsZero() {
			return
		}
		if item.running {
			byKey[item.key] = item
			running = append(running, Running{Key: item.key, Engine: item.engine, Group: item.group, HasText: item.eventsDone > 0, Remaining: item.remaining(), Since: item.since, Left: item.left})
		}
	}
	for _, m := range o.pool.Moves(running, 0, r.now) {
		item := byKey[m.Key]
		r.leave(item)
		o.pool.End(m.From, item.group, OK, r.now)
		item.avoid, item.moveTo, item.left = m.From, m.To, append(item.left, m.From)
		r.cuts++
		o.pending = slices.Insert(o.pending, 0, item)
		o.nextRound = r.now
	}
}

// send opens a connection, or uses an idle one, and queues an item at an engine. It reports false if the engine refuses it.
func (r *unevenReplay) send(o *unevenOwner, item *unevenItem, id string) bool {
	e := r.engines[id]
	o.pool.Begin(id, item.group)
	r.arrivals++
	idle := slices.DeleteFunc(o.idle[id], func(since time.Time) bool { return r.now.Sub(since) > unevenIdleTime })
	if len(idle) > 0 {
		idle = idle[:len(idle)-1]
	} else {
		r.opened++
	}
	o.idle[id] = idle
	if len(e.active)+len(e.queue) >= unevenSlots+unevenQueue {
		r.refuse++
		o.pool.End(id, item.group, Refused, r.now)
		o.idle[id] = append(o.idle[id], r.now)
		item.avoid, item.notBefore = id, r.now.Add(50*time.Millisecond)
		return false
	}
	item.engine, item.since, item.running, item.measuredAt, item.moveTo = id, r.now, true, time.Time{}, ""
	item.prefill, item.progress = unevenPrefill+time.Duration(item.eventsDone)*unevenPrefillEvent, 0
	e.queue = append(e.queue, item)
	return true
}

func (r *unevenReplay) leave(item *unevenItem) {
	e := r.engines[item.engine]
	is := func(other *unevenItem) bool { return other == item }
	e.active, e.queue = slices.DeleteFunc(e.active, is), slices.DeleteFunc(e.queue, is)
	item.running = false
}

func (r *unevenReplay) advance(id string, e *unevenEngine) {
	for len(e.queue) > 0 && len(e.active) < unevenSlots {
		e.active, e.queue = append(e.active, e.queue[0]), e.queue[1:]
	}
	interval := time.Duration(float64(unevenEventTime) * e.noise / e.speed * (1 + unevenLoadFactor*float64(len(e.active)-1)/unevenSlots))
	for _, item := range slices.Clone(e.active) {
		if item.prefill -= unevenTick; item.prefill > 0 {
			continue
		}
		// Progress counts in parts of an event, because the interval changes while an event is generated.
		item.progress += unevenTick * time.Second / interval
		if item.progress < time.Second {
			continue
		}
		item.progress -= time.Second
		item.eventsDone++
		r.measure(id, item)
		if item.eventsDone >= item.length {
			r.leave(item)
			item.finished = r.now
			item.owner.pool.End(id, item.group, OK, r.now)
			item.owner.idle[id] = append(item.owner.idle[id], r.now)
		}
	}
}

func (r *unevenReplay) measure(id string, item *unevenItem) {
	if item.measuredAt.IsZero() {
		item.measuredAt, item.lastEvent = r.now, time.Duration(item.eventsDone)
		return
	}
	if n := time.Duration(item.eventsDone) - item.lastEvent; n == unevenMeasureEvents {
		item.owner.pool.RecordEventInterval(id, r.now.Sub(item.measuredAt)/n, r.now)
		item.measuredAt, item.lastEvent = r.now, time.Duration(item.eventsDone)
	}
}

// stepTime returns the time until all groups of a job but one completed.
func (r *unevenReplay) stepTime(o *unevenOwner, step int) time.Duration {
	submitted := o.submitted[step]
	groups := map[string]time.Duration{}
	for _, item := range o.jobs[step] {
		d := item.finished.Sub(submitted)
		groups[item.group] = max(groups[item.group], d)
	}
	var times []time.Duration
	for _, d := range groups {
		times = append(times, d)
	}
	slices.Sort(times)
	return times[len(times)-2]
}

type unevenResult struct {
	mean, p90                   time.Duration
	perOwner                    []time.Duration
	cuts, connections, rejected float64
}

func (r unevenResult) String() string {
	return fmt.Sprintf("mean step %v, p90 %v, by owner %v, cuts an item %.3f, connections an item %.3f, rejected %.4f", r.mean, r.p90, r.perOwner, r.cuts, r.connections, r.rejected)
}

func (r *unevenReplay) result() unevenResult {
	var all []time.Duration
	var sum time.Duration
	res := unevenResult{}
	for _, o := range r.owners {
		var ownSum time.Duration
		for step := range r.steps {
			d := r.stepTime(o, step)
			all = append(all, d)
			ownSum += d
		}
		sum += ownSum
		res.perOwner = append(res.perOwner, (ownSum / time.Duration(r.steps)).Round(time.Millisecond))
	}
	slices.Sort(all)
	res.mean, res.p90 = (sum / time.Duration(len(all))).Round(time.Millisecond), all[len(all)*9/10].Round(time.Millisecond)
	res.cuts, res.connections = float64(r.cuts)/float64(r.items), float64(r.opened)/float64(r.items)
	res.rejected = float64(r.refuse) / float64(r.arrivals)
	return res
}

// Guards against steps that last longer than with moves by the latest intervals alone, against cuts of runs without gain
// and against connections opened for them.
func TestReplayUnevenEngines(t *testing.T) {
	for _, c := range []struct {
		load unevenLoad
		// maxMean is the mean step time with moves by the latest intervals.
		maxMean time.Duration
	}{
		{unevenLoad{engines: 45, owners: 3, steps: 25, noisy: 0.15}, 7756 * time.Millisecond},
		{unevenLoad{engines: 45, owners: 3, steps: 25, noisy: 0.15, even: true}, 9049 * time.Millisecond},
		{unevenLoad{engines: 45, owners: 3, steps: 25}, 6615 * time.Millisecond},
	} {
		r := newUnevenReplay(c.load)
		r.run()
		res := r.result()
		t.Logf("%+v: %v", c.load, res)
		if res.mean > c.maxMean || res.cuts >= 0.1 || res.connections >= 0.45 {
			t.Errorf("%+v: %v; want at most %v, 0.1 cuts and 0.45 connections an item", c.load, res, c.maxMean)
		}
	}
}

// Guards against owners that fill engines beyond their queues because they do not know of each other, and against owners that
// keep the slots that others need. The first loads have 0.6 of the slots that the items would take.
func TestReplayOwners(t *testing.T) {
	for _, load := range []unevenLoad{
		{engines: 15, owners: 4, steps: 15},
		{engines: 30, owners: 8, steps: 15},
		{engines: 30, owners: 8, steps: 15, together: true},
		{engines: 30, owners: 8, steps: 15, silentFrom: 10 * time.Second, silentTo: 15 * time.Second},
		{engines: 60, owners: 8, steps: 15, together: true},
	} {
		t.Run(fmt.Sprintf("%+v", load), func(t *testing.T) {
			t.Parallel()
			load.noisy, load.sameItems = 0.15, true
			r := newUnevenReplay(load)
			r.run()
			res := r.result()
			t.Log(res)
			least, most := slices.Min(res.perOwner), slices.Max(res.perOwner)
			if res.rejected >= 0.01 || float64(most) >= 1.2*float64(least) || res.connections >= 0.45 {
				t.Errorf("%v; want rejections below 0.01 and step times within 20%%", res)
			}
		})
	}
}
