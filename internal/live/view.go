package live

import (
	"maps"
	"sync"
	"time"
)

// Target is a model engine or another back end, as described in its entry.
type Target struct {
	ID      string
	Service string
	// Address is IP address and port.
	Address string
	Zone    string
	Slots   int
	// Draining targets finish their running requests and get no new ones.
	Draining bool
	// Reclaimable targets may be reclaimed by the platform at short notice.
	Reclaimable bool
	// Software is the version of the target's software. Texts of different versions do not fit together.
	Software string
	// Versions holds the weight version by model; it is empty for targets without models.
	Versions map[string]int
	// StartNumber identifies the current run of the target. It changes when the target restarts; 0 means unknown.
	StartNumber int64
	// ColdUntil is when the target has warmed up after a start; the zero time or a past one if it is warm. A cold target takes
	// few requests.
	ColdUntil time.Time
	// Evacuated targets are in a zone that the operator evacuates. They are Draining too.
	Evacuated bool
}

// View is the instance's current view of its deployment. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	config  *Config
	targets map[string]Target
	// runs holds what is known of the current run of each target beside its description. It outlives a target whose entry vanishes.
	runs map[string]run
	// releases holds the newest weight version by model.
	releases map[string]int
	// changed is closed and replaced by a new channel at each change.
	changed    chan struct{}
	evacuation evacuation
	// stateSince holds when each target got its state, by ID.
	stateSince map[string]time.Time
}

// run is one run of a target.
type run struct {
	startNumber int64
	// knownSince is when its description was first seen.
	knownSince time.Time
	// listedDraining is whether its description said that it drains.
	listedDraining bool
	// coldUntil is when the target has warmed up as far as anything said.
	coldUntil time.Time
	// leavingSince is when the request was sent whose response first said that the target leaves; zero if none did.
	leavingSince time.Time
}

// NewView returns a view without configuration and targets.
func NewView() *View {
	return &View{targets: map[string]Target{}, runs: map[string]run{}, releases: map[string]int{}, changed: make(chan struct{}), stateSince: map[string]time.Time{}}
}

// Config returns the configuration in force, or nil if there is none yet.
func (v *View) Config() *Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// SetConfig puts a configuration in force and returns true, unless the same or a newer version is in force already.
func (v *View) SetConfig(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config != nil && c.Version <= v.config.Version {
		return false
	}
	v.config = c
	v.signalChange()
	return true
}

// SetTarget adds or replaces a target. Its weight versions do not go back within a run.
func (v *View) SetTarget(t Target) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old, ok := v.targets[t.ID]; ok && old.StartNumber == t.StartNumber {
		t.Versions = mergeVersions(old.Versions, t.Versions)
	}
	r, ok := v.runs[t.ID]
	switch {
	case !ok, r.startNumber != t.StartNumber:
		// A response may have said that the target is cold before its new description came.
		r = run{startNumber: t.StartNumber, knownSince: time.Now(), coldUntil: r.coldUntil}
	case r.listedDraining && !t.Draining:
		// The target stays after all. An entry that never said draining may be older than the word in the responses.
		r.leavingSince = time.Time{}
	}
	r.listedDraining = t.Draining
	t.ColdUntil = laterTime(t.ColdUntil, r.coldUntil)
	r.coldUntil = t.ColdUntil
	v.setRun(t.ID, r)
	v.put(t, r)
	v.signalChange()
}

// maxFormerRuns limits the runs of targets without a description that are remembered.
const maxFormerRuns = 1024

// setRun sets the run of a target and forgets those of former targets if there are many. The caller holds the lock.
func (v *View) setRun(id string, r run) {
	v.runs[id] = r
	if len(v.runs) > len(v.targets)+maxFormerRuns {
		maps.DeleteFunc(v.runs, func(id string, _ run) bool {
			_, ok := v.targets[id]
			return !ok
		})
	}
}

// ObserveLeaving records what a target's response to a request that was sent at sentAt says: whether the target leaves. A run that
// leaves is Draining, also when its description comes again, until its description or a response to a later request says otherwise.
// ObserveLeaving reports whether that is new. A response to an earlier run, or from before the target said that it leaves, changes
// nothing.
func (v *View) ObserveLeaving(id string, leaving bool, sentAt time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.runs[id]
	switch {
	case !ok, r.knownSince.After(sentAt), leaving != r.leavingSince.IsZero(), !leaving && !sentAt.After(r.leavingSince):
		return false
	case leaving:
		r.leavingSince = sentAt
	default:
		r.leavingSince = time.Time{}
	}
	v.runs[id] = r
	if t, ok := v.targets[id]; ok {
		v.put(t, r)
		v.signalChange()
	}
	return true
}

// ObserveVersion records the weight version that a run of a target named in a response. It may be newer than the
// version in the target's last description.
func (v *View) ObserveVersion(id string, startNumber int64, model string, version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.targets[id]
	if !ok || t.StartNumber != startNumber || t.Versions[model] >= version {
		return
	}
	versions := maps.Clone(t.Versions)
	if versions == nil {
		versions = map[string]int{}
	}
	versions[model] = version
	t.Versions = versions
	v.targets[id] = t
	v.signalChange()
}

// RemoveTarget removes a target at once; see TargetUpdater for delayed removal.
func (v *View) RemoveTarget(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.targets, id)
	delete(v.stateSince, id)
	v.signalChange()
}

// Target returns the target with an id.
func (v *View) Target(id string) (Target, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t, ok := v.targets[id]
	return t, ok
}

// Targets returns all targets in no particular order.
func (v *View) Targets() []Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]Target, 0, len(v.targets))
	for _, t := range v.targets {
		all = append(all, t)
	}
	return all
}

// SetWeightVersion sets the newest weight version of a model and returns true, unless the known one is the same or
// newer.
func (v *View) SetWeightVersion(model string, version int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.releases[model] >= version {
		return false
	}
	v.releases[model] = version
	v.signalChange()
	return true
}

// Releases returns the newest weight version of each model.
func (v *View) Releases() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make(map[string]int, len(v.releases))
	for model, version := range v.releases {
		all[model] = version
	}
	return all
}

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *View) signalChange() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// mergeVersions returns the higher version of each model in a and b, or nil if b is nil. Versions only grow during a
// run of a target, and a description b that arrives later may be older than a version in a that a response named.
func mergeVersions(a, b map[string]int) map[string]int {
	merged := maps.Clone(b)
	for model, version := range a {
		if merged != nil && version > merged[model] {
			merged[model] = version
		}
	}
	return merged
}
