package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// intervalSampleWeight is the weight of a new measurement in the moving average of an engine's event interval.
	intervalSampleWeight = 0.4
	// intervalTTL is the age at which the moving average expires, because slowdowns are temporary.
	intervalTTL = 10 * time.Second
	// speedWindow is the time whose measurements form one window. Noise lasts about as long, so it spoils one or two
	// successive windows.
	speedWindow = 600 * time.Millisecond
	// maxSpeedWindows is the number of windows from which the lasting interval is determined.
	maxSpeedWindows = 16
	// changedWindows is the number of successive windows that must differ from the lasting interval in the same direction
	// by the factor changedFactor before older windows are dropped.
	changedWindows = 4
	changedFactor  = 1.3
	// inheritedWindows is the number of windows that another instance's estimate counts as. It is below changedWindows, so
	// that an outdated estimate is replaced as fast as an own one.
	inheritedWindows = 3
	// maxWindowSamples bounds the samples kept for one window.
	maxWindowSamples = 32
	// referenceLoad is the load in items per slot at which lasting intervals are stated.
	referenceLoad = 0.5
)

// Speed is what an instance knows of the lasting speed of an engine.
type Speed struct {
	// StartNumber is the run of the engine that the speed belongs to.
	StartNumber int64
	// Interval is the time between two events of one item when half of the engine's slots are taken.
	Interval time.Duration
	// Windows is the number of windows that were measured.
	Windows int
}

// speed estimates the lasting event interval of an engine during one run. Each window contributes its median, and the
// estimate is the median of the windows, so that noise which is shorter than a few windows does not count.
type speed struct {
	samples     []time.Duration
	windowStart time.Time
	// windows holds the medians of the last complete windows, oldest first.
	windows []time.Duration
	// lasting is the median of windows, or of samples before the first window is complete; 0 means unknown.
	lasting time.Duration
	// isOwn is set once a window was measured by this instance.
	isOwn bool
}

func (s *speed) record(interval time.Duration, now time.Time) {
	if len(s.samples) > 0 && now.Sub(s.windowStart) >= speedWindow {
		s.closeWindow()
	}
	if len(s.samples) == 0 {
		s.windowStart = now
	}
	if len(s.samples) < maxWindowSamples {
		s.samples = append(s.samples, interval)
	}
	if len(s.windows) == 0 {
		s.lasting = median(s.samples)
	}
}

func (s *speed) closeWindow() {
	s.isOwn = true
	s.windows = append(s.windows, median(s.samples))
	s.samples = s.samples[:0]
	if s.hasChanged() {
		s.windows = s.windows[len(s.windows)-changedWindows:]
	}
	if excess := len(s.windows) - maxSpeedWindows; excess > 0 {
		s.windows = slices.Delete(s.windows, 0, excess)
	}
	s.lasting = median(s.windows)
}

// hasChanged reports whether the last windows show that the lasting interval is another one now.
func (s *speed) hasChanged() bool {
	if len(s.windows) <= changedWindows {
		return false
	}
	slower, faster := true, true
	for _, w := range s.windows[len(s.windows)-changedWindows:] {
		slower = slower && float64(w) > changedFactor*float64(s.lasting)
		faster = faster && changedFactor*float64(w) < float64(s.lasting)
	}
	return slower || faster
}

// inherit uses another instance's estimate if no window was measured here.
func (s *speed) inherit(interval time.Duration, windows int) {
	if len(s.windows) > 0 || interval <= 0 || windows <= 0 {
		return
	}
	s.windows = slices.Repeat([]time.Duration{interval}, min(windows, inheritedWindows))
	s.lasting = interval
}

// median returns the lower median.
func median(all []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(all))
	return sorted[(len(sorted)-1)/2]
}

const (
	// initialLoadEffect is assumed while nothing was measured. An effect of 0.2 means that the interval grows by a fifth
	// from the empty to the full engine.
	initialLoadEffect = 0.2
	maxLoadEffect     = 2.0
	// initialEffectWeight is the weight of initialLoadEffect, in squared deviations of the load.
	initialEffectWeight = 2.0
	// effectDecay is the factor by which older measurements lose weight with each new one.
	effectDecay = 0.999
	// meanWeight is the weight of a new measurement in the moving averages of an engine.
	meanWeight = 0.1
	// maxIntervalDeviation bounds the effect of noise on the slope.
	maxIntervalDeviation = 0.3
)

// loadEffect estimates by how much the load slows engines down: the slope of the logarithm of the event interval over the
// load, as deviations from each engine's own averages, over all engines.
type loadEffect struct {
	loadVariance, covariance float64
}

// loadMeans holds the moving averages of an engine's load and of the logarithm of its event interval. The zero value means
// that nothing was measured.
type loadMeans struct{ load, interval float64 }

func newLoadEffect() loadEffect {
	return loadEffect{loadVariance: initialEffectWeight, covariance: initialEffectWeight * initialLoadEffect}
}

func (l *loadEffect) record(m *loadMeans, load float64, interval time.Duration) {
	logInterval := math.Log(float64(interval))
	if *m == (loadMeans{}) {
		*m = loadMeans{load, logInterval}
		return
	}
	loadDeviation := load - m.load
	intervalDeviation := max(-maxIntervalDeviation, min(maxIntervalDeviation, logInterval-m.interval))
	l.loadVariance = l.loadVariance*effectDecay + loadDeviation*loadDeviation
	l.covariance = l.covariance*effectDecay + loadDeviation*intervalDeviation
	m.load += meanWeight * loadDeviation
	m.interval += meanWeight * intervalDeviation
}

// factor returns the event interval at a load relative to the one at referenceLoad.
func (l *loadEffect) factor(load float64) float64 {
	slope := initialLoadEffect
	if l.loadVariance > 0 {
		slope = max(0, min(maxLoadEffect, l.covariance/l.loadVariance))
	}
	return math.Exp(slope * (min(1, load) - referenceLoad))
}

// RecordEventInterval records the time between two events of an item on an engine.
func (p *Pool) RecordEventInterval(id string, interval time.Duration, now time.Time) {
	e := p.engines[id]
	if e == nil || interval <= 0 {
		return
	}
	if e.eventInterval == 0 || now.Sub(e.measuredAt) > intervalTTL {
		e.eventInterval = interval
	} else {
		e.eventInterval += time.Duration(intervalSampleWeight * float64(interval-e.eventInterval))
	}
	e.measuredAt = now
	load := p.relativeLoad(e, 0, now)
	e.speed.record(time.Duration(float64(interval)/p.loadEffect.factor(load)), now)
	p.loadEffect.record(&e.means, load, interval)
}

// EventIntervals returns the event interval of each engine whose measurements have not expired.
func (p *Pool) EventIntervals(now time.Time) map[string]time.Duration {
	intervals := map[string]time.Duration{}
	for id, e := range p.engines {
		if e.eventInterval > 0 && now.Sub(e.measuredAt) <= intervalTTL {
			intervals[id] = e.eventInterval
		}
	}
	return intervals
}

// Speeds returns the lasting speed of each engine that this instance measured.
func (p *Pool) Speeds() map[string]Speed {
	speeds := map[string]Speed{}
	for id, e := range p.engines {
		if e.speed.isOwn {
			speeds[id] = Speed{StartNumber: e.StartNumber, Interval: e.speed.lasting, Windows: len(e.speed.windows)}
		}
	}
	return speeds
}

// Inherit uses the speeds that other instances measured for engines without a complete window here.
func (p *Pool) Inherit(speedOf func(engine string) (Speed, bool)) {
	for id, e := range p.engines {
		if len(e.speed.windows) > 0 {
			continue
		}
		if s, ok := speedOf(id); ok && s.StartNumber == e.StartNumber {
			e.speed.inherit(s.Interval, s.Windows)
		}
	}
}

// expectedInterval returns the lasting event interval of an engine with additional items, or 0 if it is unknown.
func (p *Pool) expectedInterval(e *engine, additional int, now time.Time) time.Duration {
	return time.Duration(float64(e.speed.lasting) * p.loadEffect.factor(p.relativeLoad(e, additional, now)))
}

// shortestInterval returns the lasting event interval of the fastest engine, or 0 if none is known.
func (p *Pool) shortestInterval() time.Duration {
	var shortest time.Duration
	for _, e := range p.engineList {
		if e.speed.lasting > 0 && (shortest == 0 || e.speed.lasting < shortest) {
			shortest = e.speed.lasting
		}
	}
	return shortest
}

// unmeasuredSlowness is the slowness of an engine without measurements. It lies between the values of fast and slow
// engines, so that unmeasured engines get items and are measured.
const unmeasuredSlowness = 0.1

// slowness returns by which fraction the engine's lasting event interval exceeds the shortest one.
func (e *engine) slowness(shortest time.Duration) float64 {
	if e.speed.lasting == 0 || shortest == 0 {
		return unmeasuredSlowness
	}
	return float64(e.speed.lasting-shortest) / float64(shortest)
}
